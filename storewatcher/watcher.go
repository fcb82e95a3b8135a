// Package storewatcher follows a topic of the platform's store, by its own
// reads or by records that a peer has read.
package storewatcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/sleeper"
)

const (
	// readTimeoutMargin is how much longer than its requested wait a read may
	// take. Only this timeout detects a connection on which nothing arrives
	// any more.
	readTimeoutMargin = 500 * time.Millisecond
	// slowReadTimeoutMargin replaces readTimeoutMargin after a failed read, so
	// that a slow store is still read.
	slowReadTimeoutMargin = 1200 * time.Millisecond
	// patientReadTimeoutMargin replaces both after several failed reads. Many gateways may
	// be reading much at once, and a read that is given up is work in vain for the store.
	patientReadTimeoutMargin = 2500 * time.Millisecond
	// unreachableThreshold is the time since the last successful read after
	// which a single failed read is enough to declare the store unreachable.
	// Before that, it takes two in a row.
	unreachableThreshold = 700 * time.Millisecond
	// outageThreshold is how long a topic may go without a read, here or by a
	// peer, in addition to Feed.Wait. After a longer gap in which reads failed, a record that
	// is missing may have expired only because its writer couldn't reach the store.
	outageThreshold = 1200 * time.Millisecond
	// coverageCheckInterval is the time between two checks whether a peer
	// still reads the topic.
	coverageCheckInterval = 100 * time.Millisecond
)

// Watcher follows one feed.
type Watcher struct {
	store  currantwood.KeyedStore
	logger *zap.Logger
	now    func() time.Time
	feed   Feed
	// kick has a buffer of one: a pending request for a read.
	kick chan struct{}
	// mu protects the fields below. It is held while records are applied, so that
	// its next holder finds exactly the records before offset next applied.
	mu sync.Mutex
	// next is the offset to read from; valid if positionKnown is true.
	next          currantwood.Offset
	positionKnown bool
	// readAll is whether the next read is one of the newest records; see ReadAll.
	readAll bool
	// era is that of the store in which next is valid; it never decreases.
	era currantwood.StoreEra
	// lastSuccess is when a read last succeeded; at first, when the Watcher was
	// created.
	lastSuccess time.Time
	// currentAt is when this process last had all records of the topic: when the
	// answer to its own read arrived, or when a peer read the topic. It is zero
	// if it never had.
	currentAt time.Time
	// declaredUnreachable reports whether the store was logged as unreachable and
	// no read has succeeded since. Reachable is false before that, from the first
	// failed read on.
	declaredUnreachable bool
	// consecutiveFailures is the number of failed reads since the last successful
	// one.
	consecutiveFailures int
	// failedAt is when a read last failed; zero if none has.
	failedAt time.Time
	// takeOverAt is when this process reads the topic although a peer did so at the last
	// check; zero if none did. Only the goroutine that reads uses it.
	takeOverAt time.Time
}

// New returns a Watcher that follows feed in the background until ctx is done.
func New(ctx context.Context, store currantwood.KeyedStore, logger *zap.Logger, now func() time.Time, feed Feed) *Watcher {
	w := &Watcher{store: store, logger: logger, now: now, feed: feed, kick: make(chan struct{}, 1), lastSuccess: now()}
	go func() {
		for ctx.Err() == nil {
			w.runOnce(ctx)
		}
	}()
	return w
}

// Position returns the offset up to which the topic is known. It is 0 if the
// topic isn't known, or if it is known to be empty.
func (w *Watcher) Position() currantwood.Offset {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.positionKnown {
		return 0
	}
	return w.next
}

// Era returns the era of the store to which the position belongs; 0 if the store
// doesn't say or nothing was read yet.
func (w *Watcher) Era() currantwood.StoreEra {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era
}

// Age returns how long ago this process last had all records of the topic; the
// longest Duration if it never had.
func (w *Watcher) Age(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.currentAt)
}

// FailedAt returns when a read by this process last failed; zero if none has.
func (w *Watcher) FailedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failedAt
}

// ApplyPeerRecords applies records that a peer read. It returns false if the topic isn't
// known yet, their range leaves a gap or is of another era. A later era also requests a read
// of its own.
func (w *Watcher) ApplyPeerRecords(now time.Time, read currantwood.PeerRead) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if read.Era > w.era {
		w.Kick()
	}
	if !w.positionKnown || read.Era != w.era || read.From > w.next {
		return false
	}
	w.markCurrent(read.ReadAt, read.FailedAt)
	if read.Next <= w.next {
		return true
	}
	newer := recordsFrom(w.next, read.Records)
	w.next = read.Next
	w.feed.Apply(now, newer)
	return true
}

// recordsFrom returns the records from offset on.
func recordsFrom(offset currantwood.Offset, records []currantwood.KeyedRecord) []currantwood.KeyedRecord {
	var tail []currantwood.KeyedRecord
	for _, r := range records {
		if r.Offset >= offset {
			tail = append(tail, r)
		}
	}
	return tail
}

// markCurrent notes that this process had all records of the topic at a time, by
// its own read or that of a peer, whose reads last failed at peerFailedAt. It informs the feed
// of the end of an outage before the records written during it are applied. Called with mu held.
//
// A gap between reads isn't an outage of the store by itself: the gateway that reads for this one
// may have been the only one that lost the store. One whose read failed in the gap knows more.
func (w *Watcher) markCurrent(at, peerFailedAt time.Time) {
	if at.Before(w.currentAt) {
		return
	}
	gap := at.Sub(w.currentAt)
	if !w.currentAt.IsZero() && gap > max(outageThreshold, w.feed.MinOutage)+w.feed.Wait {
		failed := w.failedAt.After(w.currentAt) || peerFailedAt.After(w.currentAt)
		w.logger.Info("records available again after a gap", zap.String("feed", w.feed.Name), zap.Duration("without", gap), zap.Bool("reads-failed", failed))
		if failed {
			w.feed.OnOutageEnd(at)
		}
	}
	w.currentAt = at
}

// Kick requests a read, even while a peer reads the topic. It starts after the
// current read and its backoff, but doesn't wait for the end of Feed.Pause.
func (w *Watcher) Kick() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// ReadAll requests a read of the newest record of each key, whatever is known already.
func (w *Watcher) ReadAll() {
	w.mu.Lock()
	w.readAll = true
	w.mu.Unlock()
	w.Kick()
}

// Reachable reports whether this process's latest own read of the store
// succeeded, however long ago. While a peer reads the topic for this process,
// only reads requested by Kick change it.
func (w *Watcher) Reachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.positionKnown && !w.declaredUnreachable && w.consecutiveFailures == 0
}

// Failing reports whether this process's latest own read failed.
func (w *Watcher) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.consecutiveFailures > 0
}

// runOnce reads the topic once, or waits if a peer reads it.
func (w *Watcher) runOnce(ctx context.Context) {
	kicked := false
	select {
	case <-w.kick:
		kicked = true
	default:
	}
	if !kicked && (w.isPositionKnown() && w.awaitsPeer() || w.feed.Held()) {
		w.waitForKick(ctx, coverageCheckInterval)
		return
	}
	if err := w.readOnce(ctx); err != nil {
		w.recordFailure(err)
		least, pause := w.feed.RetryPause(w.consecutiveFailures)
		if sleeper.Sleep(ctx, least) {
			w.waitForKick(ctx, pause-least)
		}
		return
	}
	if w.feed.Pause > 0 {
		w.waitForKick(ctx, w.feed.Pause)
	}
}

func (w *Watcher) isPositionKnown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.positionKnown
}

// awaitsPeer reports whether a peer reads the topic, or did a moment ago so that another
// one may take over.
func (w *Watcher) awaitsPeer() bool {
	now := w.now()
	if w.covered() {
		w.takeOverAt = now.Add(w.feed.TakeOverPause())
		return true
	}
	return now.Before(w.takeOverAt)
}

// covered reports whether a peer reads the topic, and notes when it last did.
func (w *Watcher) covered() bool {
	readAt, covered := w.feed.PeerCoverage(w.now())
	if covered {
		w.mu.Lock()
		w.markCurrent(readAt, time.Time{})
		w.mu.Unlock()
	}
	return covered
}

// waitForKick waits for d, or until ctx is done or a read is requested. A
// request stays pending.
func (w *Watcher) waitForKick(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-w.kick:
		w.Kick()
	}
}
