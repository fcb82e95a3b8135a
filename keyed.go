package currantwood

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrRecordsExpired means that the store no longer retains the requested records.
var ErrRecordsExpired = errors.New("records are no longer retained")

// KeyedRecord is a record of a compacted topic, which retains at least the newest
// record of each key.
type KeyedRecord struct {
	// Offset is set only in records returned by KeyedStore.Read.
	Offset Offset
	Key    string
	// Value is empty if the key was deleted.
	Value []byte
}

// StoreEra counts how often the store has come back from an older copy of itself.
// Then records that it had acknowledged are gone and their offsets are given out
// again, so offsets can be compared only within an era. 0 means that the store doesn't
// say, as one that never does so.
type StoreEra uint64

// KeyedRecordBatch is a batch of records from a compacted topic.
type KeyedRecordBatch struct {
	// Era is that of the store when it answered. It is also set with
	// ErrRecordsExpired.
	Era StoreEra
	// Next is the offset at which the next read starts. Unlike at RecordBatch.End,
	// a record may already be visible there.
	Next Offset
	// Records are in ascending order of offset.
	Records []KeyedRecord
}

// KeyedStore reads compacted topics.
type KeyedStore interface {
	// Newest returns the newest record of each key, without its offset. Deleted
	// keys are absent. Next is an offset from which Read returns all later
	// changes.
	Newest(ctx context.Context, topic string) (KeyedRecordBatch, error)
	// Read returns the records starting at offset from, and waits up to wait for
	// the first of them. It fails with ErrRecordsExpired if the records at from
	// are no longer retained, or if from is beyond the end.
	Read(ctx context.Context, topic string, from Offset, wait time.Duration) (KeyedRecordBatch, error)
}

// KeyedWriter writes to compacted topics.
type KeyedWriter interface {
	// Append adds records to a topic, all or none. After an error they may have been
	// added, or may be added later.
	Append(ctx context.Context, topic string, records []KeyedRecord) error
}

// PeerRead is what another gateway has read of a topic.
type PeerRead struct {
	// ReadAt is when that gateway last had all records; zero if it isn't known.
	ReadAt time.Time
	// FailedAt is when a read by that gateway last failed; zero if none has.
	FailedAt time.Time
	// Records are those in the offset range [From, Next) of an era that say something new.
	Era        StoreEra
	From, Next Offset
	Records    []KeyedRecord
}
