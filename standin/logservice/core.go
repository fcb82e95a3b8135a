package logservice

import (
	"time"

	"github.com/currantwood/currantwood"
	"golang.org/x/time/rate"
)

// entry is a record and the time when it was appended.
type entry struct {
	at   time.Time
	data []byte
}

// stream is one append-only stream.
type stream struct {
	// first is the offset of entries[0].
	first currantwood.Offset
	// entries are the records not expired yet, in ascending order of time.
	entries []entry
}

// core is the state of the log service. It uses no clock and no network.
type core struct {
	streams map[currantwood.StreamName]*stream
	// limiter limits appends over all streams; nil means no limit.
	limiter *rate.Limiter
	counts  Counts
}

func newCore() *core {
	return &core{streams: make(map[currantwood.StreamName]*stream)}
}

// setAppendLimit sets the number of appends per second that are accepted, with
// bursts of the same number; 0 means no limit.
func (c *core) setAppendLimit(perSecond float64) {
	c.limiter = nil
	if perSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
}

// append adds a record and returns its offset. It returns false when the record
// is refused.
func (c *core) append(now time.Time, faults Faults, name currantwood.StreamName, data []byte) (currantwood.Offset, bool) {
	if faults.Down || (c.limiter != nil && !c.limiter.AllowN(now, 1)) {
		c.counts.Refused++
		return 0, false
	}
	s := c.stream(name)
	s.expire(now, faults.Retention())
	s.entries = append(s.entries, entry{at: now, data: data})
	c.counts.Appends++
	return s.next() - 1, true
}

// expire drops the records of all streams that are older than the retention.
func (c *core) expire(now time.Time, retention time.Duration) {
	for _, s := range c.streams {
		s.expire(now, retention)
	}
}

// read returns up to limit records from the given offset on. Records younger
// than the read lag are not visible yet, and RecordBatch.End is the offset after
// the newest visible record.
func (c *core) read(now time.Time, faults Faults, name currantwood.StreamName, from currantwood.Offset, limit int) currantwood.RecordBatch {
	s, ok := c.streams[name]
	if !ok {
		return currantwood.RecordBatch{}
	}
	s.expire(now, faults.Retention())
	visible := s.countVisible(now.Add(-faults.ReadLag()))
	batch := currantwood.RecordBatch{First: s.first, End: s.first + currantwood.Offset(visible)}
	for at := max(from, s.first); at < batch.End && len(batch.Records) < limit; at++ {
		record := currantwood.Record{Offset: at, Data: s.entries[at-s.first].data}
		batch.Records = append(batch.Records, record)
	}
	return batch
}

// stream returns the stream of that name and creates it if needed.
func (c *core) stream(name currantwood.StreamName) *stream {
	s, ok := c.streams[name]
	if !ok {
		s = &stream{}
		c.streams[name] = s
	}
	return s
}

// next returns the offset of the next record to be appended.
func (s *stream) next() currantwood.Offset {
	return s.first + currantwood.Offset(len(s.entries))
}

// expire drops the records that are older than the retention; 0 keeps them all.
func (s *stream) expire(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	oldest := now.Add(-retention)
	expired := 0
	for expired < len(s.entries) && s.entries[expired].at.Before(oldest) {
		expired++
	}
	s.entries = s.entries[expired:]
	s.first += currantwood.Offset(expired)
}

// countVisible returns the number of entries appended up to the given time.
func (s *stream) countVisible(until time.Time) int {
	count := len(s.entries)
	for count > 0 && s.entries[count-1].at.After(until) {
		count--
	}
	return count
}
