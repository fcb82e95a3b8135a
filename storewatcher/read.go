package storewatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

// failuresBeforePatience is the number of failed reads after which
// patientReadTimeoutMargin applies.
const failuresBeforePatience = 2

// readOnce reads the topic once and applies the result. It reads the newest
// record of each key if the position isn't known, if ReadAll asked for them or if the store
// no longer keeps the records from there on.
func (w *Watcher) readOnce(ctx context.Context) error {
	sent := w.now()
	w.mu.Lock()
	wait, known, from := w.feed.Wait, w.positionKnown && !w.readAll, w.next
	if w.declaredUnreachable || w.feed.Stale(sent) {
		// The records held are too old, or may be so after an outage. Only an
		// answer shows whether they are the newest, so the read must not wait
		// for new ones.
		wait = 0
	}
	timeout := wait + readTimeoutMargin
	switch {
	case w.consecutiveFailures >= failuresBeforePatience:
		timeout = wait + patientReadTimeoutMargin
	case w.consecutiveFailures > 0:
		timeout = wait + slowReadTimeoutMargin
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !known {
		return w.readNewest(ctx, sent)
	}
	batch, err := w.store.Read(ctx, w.feed.Topic, from, wait)
	rose, eraErr := w.checkEra(batch.Era)
	if eraErr != nil {
		return eraErr
	}
	if rose {
		return w.readNewest(ctx, sent)
	}
	if errors.Is(err, currantwood.ErrRecordsExpired) {
		w.logger.Info("records expired, reading the newest", zap.String("feed", w.feed.Name), zap.Uint64("from", uint64(from)))
		return w.readNewest(ctx, sent)
	}
	if err != nil {
		return err
	}
	w.recordSuccess()
	w.applyBatch(from, batch)
	w.feed.OnCurrentAsOf(sent)
	return nil
}

// applyBatch applies a batch that was read from an offset on, without the
// records that a peer's read has already supplied.
func (w *Watcher) applyBatch(from currantwood.Offset, batch currantwood.KeyedRecordBatch) {
	now := w.now()
	w.mu.Lock()
	newer := recordsFrom(w.next, batch.Records)
	w.markCurrent(now, time.Time{})
	start := max(from, w.next)
	w.next = max(w.next, batch.Next)
	w.noteOwnRead(now, Read{Era: w.era, From: from, Next: batch.Next, Records: batch.Records})
	changed := w.feed.Apply(now, newer)
	next, era := w.next, w.era
	w.mu.Unlock()
	w.feed.OnRead(now, era, start, next, changed)
}

// noteOwnRead calls Feed.OnOwnRead. Called with mu held.
func (w *Watcher) noteOwnRead(now time.Time, read Read) {
	if w.feed.OnOwnRead != nil {
		w.feed.OnOwnRead(now, read)
	}
}

// readNewest reads and applies the newest record of each key.
func (w *Watcher) readNewest(ctx context.Context, sent time.Time) error {
	batch, err := w.store.Newest(ctx, w.feed.Topic)
	if err != nil {
		return err
	}
	rose, err := w.checkEra(batch.Era)
	if err != nil {
		return err
	}
	w.recordSuccess()
	now := w.now()
	w.mu.Lock()
	if rose {
		w.handleEraRise(now, sent, batch)
	}
	w.markCurrent(now, time.Time{})
	w.next, w.positionKnown, w.readAll, w.era = batch.Next, true, false, max(w.era, batch.Era)
	w.noteOwnRead(now, Read{Whole: true, Era: w.era, Next: batch.Next, Records: batch.Records})
	w.feed.Replace(now, batch.Records)
	era := w.era
	w.mu.Unlock()
	w.feed.OnRead(now, era, batch.Next, batch.Next, nil)
	w.feed.OnCurrentAsOf(sent)
	return nil
}

// checkEra reports whether an answer shows that the store has come back from an older
// copy since the position was set. It fails for an answer of an earlier era, which was
// long on its way. A store that doesn't say its era is taken to be in the known one.
func (w *Watcher) checkEra(era currantwood.StoreEra) (rose bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if era == 0 {
		return false, nil
	}
	if era < w.era {
		return false, errors.Errorf("answer of era %d, in era %d", era, w.era)
	}
	return era > w.era && w.positionKnown, nil
}

// handleEraRise informs the feed that the store has come back from an older copy, in
// which the newest records were read. What its writers had written since the copy is
// missing until they write it again, as after an outage. Called with mu held.
func (w *Watcher) handleEraRise(now, sent time.Time, newest currantwood.KeyedRecordBatch) {
	w.logger.Warn("store came back from an older copy", zap.String("feed", w.feed.Name),
		zap.Uint64("old-era", uint64(w.era)), zap.Uint64("new-era", uint64(newest.Era)),
		zap.Uint64("position", uint64(w.next)), zap.Uint64("new-position", uint64(newest.Next)),
		zap.Int("records", len(newest.Records)), zap.Duration("took", now.Sub(sent)))
	w.feed.OnEraRise(now, newest.Era)
	w.feed.OnOutageEnd(now)
}

// recordSuccess notes that a read succeeded, and logs that the store is reachable
// again if it was declared unreachable.
func (w *Watcher) recordSuccess() {
	now := w.now()
	w.mu.Lock()
	wasUnreachable, sinceSuccess := w.declaredUnreachable, now.Sub(w.lastSuccess)
	wasFailing := w.consecutiveFailures > 0
	w.declaredUnreachable, w.consecutiveFailures, w.lastSuccess = false, 0, now
	w.mu.Unlock()
	if wasFailing {
		w.feed.OnRecovery()
	}
	if wasUnreachable {
		w.logger.Info("store reachable again", zap.String("feed", w.feed.Name), zap.Duration("away", sinceSuccess))
	}
}

// recordFailure counts a failed read. The second in a row, or one after
// unreachableThreshold without a success, declares the store unreachable.
func (w *Watcher) recordFailure(err error) {
	now := w.now()
	w.mu.Lock()
	w.failedAt = now
	w.consecutiveFailures++
	sinceSuccess := now.Sub(w.lastSuccess)
	becameUnreachable := !w.declaredUnreachable && (sinceSuccess >= unreachableThreshold || w.consecutiveFailures > 1)
	if becameUnreachable {
		w.declaredUnreachable = true
	}
	w.mu.Unlock()
	if becameUnreachable {
		w.logger.Warn("store unreachable", zap.String("feed", w.feed.Name), zap.Duration("since-last-answer", sinceSuccess), zap.Error(err))
	}
}
