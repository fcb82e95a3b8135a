package storewatcher

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Feed is a topic to follow and the functions that take its records.
type Feed struct {
	Name  string
	Topic string
	// Wait is how long a read waits for the next record; 0 returns at once.
	Wait time.Duration
	// Pause is the time between a successful read and the next one.
	Pause time.Duration
	// Replace takes the newest record of each key. It replaces all earlier
	// records.
	Replace func(now time.Time, records []currantwood.KeyedRecord)
	// Apply takes the records that follow those taken before, and returns those
	// that say something new, for OnRead.
	Apply func(now time.Time, records []currantwood.KeyedRecord) []currantwood.KeyedRecord
	// OnRead is called after each read from the store with the records in the
	// offset range [from, next) that say something new. After a read of the
	// newest records, from equals next and changed is empty.
	OnRead func(now time.Time, era currantwood.StoreEra, from, next currantwood.Offset, changed []currantwood.KeyedRecord)
	// OnOwnRead is called before Replace or Apply takes the records of a read by this
	// process, and not for records of a peer, which may lack some of those in between. nil
	// if it isn't needed.
	OnOwnRead func(now time.Time, read Read)
	// OnEraRise is called, before the newest records are taken, when the store has come
	// back from an older copy.
	OnEraRise func(now time.Time, era currantwood.StoreEra)
	// OnCurrentAsOf is called after each successful read with the time at which it
	// was sent: the records held now include everything written before that
	// time.
	OnCurrentAsOf func(at time.Time)
	// MinOutage is how long the store must be away before a record can expire meanwhile; 0
	// if that isn't known.
	MinOutage time.Duration
	// OnOutageEnd is called before the next records are applied when the topic
	// can be read again after an outage, which is a gap between reads in which reads failed.
	OnOutageEnd func(now time.Time)
	// Stale reports whether the records held are too old, so that reads must
	// not wait for new ones.
	Stale func(now time.Time) bool
	// PeerCoverage reports whether a peer reads the topic for this process, and
	// when it last did. readAt is zero if the time of the peer's read is only
	// passed to ApplyPeerRecords.
	PeerCoverage func(now time.Time) (readAt time.Time, covered bool)
	// RetryPause returns the pause after a number of failed reads in a row. A requested
	// read may shorten it to least.
	RetryPause func(failures int) (least, pause time.Duration)
	// TakeOverPause returns how long to wait, once no peer reads the topic any more,
	// before this process does.
	TakeOverPause func() time.Duration
	// OnRecovery is called when a read succeeds after one that failed.
	OnRecovery func()
	// Held reports whether reads must wait, as those of other topics show that the store
	// is away.
	Held func() bool
}

// Read is what a read from the store has found.
type Read struct {
	// Whole is whether Records are the newest of each key, rather than all those in the
	// offset range [From, Next).
	Whole      bool
	Era        currantwood.StoreEra
	From, Next currantwood.Offset
	Records    []currantwood.KeyedRecord
}
