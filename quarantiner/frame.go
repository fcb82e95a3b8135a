package quarantiner

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// Frame is the report as it is sent at the given time. Clocks of processes are
// not compared, so it carries the crash's age.
func (c Crash) Frame(now time.Time) *wire.Frame {
	report := &wire.Crash{
		Id:       c.ID,
		Upstream: string(c.Upstream),
		AgeMs:    now.Sub(c.At).Milliseconds(),
		InFlight: make([]uint64, len(c.InFlight)),
	}
	for i, fingerprint := range c.InFlight {
		report.InFlight[i] = uint64(fingerprint)
	}
	return &wire.Frame{Body: &wire.Frame_Crash{Crash: report}}
}

// CrashOf is a report that arrived at the given time.
func CrashOf(now time.Time, report *wire.Crash) Crash {
	crash := Crash{
		ID:       report.Id,
		Upstream: currantwood.UpstreamID(report.Upstream),
		At:       now.Add(-time.Duration(report.AgeMs) * time.Millisecond),
		InFlight: make([]currantwood.Fingerprint, len(report.InFlight)),
	}
	for i, fingerprint := range report.InFlight {
		crash.InFlight[i] = currantwood.Fingerprint(fingerprint)
	}
	return crash
}
