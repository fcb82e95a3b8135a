// Package lossforecaster estimates how likely upstreams are to be taken away, from which
// upstreams of a group left lately: of which zone, of which software version, and whether
// they were older than the others. A release takes away the old ones, an outage those of a
// zone.
//
// A loss rate counts only where it is higher than that of the rest of the group by more than
// chance explains. Without losses, and where losses hit all alike, there is nothing to choose.
package lossforecaster

import (
	"maps"
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// memoryTime is the time in which the weight of a loss falls to 1/e. A release takes six
	// steps of 3.3 s.
	memoryTime = 20 * time.Second
	// minLosses is the least weight of the losses in a class from which its rate counts.
	minLosses = 2
	// minDeviations is by how many standard deviations the losses in a class must exceed those
	// that the rate of the group explains.
	minDeviations = 2.5
	// minWeight is the weight below which the losses of a group are forgotten.
	minWeight = 0.1
	// minClassWeight is the weight below which the losses in a class are forgotten: each
	// release adds a version.
	minClassWeight = 0.01
)

// Upstream is what of an upstream its loss may depend on.
type Upstream struct {
	Zone    currantwood.ZoneID
	Version currantwood.SoftwareVersion
	// Old is whether it has started before half of its group.
	Old bool
}

// class is a part of a group. Each upstream is in one of each kind.
type class struct {
	zone    currantwood.ZoneID
	version currantwood.SoftwareVersion
	old     bool
	// kind says which of these it is by.
	kind uint8
}

const (
	byZone uint8 = iota
	byVersion
	byAge
	kinds
)

// losses are those of a group, with weights as of updatedAt.
type losses struct {
	weights   map[class]float64
	total     float64
	updatedAt time.Time
}

// Keeper holds the losses of all groups. It is not safe for concurrent use.
type Keeper struct {
	groups map[currantwood.GroupID]*losses
}

// New returns a keeper without losses.
func New() *Keeper { return &Keeper{groups: make(map[currantwood.GroupID]*losses)} }

// HasLosses reports whether any losses are remembered.
func (k *Keeper) HasLosses() bool { return len(k.groups) > 0 }

// Left notes that an upstream leaves or is gone.
func (k *Keeper) Left(now time.Time, group currantwood.GroupID, u Upstream) {
	l := k.groups[group]
	if l == nil {
		l = &losses{weights: make(map[class]float64), updatedAt: now}
		k.groups[group] = l
	}
	l.decay(now)
	l.total++
	for _, c := range u.classes() {
		l.weights[c]++
	}
}

// Forget drops the groups and classes whose losses are long ago.
func (k *Keeper) Forget(now time.Time) {
	for id, l := range k.groups {
		if l.decay(now); l.total < minWeight {
			delete(k.groups, id)
		}
		maps.DeleteFunc(l.weights, func(_ class, weight float64) bool { return weight < minClassWeight })
	}
}

// ExcessRates returns, for each of the upstreams that a group has now, the losses per second
// that are expected of it beyond those of the rest of the group: the highest excess of its
// classes. It returns nil if no rate is above 0.
func (k *Keeper) ExcessRates(now time.Time, group currantwood.GroupID, members []Upstream) []float64 {
	l := k.groups[group]
	if l == nil || len(members) == 0 {
		return nil
	}
	l.decay(now)
	counts := make(map[class]int)
	for _, u := range members {
		for _, c := range u.classes() {
			counts[c]++
		}
	}
	var rates []float64
	for i, u := range members {
		highest := 0.0
		for _, c := range u.classes() {
			highest = max(highest, l.excess(c, counts, len(members)))
		}
		if highest > 0 && rates == nil {
			rates = make([]float64, len(members))
		}
		if highest > 0 {
			rates[i] = highest
		}
	}
	return rates
}

// classes returns the classes of an upstream, by kind.
func (u Upstream) classes() [kinds]class {
	return [kinds]class{
		byZone:    {zone: u.Zone, kind: byZone},
		byVersion: {version: u.Version, kind: byVersion},
		byAge:     {old: u.Old, kind: byAge},
	}
}

// excess returns by how much the loss rate of a class exceeds that of the rest of its group. It
// is 0 if chance may explain the difference.
func (l *losses) excess(c class, counts map[class]int, members int) float64 {
	lost := l.weights[c]
	if lost < minLosses {
		return 0
	}
	// The classes' shares of the group at the times of the losses aren't known, so the present
	// ones are used.
	expected := l.total * float64(counts[c]) / float64(members)
	if lost <= expected+minDeviations*math.Sqrt(expected) {
		return 0
	}
	in, all := float64(counts[c])+lost, float64(members)+l.total
	rest := 0.0
	if all > in {
		rest = (l.total - lost) / (all - in)
	}
	return max(0, lost/in-rest) / memoryTime.Seconds()
}

// decay lowers the weights to those at a time.
func (l *losses) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(l.updatedAt).Seconds()) / memoryTime.Seconds())
	l.total *= factor
	for c := range l.weights {
		l.weights[c] *= factor
	}
	if now.After(l.updatedAt) {
		l.updatedAt = now
	}
}
