package entrystarter

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

// sideHandler processes links to sides, their load reports and the frames of
// generations. It implements distributor.Handler.
type sideHandler struct {
	entry *Entry
}

func (h *sideHandler) Up(link *linker.Link) {
	if isSide(link) {
		h.entry.tracker.AddLink(link)
		h.entry.linkedOnce.Store(true)
		h.entry.forwarder.HandleLinkUp(link)
	}
}

func (h *sideHandler) Frame(link *linker.Link, frame *wire.Frame) bool {
	switch body := frame.Body.(type) {
	case *wire.Frame_Load:
		h.recordLoad(time.Now(), link, body.Load)
	case *wire.Frame_Leaving:
		h.entry.tracker.RecordLeaving(link)
	case *wire.Frame_Tokens:
		// A side also replies to a resume while its engine makes no
		// progress, but then without tokens.
		if len(body.Tokens.Texts) > 0 {
			h.entry.tracker.Progressed(link)
		}
		h.entry.forwarder.HandleFrame(link, frame)
	case *wire.Frame_Queued:
		h.entry.tracker.Queued(link, time.Duration(body.Queued.PredictedWaitMs)*time.Millisecond)
		h.entry.forwarder.HandleFrame(link, frame)
	case *wire.Frame_Final:
		h.entry.forwarder.HandleFrame(link, frame)
	default:
		return false
	}
	return true
}

// recordLoad records a side's load report and the prefixes that its upstream has
// cached or evicted. A prefix of 0 tokens was evicted.
func (h *sideHandler) recordLoad(now time.Time, link *linker.Link, load *wire.Load) {
	h.entry.tracker.RecordLoad(now, link, load)
	upstream := currantwood.UpstreamID(link.Peer().Upstream)
	for _, cached := range load.Cached {
		prefix := currantwood.PrefixID(cached.Prefix)
		if cached.Tokens == 0 {
			h.entry.prefixes.RecordEvicted(upstream, prefix)
			continue
		}
		h.entry.prefixes.RecordCached(now, upstream, prefix, currantwood.TokenCount(cached.Tokens))
	}
}

func (h *sideHandler) Down(link *linker.Link, _ error) {
	if isSide(link) {
		h.entry.tracker.RemoveLink(link)
		h.entry.prefixes.RemoveUpstream(currantwood.UpstreamID(link.Peer().Upstream))
		h.entry.forwarder.HandleLinkClosed(link)
	}
}

func isSide(link *linker.Link) bool {
	return link.Peer().Role == currantwood.RoleSide.String()
}
