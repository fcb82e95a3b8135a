package recorder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ledger"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// readTimeout bounds one read. It must be longer than logclient.Options.Wait,
	// for which the log service holds a read open while there is no new record.
	readTimeout = 3 * time.Second
	// readLimit is the maximum number of records per read.
	readLimit = 500
	// idlePollInterval is the time until the next read after one that returned
	// no new record, whether or not the log service held that one open. While
	// calls have no answer it is busyPollInterval, because some may wait until
	// the record of their intent (see package ledger) is read back.
	idlePollInterval = 250 * time.Millisecond
	busyPollInterval = 10 * time.Millisecond
	// readRetryDelay is the time until the next read after one that failed.
	readRetryDelay = 200 * time.Millisecond
)

// appendLoop appends pending records, one batch at a time. Records that arrive
// during an append go into the next batch.
func (s *shard) appendLoop() {
	ctx := s.recorder.ctx
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.appendWake:
		}
		if s.recorder.appendLimiter.Wait(ctx) != nil {
			return
		}
		s.appendBatch(ctx)
	}
}

// appendBatch appends one batch and tells the ledger whether that succeeded.
func (s *shard) appendBatch(ctx context.Context) {
	batch, ok := s.takeBatch()
	if !ok {
		return
	}
	data, err := batch.Encode()
	if err != nil {
		s.recorder.logError("batch not encoded", s.stream, err)
		s.handleAppendFailure(batch.Records, true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	meters := s.recorder.meters
	meters.appends.Inc(1)
	meters.records.Inc(int64(len(batch.Records)))
	if _, err := s.recorder.options.Log.Append(ctx, s.stream, data); err != nil {
		meters.appendFailures.Inc(1)
		s.recorder.logError("append failed", s.stream, err)
		s.handleAppendFailure(batch.Records, errors.Is(err, currantwood.ErrLogDown))
		return
	}
	s.mu.Lock()
	s.ledger.Appended(batch.Records)
	s.mu.Unlock()
	signal(s.readWake)
}

// takeBatch removes up to maxBatchRecords records from pendingRecords. It reports
// false when nothing has to be appended.
func (s *shard) takeBatch() (ledger.Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(len(s.pendingRecords), maxBatchRecords)
	if count == 0 && !s.markDue {
		return ledger.Batch{}, false
	}
	s.markDue = false
	records := s.pendingRecords[:count:count]
	s.pendingRecords = s.pendingRecords[count:]
	if len(s.pendingRecords) > 0 {
		signal(s.appendWake)
	}
	return s.ledger.Batch(time.Now(), s.recorder.incarnation, records), true
}

// handleAppendFailure reports a failed append to the ledger. notStored is set
// when the records are certainly not in the log.
func (s *shard) handleAppendFailure(records []ledger.Record, notStored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.ledger.AppendFailed(time.Now(), records, notStored))
	signal(s.readWake)
}

// readLoop reads the shard's stream until the recorder is closed.
func (s *shard) readLoop() {
	for {
		delay := s.readOnce(s.recorder.ctx)
		timer := time.NewTimer(delay)
		select {
		case <-s.recorder.ctx.Done():
			timer.Stop()
			return
		case <-s.readWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// readOnce reads once from the next offset and returns the delay until the next
// read.
func (s *shard) readOnce(ctx context.Context) time.Duration {
	advanced, err := s.readFrom(ctx, s.nextOffset())
	switch {
	case err != nil:
		s.recorder.logError("log not read", s.stream, err)
		return readRetryDelay
	case advanced:
		return 0
	case s.hasCalls():
		return busyPollInterval
	default:
		return idlePollInterval
	}
}

// readToEnd reads the stream up to its current end. Each read starts one record
// early, because a read that starts at the end may wait for a new record. Only an
// empty stream is read from its end.
func (s *shard) readToEnd(ctx context.Context) error {
	for {
		from := s.nextOffset()
		advanced, err := s.readFrom(ctx, max(from, 1)-1)
		if err != nil || !advanced {
			return err
		}
	}
}

// readFrom reads the stream from an offset and applies the records to the ledger.
// It reports whether it read past the ledger's next offset.
func (s *shard) readFrom(ctx context.Context, from currantwood.Offset) (bool, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := s.recorder.options.Log.Read(readCtx, s.stream, from, readLimit)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			s.ledger.ReadFailed(time.Now())
		}
		return false, err
	}
	page, err := ledger.Decode(batch)
	if err != nil {
		// The page is complete all the same.
		s.recorder.logError("record not understood", s.stream, err)
	}
	before := s.ledger.Next()
	s.perform(s.ledger.ApplyPage(time.Now(), page))
	return s.ledger.Next() > before, nil
}

func (s *shard) nextOffset() currantwood.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Next()
}

func (s *shard) hasCalls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls) > 0
}

// meters holds the recorder's metrics. docs/operators/metrics.md lists them.
type meters struct {
	appends, records, appendFailures, runs metrics.Counter
}

func newMeters(registry metrics.Registry, operations func() int64) *meters {
	m := &meters{
		appends:        metrics.NewCounter(),
		records:        metrics.NewCounter(),
		appendFailures: metrics.NewCounter(),
		runs:           metrics.NewCounter(),
	}
	_ = registry.Register("operation-appends", m.appends)
	_ = registry.Register("operation-records", m.records)
	_ = registry.Register("operation-append-failures", m.appendFailures)
	_ = registry.Register("operation-runs", m.runs)
	_ = registry.Register("operations-kept", metrics.NewFunctionalGauge(operations))
	return m
}
