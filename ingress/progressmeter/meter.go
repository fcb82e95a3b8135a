// Package progressmeter measures whether bytes are transferred at a least rate. A transfer
// begins with an allowance of time. Time uses it up, and bytes refill it at the rate, but
// never above the allowance: what was fast at first may not stall for long afterwards.
package progressmeter

import "time"

// Meter measures one transfer. The zero value has expired. It is not safe for concurrent
// use.
type Meter struct {
	allowance      time.Duration
	bytesPerSecond int64
	// end is when the allowance is used up if no more bytes come.
	end time.Time
}

// New returns a meter of a transfer that begins now. bytesPerSecond must be positive.
func New(now time.Time, allowance time.Duration, bytesPerSecond int64) Meter {
	return Meter{allowance: allowance, bytesPerSecond: bytesPerSecond, end: now.Add(allowance)}
}

// Transferred notes that bytes were transferred.
func (m *Meter) Transferred(now time.Time, bytes int) {
	refill := time.Duration(int64(bytes) * int64(time.Second) / m.bytesPerSecond)
	m.Extend(now, refill)
}

// Extend adds time, such as that in which the process didn't run. What is left is never more
// than the allowance: a transfer may have begun after that time.
func (m *Meter) Extend(now time.Time, d time.Duration) {
	m.end = m.end.Add(d)
	if latest := now.Add(m.allowance); m.end.After(latest) {
		m.end = latest
	}
}

// Lag returns how much of the allowance is used up.
func (m *Meter) Lag(now time.Time) time.Duration {
	return max(0, m.allowance-m.end.Sub(now))
}

// Expired reports whether the allowance is used up.
func (m *Meter) Expired(now time.Time) bool { return !now.Before(m.end) }
