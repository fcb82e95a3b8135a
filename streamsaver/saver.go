// Package streamsaver saves where streams began in the platform's store. There it
// outlasts all gateways.
package streamsaver

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/streamencoder"
	"github.com/currantwood/currantwood/streamkeeper"
)

const (
	// interval is the time between two appends. Streams that began since the last one
	// can't be taken up if all gateways end at once.
	interval = time.Second
	// appendTimeout bounds an append.
	appendTimeout = 1500 * time.Millisecond
)

// Starts is what the gateway knows. Its methods are safe for concurrent use.
type Starts interface {
	// UnsavedStarts returns up to limit starts that the store may lack, and a position
	// for MarkStartsSaved.
	UnsavedStarts(limit int) ([]streamkeeper.Start, uint64)
	// MarkStartsSaved notes that the store holds the starts before a position.
	MarkStartsSaved(next uint64)
}

// Options configures a Saver. All fields but Encoder are required.
type Options struct {
	Store   currantwood.KeyedWriter
	Topic   string
	Starts  Starts
	Encoder streamencoder.Encoder
	Logger  *zap.Logger
	// Now reads the monotonic clock, TimeOfDay the one that records hold.
	Now, TimeOfDay func() time.Time
	// Responsible reports whether this gateway saves for all.
	Responsible func(now time.Time) bool
}

// Saver saves starts in the background and once at the end.
type Saver struct {
	options Options
	// failing is whether the last append failed.
	failing bool
	// last holds the starts of the last record, which was written in lastSlot: another
	// one in that slot would replace it, and so has to include them.
	last     []streamkeeper.Start
	lastSlot int64
	// saving holds a value while an append is under way.
	saving chan struct{}
}

// New returns a Saver that works until ctx is done.
func New(ctx context.Context, options Options) *Saver {
	s := &Saver{options: options, lastSlot: -1, saving: make(chan struct{}, 1)}
	go func() {
		for sleeper.Sleep(ctx, interval) {
			if s.options.Responsible(s.options.Now()) {
				s.Save(ctx)
			}
		}
	}()
	return s
}

// Save saves what the store may lack, also if this gateway doesn't save for all, and
// returns once that is done or has failed. An append whose outcome is unknown is
// repeated by the next call, which does no harm.
func (s *Saver) Save(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	select {
	case s.saving <- struct{}{}:
		defer func() { <-s.saving }()
	case <-ctx.Done():
		return
	}
	starts, next := s.options.Starts.UnsavedStarts(streamencoder.MaxStarts)
	if len(starts) == 0 {
		return
	}
	timeOfDay := s.options.TimeOfDay()
	if slot := streamencoder.Slot(timeOfDay); slot == s.lastSlot {
		starts = append(slices.Clone(s.last), starts...)
	} else {
		s.lastSlot = slot
	}
	s.last = starts
	record, err := s.options.Encoder.Encode(timeOfDay, starts)
	if err == nil {
		err = s.options.Store.Append(ctx, s.options.Topic, []currantwood.KeyedRecord{record})
	}
	if err != nil && !s.failing {
		s.options.Logger.Warn("starts of streams not saved, trying again", zap.Int("streams", len(starts)), zap.Error(err))
	}
	if err == nil && s.failing {
		s.options.Logger.Info("starts of streams saved again", zap.Int("streams", len(starts)))
	}
	s.failing = err != nil
	if err == nil {
		s.options.Starts.MarkStartsSaved(next)
	}
}
