package currantwood

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrExpired says that the store no longer keeps the records asked for.
var ErrExpired = errors.New("records are no longer kept")

// KeyedRecord is a record of a topic that keeps the newest value of each key.
type KeyedRecord struct {
	// Offset is set in windows that Read returns.
	Offset Offset
	Key    string
	// Value is empty when the key was dropped.
	Value []byte
}

// KeyedWindow is a part of such a topic.
type KeyedWindow struct {
	// Next is the offset to read on from.
	Next Offset
	// Records are in ascending order of offset.
	Records []KeyedRecord
}

// KeyedStore reads topics that keep the newest record of each key.
type KeyedStore interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic string) (KeyedWindow, error)
	// Read returns the records from an offset on, waiting at most wait for the
	// first. It fails with ErrExpired when they are no longer kept.
	Read(ctx context.Context, topic string, from Offset, wait time.Duration) (KeyedWindow, error)
}
