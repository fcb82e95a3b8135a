// Package storewatcher follows the configuration and the directory of
// upstreams in the platform's store.
package storewatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/sleeper"
)

const (
	// configurationWait is how long a read waits for a new configuration. The
	// freshness of keys is proven once in this time.
	configurationWait = time.Second
	// upstreamPause is the time between two reads of the directory. Upstreams
	// write all the time, so that a read that waits for the next record would
	// return at once.
	upstreamPause = 250 * time.Millisecond
	// answerTimeout bounds a read beyond the time it was told to wait. A
	// connection that went silent is noticed only by it.
	answerTimeout = 500 * time.Millisecond
	// slowestAnswer bounds it while reads fail: a slow store is better than none.
	slowestAnswer = 1200 * time.Millisecond
	// firstBackoff and longestBackoff are the pauses between failed reads.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 400 * time.Millisecond
	// absence is how long reads fail before the store counts as lost.
	absence = 700 * time.Millisecond
)

// Feed is one topic and what becomes of its records.
type Feed struct {
	Name  string
	Topic string
	// Wait is how long a read waits for the next record.
	Wait time.Duration
	// Pause is the time between the answer of a read and the next one.
	Pause time.Duration
	// Replace takes the newest record of each key, Apply those that follow.
	Replace func(now time.Time, records []currantwood.KeyedRecord)
	Apply   func(now time.Time, records []currantwood.KeyedRecord)
	// Proven is told when a read that showed everything newer was sent.
	Proven func(at time.Time)
	// Regained is told when the store answers again after an absence.
	Regained func(now time.Time)
}

// Configuration returns the times for the configuration's topic.
func Configuration(feed Feed) Feed {
	feed.Wait = configurationWait
	return feed
}

// Upstreams returns the times for the directory's topic.
func Upstreams(feed Feed) Feed {
	feed.Pause = upstreamPause
	return feed
}

// Watcher follows feeds.
type Watcher struct {
	store  currantwood.KeyedStore
	logger *zap.Logger
	now    func() time.Time
}

// New starts to follow the feeds, each by a goroutine that ends with ctx.
func New(ctx context.Context, store currantwood.KeyedStore, logger *zap.Logger, now func() time.Time, feeds ...Feed) *Watcher {
	w := &Watcher{store: store, logger: logger, now: now}
	for _, feed := range feeds {
		f := &follower{Watcher: w, feed: feed, lastAnswer: now()}
		go func() { f.follow(ctx) }()
	}
	return w
}

// follower is the state of one feed.
type follower struct {
	*Watcher
	feed Feed
	// next is the offset to read on from; it has a meaning while known is true.
	next  currantwood.Offset
	known bool
	// lastAnswer is when the store last answered.
	lastAnswer time.Time
	lost       bool
	failures   int
}

func (f *follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.failed(err)
			sleeper.Sleep(ctx, min(longestBackoff, firstBackoff<<min(f.failures, 8)))
			continue
		}
		f.failures = 0
		if f.feed.Pause > 0 {
			sleeper.Sleep(ctx, f.feed.Pause)
		}
	}
}

// step makes one read.
func (f *follower) step(ctx context.Context) error {
	sent := f.now()
	wait := f.feed.Wait
	if f.lost {
		// The first answer after an absence is wanted at once.
		wait = 0
	}
	timeout := wait + answerTimeout
	if f.failures > 0 {
		timeout = wait + slowestAnswer
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !f.known {
		return f.restart(ctx, sent)
	}
	window, err := f.store.Read(ctx, f.feed.Topic, f.next, wait)
	if errors.Is(err, currantwood.ErrExpired) {
		f.known = false
		f.logger.Info("records expired, reading the newest", zap.String("feed", f.feed.Name), zap.Uint64("from", uint64(f.next)))
		return f.restart(ctx, sent)
	}
	if err != nil {
		return err
	}
	f.answered()
	f.next = window.Next
	f.feed.Apply(f.now(), window.Records)
	f.feed.Proven(sent)
	return nil
}

func (f *follower) restart(ctx context.Context, sent time.Time) error {
	window, err := f.store.Newest(ctx, f.feed.Topic)
	if err != nil {
		return err
	}
	f.answered()
	f.next, f.known = window.Next, true
	f.feed.Replace(f.now(), window.Records)
	f.feed.Proven(sent)
	return nil
}

func (f *follower) answered() {
	now := f.now()
	if f.lost {
		f.lost = false
		f.logger.Info("store regained", zap.String("feed", f.feed.Name), zap.Duration("away", now.Sub(f.lastAnswer)))
		f.feed.Regained(now)
	}
	f.lastAnswer = now
}

func (f *follower) failed(err error) {
	f.failures++
	away := f.now().Sub(f.lastAnswer)
	if f.lost || away < absence {
		return
	}
	f.lost = true
	f.logger.Warn("store lost", zap.String("feed", f.feed.Name), zap.Duration("since-last-answer", away), zap.Error(err))
}
