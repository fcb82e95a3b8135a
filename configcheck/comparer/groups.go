package comparer

import (
	"fmt"
	"strings"
	"time"

	"github.com/currantwood/currantwood"
)

// compareGroups tells which groups are new or gone and whose properties change.
func (c *comparison) compareGroups() {
	seen := make(map[currantwood.GroupID]bool)
	for i, listed := range c.after.GroupList {
		if seen[listed.ID] {
			continue
		}
		seen[listed.ID] = true
		former, known := c.before.Configuration.Groups[listed.ID]
		if !known {
			c.add(GroupNew, c.after.at(currantwood.FieldGroup, i), "group %q is new", listed.ID)
			continue
		}
		if changes := propertyChanges(former, c.after.Configuration.Groups[listed.ID]); len(changes) > 0 {
			c.add(GroupProperties, c.after.at(currantwood.FieldGroup, i), "upstreams of group %q are handled differently: %s", listed.ID, strings.Join(changes, "; "))
		}
	}
	for i, listed := range c.before.GroupList {
		if !seen[listed.ID] {
			seen[listed.ID] = true
			c.add(GroupRemoved, c.before.at(currantwood.FieldGroup, i), "group %q is gone", listed.ID)
		}
	}
}

// propertyChanges describes how the properties of a group differ.
func propertyChanges(before, after currantwood.Group) []string {
	var changes []string
	note := func(name string, before, after any) {
		if before != after {
			changes = append(changes, fmt.Sprintf("%s %v (before: %v)", name, after, before))
		}
	}
	note("connections", before.MaxConnections, after.MaxConnections)
	note("warm-up time", before.WarmUpTime, after.WarmUpTime)
	note("warm-up rate", before.WarmUpRate, after.WarmUpRate)
	note("model engines", before.Engine != nil, after.Engine != nil)
	if before.Engine != nil && after.Engine != nil && *before.Engine != *after.Engine {
		b, a := before.Engine, after.Engine
		note("slots", b.Slots, a.Slots)
		note("memory in tokens", b.MemoryTokens, a.MemoryTokens)
		note("bytes per token", b.TokenBytes, a.TokenBytes)
		note("link in bytes per second", b.LinkBytes, a.LinkBytes)
		note("moves of runs", b.Moves, a.Moves)
		note("backups of runs", b.Backups, a.Backups)
		note("tokens per event", b.TokensPerEvent, a.TokensPerEvent)
	}
	return changes
}

// limit is a limit of clients before and after; 0 or less means that there is none.
type limit struct {
	field         currantwood.ConfigurationField
	rule          string
	before, after int64
	// format returns the text of a value.
	format func(int64) string
}

// compareLimits tells which limits of clients are lower or higher.
func (c *comparison) compareLimits() {
	bytes := func(n int64) string { return fmt.Sprintf("%d bytes", n) }
	duration := func(n int64) string { return time.Duration(n).String() }
	b, a := c.before.Limits, c.after.Limits
	c.compareLimit(limit{currantwood.FieldLimits, "longest request header", b.HeaderBytes, a.HeaderBytes, bytes})
	c.compareLimit(limit{currantwood.FieldLimitBody, "longest request body", b.MaxBodyBytes(), a.MaxBodyBytes(), bytes})
	c.compareLimit(limit{currantwood.FieldLimits, "time for a request header to arrive", int64(b.HeaderTime), int64(a.HeaderTime), duration})
	c.compareLimit(limit{currantwood.FieldLimits, "time until an idle connection is closed", int64(b.IdleTime), int64(a.IdleTime), duration})
}

func (c *comparison) compareLimit(l limit) {
	l.before, l.after = max(0, l.before), max(0, l.after)
	text := func(value int64) string {
		if value == 0 {
			return "not set"
		}
		return l.format(value)
	}
	code := LimitRaised
	if l.after > 0 && (l.before == 0 || l.after < l.before) {
		code = LimitLowered
	}
	if l.before != l.after {
		c.add(code, c.after.at(l.field, 0), "%s: %s (before: %s)", l.rule, text(l.after), text(l.before))
	}
}
