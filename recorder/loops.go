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
	// appendTimeout is how long the answer to an append is awaited.
	appendTimeout = 2 * time.Second
	// readTimeout bounds a read; it is longer than a read waits for a record.
	readTimeout = 3 * time.Second
	// readLimit is the most records of one read.
	readLimit = 500
	// idlePoll is the time between reads that find nothing; busyPoll while
	// calls wait for their intents.
	idlePoll = 250 * time.Millisecond
	busyPoll = 10 * time.Millisecond
	// failedPoll is the time until a read that failed is tried again.
	failedPoll = 200 * time.Millisecond
)

// appendLoop appends what waits, one append at a time: whatever arrives
// meanwhile goes with the next one.
func (s *shard) appendLoop() {
	ctx := s.recorder.ctx
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if s.recorder.limiter.Wait(ctx) != nil {
			return
		}
		s.appendWaiting(ctx)
	}
}

func (s *shard) appendWaiting(ctx context.Context) {
	batch, ok := s.takeBatch()
	if !ok {
		return
	}
	data, err := batch.Encode()
	if err != nil {
		s.recorder.logError("batch not encoded", s.stream, err)
		s.appendFailed(batch.Records, true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	meters := s.recorder.meters
	meters.appends.Inc(1)
	meters.records.Inc(int64(len(batch.Records)))
	if _, err := s.recorder.options.Log.Append(ctx, s.stream, data); err != nil {
		meters.failures.Inc(1)
		s.recorder.logError("append failed", s.stream, err)
		s.appendFailed(batch.Records, errors.Is(err, currantwood.ErrLogDown))
		return
	}
	s.mu.Lock()
	s.ledger.Appended(batch.Records)
	s.mu.Unlock()
	signal(s.readNow)
}

func (s *shard) takeBatch() (ledger.Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(len(s.waiting), maxBatchRecords)
	if count == 0 && !s.mark {
		return ledger.Batch{}, false
	}
	s.mark = false
	records := s.waiting[:count:count]
	s.waiting = s.waiting[count:]
	if len(s.waiting) > 0 {
		signal(s.wake)
	}
	return s.ledger.Batch(time.Now(), s.recorder.incarnation, records), true
}

func (s *shard) appendFailed(records []ledger.Record, sure bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.ledger.Failed(time.Now(), records, sure))
	signal(s.readNow)
}

// readLoop follows the shard's stream.
func (s *shard) readLoop() {
	for {
		wait := s.readOnce(s.recorder.ctx)
		timer := time.NewTimer(wait)
		select {
		case <-s.recorder.ctx.Done():
			timer.Stop()
			return
		case <-s.readNow:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// readOnce reads on and returns how long to wait for the next read.
func (s *shard) readOnce(ctx context.Context) time.Duration {
	progress, err := s.read(ctx, s.next())
	switch {
	case err != nil:
		s.recorder.logError("log not read", s.stream, err)
		return failedPoll
	case progress:
		return 0
	case s.busy():
		return busyPoll
	default:
		return idlePoll
	}
}

// readHead reads up to what the log has now. It starts one record early,
// because a read at the head may wait for a new one.
func (s *shard) readHead(ctx context.Context) error {
	for {
		from := s.next()
		progress, err := s.read(ctx, max(from, 1)-1)
		if err != nil || !progress {
			return err
		}
	}
}

// read takes in what the log has from an offset on. It reports whether there
// was something new.
func (s *shard) read(ctx context.Context, from currantwood.Offset) (bool, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	window, err := s.recorder.options.Log.Read(bounded, s.stream, from, readLimit)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			s.ledger.ReadFailed(time.Now())
		}
		return false, err
	}
	page, err := ledger.Decode(window)
	if err != nil {
		s.recorder.logError("record not understood", s.stream, err)
	}
	before := s.ledger.Next()
	s.perform(s.ledger.Read(time.Now(), page))
	return s.ledger.Next() > before, nil
}

func (s *shard) next() currantwood.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Next()
}

func (s *shard) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls) > 0
}

// meters are the recorder's metrics; docs/operators/metrics.md lists them.
type meters struct {
	appends, records, failures, runs metrics.Counter
}

func newMeters(registry metrics.Registry, operations func() int64) *meters {
	m := &meters{
		appends:  metrics.NewCounter(),
		records:  metrics.NewCounter(),
		failures: metrics.NewCounter(),
		runs:     metrics.NewCounter(),
	}
	_ = registry.Register("operation-appends", m.appends)
	_ = registry.Register("operation-records", m.records)
	_ = registry.Register("operation-append-failures", m.failures)
	_ = registry.Register("operation-runs", m.runs)
	_ = registry.Register("operations-kept", metrics.NewFunctionalGauge(operations))
	return m
}
