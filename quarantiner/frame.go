package quarantiner

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// Frame returns the frame that reports the crash when it is sent at the time now.
// It holds the crash's age and not its time, since the clocks of two processes may
// differ.
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

// CrashFromWire returns the crash that report describes; report arrived at the time
// now.
func CrashFromWire(now time.Time, report *wire.Crash) Crash {
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
