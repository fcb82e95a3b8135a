package linker

import "time"

// silenceMeter measures for how long a peer has been silent while this process ran. A
// process that was paused or got no processor time hasn't read what has arrived, so the
// peer isn't to blame for that time.
type silenceMeter struct {
	// interval is the time between two checks of a process that runs. A longer time
	// between two checks counts as one interval.
	interval  time.Duration
	checkedAt time.Time
	// reads is the number of reads at the last check.
	reads uint64
	// silence is the time without a read, up to the last check.
	silence time.Duration
}

func newSilenceMeter(now time.Time, interval time.Duration) *silenceMeter {
	return &silenceMeter{interval: interval, checkedAt: now}
}

// check returns for how long no read has returned bytes, given the number of those that have
// so far.
func (m *silenceMeter) check(now time.Time, reads uint64) time.Duration {
	elapsed := min(now.Sub(m.checkedAt), m.interval)
	m.checkedAt = now
	if reads != m.reads {
		m.reads = reads
		m.silence = 0
		return 0
	}
	m.silence += elapsed
	return m.silence
}
