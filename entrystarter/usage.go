package entrystarter

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/limiter"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

const (
	// levelInterval is the time between two looks at the fair shares.
	levelInterval = 250 * time.Millisecond
	// usageEvery is the number of looks between two exchanges with the other
	// entries: they see this one's use about a second late.
	usageEvery = 4
)

// shareUsage keeps the limiter's view of free memory current and tells the
// other entries what customers use here.
func (e *Entry) shareUsage() {
	ticker := time.NewTicker(levelInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.limiter.Free(e.tracker.Headroom())
			e.limiter.Tick(now)
		}
		if n%usageEvery == 0 {
			e.links.Broadcast(usageFrame(e.settings.Process, e.limiter.Uses()))
		}
	}
}

func usageFrame(process string, uses []limiter.Use) *wire.Frame {
	usage := &wire.Usage{Process: process}
	for _, use := range uses {
		usage.Customers = append(usage.Customers, &wire.CustomerUsage{
			Customer:              string(use.Customer),
			InFlight:              use.InFlight,
			TokenSecondsPerSecond: use.Held,
		})
	}
	return &wire.Frame{Body: &wire.Frame_Usage{Usage: usage}}
}

// usageHandler takes in what customers use at other entries.
type usageHandler struct{ limiter *limiter.Limiter }

func (h *usageHandler) Up(*linker.Link) {}

func (h *usageHandler) Down(*linker.Link, error) {}

func (h *usageHandler) Frame(_ *linker.Link, frame *wire.Frame) bool {
	usage := frame.GetUsage()
	if usage == nil {
		return false
	}
	uses := make([]limiter.Use, 0, len(usage.Customers))
	for _, c := range usage.Customers {
		uses = append(uses, limiter.Use{
			Customer: currantwood.CustomerID(c.Customer),
			InFlight: c.InFlight,
			Held:     c.TokenSecondsPerSecond,
		})
	}
	h.limiter.Exchange(time.Now(), currantwood.VMID(usage.Process), uses)
	return true
}
