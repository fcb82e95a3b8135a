// Package upstreamkeeper keeps the gateway's view of the upstreams in the
// directory and reports how it changes. A change comes from a directory record,
// from a state that an upstream reports itself (ApplyState) or from the passing
// of time (Tick).
//
// Within one incarnation, records can announce the leaving, begin and end cold periods and
// change Slots, which causes no event. Other changes of their fields are ignored.
package upstreamkeeper

import (
	"slices"
	"strings"
	"time"

	"github.com/currantwood/currantwood"
)

// lapseGracePeriod is how long after the directory's recovery an upstream
// whose record expired during the outage may take to write it again before it
// counts as removed. An upstream that is already leaving is removed at once.
const lapseGracePeriod = 2 * time.Second

// removedRetention is how long a removed upstream stays known as leaving. It
// still serves for a while, and its Incarnation and Sequence show which records
// are from before its removal and must not add it again: after a read of the
// newest records, the next reads may return earlier ones once more.
const removedRetention = 30 * time.Second

// View is an upstream as it is currently known.
type View struct {
	// UpstreamRecord is the first record of the incarnation, with the Sequence
	// and Slots of the newest valid one. Leaving is true once a record or a state
	// of the incarnation announced it, and while the upstream is removed.
	currantwood.UpstreamRecord
	// WarmAt is when the upstream's warm-up after its start ends, by the first record.
	WarmAt time.Time
	// ColdUntil is when the upstream is warm, by the newest record.
	ColdUntil time.Time
	// LeavingSince is when the upstream was first known to leave, by its
	// announcement or by the removal of its record; zero if it isn't leaving.
	LeavingSince time.Time
	// LeaveAnnounced is whether the upstream announced its leaving itself. It is
	// false if only its record was removed, as after a crash.
	LeaveAnnounced bool
	// Undecodable reports whether its newest record can't be decoded. It gets
	// no new work until a valid record arrives.
	Undecodable bool
}

// entry holds an upstream and what is known of its directory record.
type entry struct {
	view View
	// removedAt is when the upstream was removed; zero while it isn't.
	removedAt time.Time
	// record is what the newest record said.
	record recordState
	// lapsedAt is when the record was found missing after an outage of the
	// directory; zero while the record is present, and once the upstream is
	// removed.
	lapsedAt time.Time
}

// recordState is what the newest record of an upstream said, whatever else is known of it.
type recordState struct {
	// missing is whether there is none, and undecodable whether it can't be decoded. The
	// fields below are then those of the record before.
	missing, undecodable bool
	leaving              bool
	slots                int
}

// DecodeFunc decodes the value of an upstream's record.
type DecodeFunc func(key string, value []byte) (currantwood.UpstreamRecord, error)

// Keeper holds the known upstreams. It is not safe for concurrent use.
type Keeper struct {
	decode  DecodeFunc
	entries map[currantwood.UpstreamID]*entry
	// recoveredAt is when the directory last recovered from an outage; zero if
	// it never did.
	recoveredAt time.Time
}

// New returns a Keeper without upstreams.
func New(decode DecodeFunc) *Keeper {
	return &Keeper{decode: decode, entries: make(map[currantwood.UpstreamID]*entry)}
}

// DirectoryRecovered notes that the directory can be read again after an outage.
func (k *Keeper) DirectoryRecovered(now time.Time) { k.recoveredAt = now }

// Apply is ApplyRecord for records in the order in which they were written.
func (k *Keeper) Apply(now time.Time, records []currantwood.KeyedRecord) []Event {
	var events []Event
	for _, r := range records {
		changes, _ := k.ApplyRecord(now, r)
		events = append(events, changes...)
	}
	return events
}

// ApplyRecord applies a record, which must follow those applied before. A record that repeats
// or precedes a known one, by its Incarnation and Sequence, is ignored. A removal and an
// undecodable value have neither and count as newest.
//
// news is whether the record says something that the one before didn't, apart from that the
// upstream lives. It may be so without an event, if the upstream has said the same itself:
// others haven't heard that.
func (k *Keeper) ApplyRecord(now time.Time, r currantwood.KeyedRecord) (events []Event, news bool) {
	id := currantwood.UpstreamID(r.Key)
	before := k.recordOf(id)
	events = k.applyRecord(now, r)
	return events, len(events) > 0 || k.recordOf(id) != before
}

// recordOf returns what the newest record of an upstream said.
func (k *Keeper) recordOf(id currantwood.UpstreamID) recordState {
	if e := k.entries[id]; e != nil {
		return e.record
	}
	return recordState{missing: true}
}

// RemoveMissing handles as missing the upstreams without a record in a complete set.
func (k *Keeper) RemoveMissing(now time.Time, records []currantwood.KeyedRecord) []Event {
	var events []Event
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for id := range k.entries {
		if !present[string(id)] {
			events = append(events, k.handleMissing(now, id)...)
		}
	}
	return events
}

func (k *Keeper) applyRecord(now time.Time, r currantwood.KeyedRecord) []Event {
	id := currantwood.UpstreamID(r.Key)
	if len(r.Value) == 0 {
		return k.handleMissing(now, id)
	}
	record, err := k.decode(r.Key, r.Value)
	if err != nil {
		return k.markUndecodable(id)
	}
	e := k.entries[id]
	if e == nil || record.Incarnation != e.view.Incarnation {
		return k.addIncarnation(now, e, record)
	}
	lapsed := !e.lapsedAt.IsZero()
	// A lapsed record may be written again as it was.
	if record.Sequence < e.view.Sequence || record.Sequence == e.view.Sequence && !lapsed {
		return nil
	}
	e.view.Sequence, e.view.Slots = record.Sequence, record.Slots
	e.record = recordStateOf(record)
	e.lapsedAt = time.Time{}
	return append(e.noteWarmUp(now, record.WarmUp), k.applyNewer(now, e, record, lapsed)...)
}

// applyNewer applies what else a newer record of the known incarnation says. lapsed is
// whether the record was missing before.
func (k *Keeper) applyNewer(now time.Time, e *entry, record currantwood.UpstreamRecord, lapsed bool) []Event {
	if !e.removedAt.IsZero() {
		return k.restore(e, record)
	}
	if record.Leaving && e.view.LeavingSince.IsZero() {
		return e.markLeaving(now)
	}
	if e.view.Undecodable {
		e.view.Undecodable = false
		return []Event{{Change: Appeared, Record: e.view.UpstreamRecord}}
	}
	if lapsed {
		// Reported so that the record is passed on to other gateways, which may
		// have removed the upstream in the meantime.
		return []Event{{Change: Returned, Record: e.view.UpstreamRecord}}
	}
	return nil
}

// restore adds a removed upstream again. As it still writes records, its record
// had only expired. An upstream that announced its leaving isn't restored; it is
// forgotten after removedRetention.
func (k *Keeper) restore(e *entry, record currantwood.UpstreamRecord) []Event {
	if e.view.LeaveAnnounced || record.Leaving {
		return nil
	}
	e.removedAt = time.Time{}
	e.view.Leaving, e.view.LeavingSince, e.view.Undecodable = false, time.Time{}, false
	return []Event{{Change: Appeared, Record: e.view.UpstreamRecord}}
}

// ApplyState applies a state that an upstream reported itself. A state of the
// known incarnation can mark the upstream as leaving. A state that isn't Leaving
// is ignored, as it may be outdated.
func (k *Keeper) ApplyState(now time.Time, id currantwood.UpstreamID, state currantwood.UpstreamState) []Event {
	e := k.entries[id]
	if e == nil || !state.Leaving || state.Incarnation != e.view.Incarnation || !e.view.LeavingSince.IsZero() {
		return nil
	}
	return e.markLeaving(now)
}

// markLeaving marks the upstream as leaving since now.
func (e *entry) markLeaving(now time.Time) []Event {
	e.view.LeavingSince = now
	e.view.Leaving, e.view.LeaveAnnounced = true, true
	return []Event{{Change: Leaving, Record: e.view.UpstreamRecord}}
}

// addIncarnation adds a new upstream, or a restarted one in place of old. It
// ignores the record of an earlier incarnation.
func (k *Keeper) addIncarnation(now time.Time, old *entry, record currantwood.UpstreamRecord) []Event {
	if old != nil && record.Incarnation < old.view.Incarnation {
		return nil
	}
	view := View{UpstreamRecord: record, WarmAt: now.Add(record.WarmUp), ColdUntil: now.Add(record.WarmUp)}
	if record.Leaving {
		view.LeavingSince, view.LeaveAnnounced = now, true
	}
	k.entries[record.ID] = &entry{view: view, record: recordStateOf(record)}
	if old != nil {
		return []Event{{Change: Restarted, Record: record}}
	}
	return []Event{{Change: Appeared, Record: record}}
}

func recordStateOf(record currantwood.UpstreamRecord) recordState {
	return recordState{leaving: record.Leaving, slots: record.Slots}
}

// markUndecodable notes that the newest record of an upstream can't be
// decoded.
func (k *Keeper) markUndecodable(id currantwood.UpstreamID) []Event {
	e := k.entries[id]
	if e == nil {
		return nil
	}
	e.record.undecodable = true
	if e.view.Undecodable {
		return nil
	}
	e.view.Undecodable = true
	return []Event{{Change: Undecodable, Record: e.view.UpstreamRecord}}
}

// handleMissing removes an upstream whose record is missing. Within the grace
// period after an outage of the directory, it only marks the record as lapsed,
// unless the upstream is already leaving.
func (k *Keeper) handleMissing(now time.Time, id currantwood.UpstreamID) []Event {
	e := k.entries[id]
	if e == nil {
		return nil
	}
	e.record.missing = true
	if !e.removedAt.IsZero() || !e.lapsedAt.IsZero() {
		return nil
	}
	if !k.recoveredAt.IsZero() && now.Before(k.recoveredAt.Add(lapseGracePeriod)) && e.view.LeavingSince.IsZero() {
		e.lapsedAt = now
		return []Event{{Change: Lapsed, Record: e.view.UpstreamRecord}}
	}
	return k.markRemoved(now, e)
}

// markRemoved removes an upstream. It stays known as leaving for
// removedRetention.
func (k *Keeper) markRemoved(now time.Time, e *entry) []Event {
	e.removedAt = now
	e.view.Leaving = true
	if e.view.LeavingSince.IsZero() {
		e.view.LeavingSince = now
	}
	return []Event{{Change: Removed, Record: e.view.UpstreamRecord}}
}

// Tick removes the upstreams whose lapsed records were not written again in
// time, and forgets those that were removed long ago.
func (k *Keeper) Tick(now time.Time) []Event {
	var events []Event
	for id, e := range k.entries {
		if !e.lapsedAt.IsZero() && !now.Before(k.recoveredAt.Add(lapseGracePeriod)) {
			e.lapsedAt = time.Time{}
			events = append(events, k.markRemoved(now, e)...)
		}
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > removedRetention {
			delete(k.entries, id)
		}
	}
	return events
}

// Available returns the upstreams of all groups that may get new work, sorted by
// ID: those neither leaving nor undecodable.
func (k *Keeper) Available() []View {
	var views []View
	for _, e := range k.entries {
		if e.view.LeavingSince.IsZero() && !e.view.Undecodable {
			views = append(views, e.view)
		}
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return views
}

// At returns the upstreams with an address that aren't known to be gone.
func (k *Keeper) At(address string) []View {
	var views []View
	for _, e := range k.entries {
		if e.view.Address == address && e.removedAt.IsZero() {
			views = append(views, e.view)
		}
	}
	return views
}

// Get returns an upstream by its ID, also one that is leaving, undecodable or
// was removed within removedRetention.
func (k *Keeper) Get(id currantwood.UpstreamID) (View, bool) {
	e := k.entries[id]
	if e == nil {
		return View{}, false
	}
	return e.view, true
}
