// Package settingsreader reads the settings file of a process. A key that it
// doesn't know and a value that can't be are refused with file, line, key and
// what was expected.
package settingsreader

import (
	"bytes"
	stderrors "errors"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// Reader reads settings files for one role.
type Reader struct {
	role currantwood.Role
}

// New makes a reader for a role.
func New(role currantwood.Role) *Reader { return &Reader{role: role} }

// Read reads a file, fills in the defaults and applies override before the
// values are checked. Override may be nil.
func (r *Reader) Read(file string, override func(*Settings)) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings: read")
	}
	return r.Parse(file, text, override)
}

// Parse is Read for a text that is at hand; file is only named in errors.
func (r *Reader) Parse(file string, text []byte, override func(*Settings)) (Settings, error) {
	settings := Defaults()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, positioned(file, err)
	}
	if len(settings.Objective) == 0 {
		settings.Objective = DefaultObjectives()
	}
	if override != nil {
		override(&settings)
	}
	for _, c := range r.checks(&settings) {
		if !c.ok {
			return Settings{}, errors.Errorf("settings: %s:%d: %s: expected %s", file, lineOf(text, c.key), c.key, c.expected)
		}
	}
	return settings, nil
}

// check is one condition on a value.
type check struct {
	key      string
	ok       bool
	expected string
}

func (r *Reader) checks(s *Settings) []check {
	checks := []check{
		{"process", s.Process != "", "a name that no other process has"},
		{"vm", s.VM != "", "the VM's name in the VM list"},
		{"region", s.Region != "", "the region's name"},
		{"zone", s.Zone != "", "the availability zone's name"},
		{"log-level", slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel), "debug, info, warn or error"},
		{"listen.links", isAddress(s.Listen.Links), "host:port"},
		{"listen.operators", isAddress(s.Listen.Operators), "host:port"},
		{"platform.log-service", isURL(s.Platform.LogService), "an http address"},
		{"platform.vm-list", isURL(s.Platform.VMList), "an http address"},
		{"platform.vm-list-interval", s.Platform.VMListInterval > 0, "a duration above 0"},
		{"platform.log-retention", s.Platform.LogRetention > 0, "a duration above 0"},
		{"links.heartbeat", s.Links.Heartbeat > 0, "a duration above 0"},
		{"links.silence", s.Links.Silence > 2*s.Links.Heartbeat, "more than twice links.heartbeat"},
		{"shutdown.balancer-lag", s.Shutdown.BalancerLag >= 0, "a duration of 0 or more"},
		{"shutdown.limit", s.Shutdown.Limit > s.Shutdown.BalancerLag, "more than shutdown.balancer-lag"},
	}
	if r.role == currantwood.RoleEntry {
		return append(checks, entryChecks(s)...)
	}
	return append(checks, sideChecks(s)...)
}

func entryChecks(s *Settings) []check {
	checks := []check{
		{"listen.callers", isAddress(s.Listen.Callers), "host:port"},
		{"entry.max-body-bytes", s.Entry.MaxBodyBytes > 0 && s.Entry.MaxBodyBytes <= 2<<20, "1 to 2097152 bytes"},
		{"entry.sides-per-group", s.Entry.SidesPerGroup > 0, "1 or more"},
		{"entry.sides-elsewhere", s.Entry.SidesElsewhere > 0, "1 or more"},
		{"entry.whole-group", s.Entry.WholeGroup > 0, "1 or more"},
		{"entry.retry-share", s.Entry.RetryShare >= 0 && s.Entry.RetryShare <= 1, "0 to 1"},
	}
	for _, o := range s.Objective {
		checks = append(checks,
			check{"objective.name", o.Name != "", "a name"},
			check{"objective.measure", slices.Contains([]string{"first-token", "between-tokens", "stall", "answered"}, o.Measure), "first-token, between-tokens, stall or answered"},
			check{"objective.share", o.Share > 0 && o.Share < 1, "more than 0 and less than 1"},
			check{"objective.window", o.Window > 0, "a duration above 0"},
		)
	}
	return checks
}

func sideChecks(s *Settings) []check {
	return []check{
		{"side.upstream", s.Side.Upstream != "", "the upstream's name"},
		{"side.group", s.Side.Group != "", "the upstream's group"},
		{"side.kind", s.Side.Kind == "engine" || s.Side.Kind == "service", "engine or service"},
		{"side.model", s.Side.Model != "" || s.Side.Kind == "service", "the engine's model"},
		{"side.address", isURL(s.Side.Address), "an http address"},
		{"side.memory-tokens", s.Side.MemoryTokens >= 0, "0 or more tokens"},
		{"side.reserved-share", s.Side.ReservedShare >= 0 && s.Side.ReservedShare < 1, "0 to less than 1"},
		{"side.confidence", s.Side.Confidence > 0 && s.Side.Confidence < 1, "more than 0 and less than 1"},
	}
}

// positioned adds file and line to an error of the TOML library.
func positioned(file string, err error) error {
	var unknown *toml.StrictMissingError
	if stderrors.As(err, &unknown) && len(unknown.Errors) > 0 {
		row, _ := unknown.Errors[0].Position()
		key := strings.Join(unknown.Errors[0].Key(), ".")
		return errors.Errorf("settings: %s:%d: %s: unknown key; expected one of those in docs/settings.toml", file, row, key)
	}
	var wrong *toml.DecodeError
	if stderrors.As(err, &wrong) {
		row, column := wrong.Position()
		return errors.Errorf("settings: %s:%d:%d: %s: %s", file, row, column, strings.Join(wrong.Key(), "."), wrong.Error())
	}
	return errors.Wrapf(err, "settings: %s", file)
}

// lineOf finds the line of a dotted key, or that of its table, or 1.
func lineOf(text []byte, key string) int {
	table, name, dotted := strings.Cut(key, ".")
	if !dotted {
		table, name = "", key
	}
	line, current, found := 0, "", 1
	for row := range strings.Lines(string(text)) {
		line++
		trimmed := strings.TrimSpace(row)
		if strings.HasPrefix(trimmed, "[") {
			current = strings.Trim(trimmed, "[]")
			if current == table {
				found = line
			}
			continue
		}
		word, _, _ := strings.Cut(trimmed, "=")
		if current == table && strings.TrimSpace(word) == name {
			return line
		}
	}
	return found
}

func isAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
