package entrystarter

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/limiter"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

const (
	// limiterInterval is the time between two updates of the limiter's fair shares.
	limiterInterval = 250 * time.Millisecond
	// ticksPerUsageReport is the number of limiter updates per usage report. The other
	// entries see this entry's usage up to that much later, about a second.
	ticksPerUsageReport = 4
)

// runLimiter updates the limiter with the free engine memory and sends this entry's
// usage to all linked processes, of which only the entries use it. It runs until the
// entry stops.
func (e *Entry) runLimiter() {
	ticker := time.NewTicker(limiterInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.limiter.SetFreeMemory(e.tracker.Headroom())
			e.limiter.Tick(now)
		}
		if n%ticksPerUsageReport == 0 {
			e.distributor.Broadcast(usageFrame(e.settings.Process, e.limiter.Usages()))
		}
	}
}

// usageFrame returns a usage report. The memory that a customer holds, in tokens, is
// also its usage in token-seconds per second.
func usageFrame(process string, uses []limiter.Usage) *wire.Frame {
	usage := &wire.Usage{Process: process}
	for _, use := range uses {
		usage.Customers = append(usage.Customers, &wire.CustomerUsage{
			Customer:              string(use.Customer),
			InFlight:              use.InFlight,
			TokenSecondsPerSecond: use.HeldTokens,
		})
	}
	return &wire.Frame{Body: &wire.Frame_Usage{Usage: usage}}
}

// usageHandler passes the usage reported by other entries to the limiter. It
// implements distributor.Handler.
type usageHandler struct{ limiter *limiter.Limiter }

func (h *usageHandler) Up(*linker.Link) {}

func (h *usageHandler) Down(*linker.Link, error) {}

func (h *usageHandler) Frame(_ *linker.Link, frame *wire.Frame) bool {
	usage := frame.GetUsage()
	if usage == nil {
		return false
	}
	uses := make([]limiter.Usage, 0, len(usage.Customers))
	for _, c := range usage.Customers {
		uses = append(uses, limiter.Usage{
			Customer:   currantwood.CustomerID(c.Customer),
			InFlight:   c.InFlight,
			HeldTokens: c.TokenSecondsPerSecond,
		})
	}
	// The ID only distinguishes the reporting entries. It is that of the process, not
	// of its VM.
	h.limiter.RecordPeerUsage(time.Now(), currantwood.VMID(usage.Process), uses)
	return true
}
