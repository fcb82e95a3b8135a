package logservice

import (
	"time"

	"github.com/currantwood/currantwood"
	"golang.org/x/time/rate"
)

// entry is one record with the time of its append.
type entry struct {
	at   time.Time
	data []byte
}

// stream is one append-only stream.
type stream struct {
	// first is the offset of entries[0].
	first currantwood.Offset
	// entries are in ascending order of time.
	entries []entry
}

// core is the state of the log service without clock and sockets.
type core struct {
	streams map[currantwood.StreamName]*stream
	// limiter is nil while appends are not limited.
	limiter *rate.Limiter
	counts  Counts
}

func newCore() *core {
	return &core{streams: make(map[currantwood.StreamName]*stream)}
}

// limit sets the number of appends a second that are taken; 0 lifts the limit.
func (c *core) limit(perSecond float64) {
	c.limiter = nil
	if perSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
}

// append adds a record. It returns false when the record was refused.
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

// expire drops from all streams what is older than the retention.
func (c *core) expire(now time.Time, retention time.Duration) {
	for _, s := range c.streams {
		s.expire(now, retention)
	}
}

// read returns the records from an offset on that a lagging reader sees.
func (c *core) read(now time.Time, faults Faults, name currantwood.StreamName, from currantwood.Offset, limit int) currantwood.RecordBatch {
	s, ok := c.streams[name]
	if !ok {
		return currantwood.RecordBatch{}
	}
	s.expire(now, faults.Retention())
	visible := s.visible(now.Add(-faults.ReadLag()))
	window := currantwood.RecordBatch{First: s.first, End: s.first + currantwood.Offset(visible)}
	for at := max(from, s.first); at < window.End && len(window.Records) < limit; at++ {
		record := currantwood.Record{Offset: at, Data: s.entries[at-s.first].data}
		window.Records = append(window.Records, record)
	}
	return window
}

func (c *core) stream(name currantwood.StreamName) *stream {
	s, ok := c.streams[name]
	if !ok {
		s = &stream{}
		c.streams[name] = s
	}
	return s
}

func (s *stream) next() currantwood.Offset {
	return s.first + currantwood.Offset(len(s.entries))
}

// expire drops what is older than the retention; 0 keeps everything.
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

// visible counts the entries that were appended up to the given time.
func (s *stream) visible(until time.Time) int {
	count := len(s.entries)
	for count > 0 && s.entries[count-1].at.After(until) {
		count--
	}
	return count
}
