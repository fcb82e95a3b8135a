package runner

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

// resume makes link the reader from the token next on. recovery is whether its entry
// has read for the same client before. Such an entry doesn't take the generation back
// once a client at another entry has taken it over: its own client has left, which it
// may not have noticed yet.
func (r *run) resume(link *linker.Link, next currantwood.TokenIndex, recovery bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	process := link.Peer().Process
	if recovery && r.superseded[process] {
		r.sendTakenOver(link)
		return
	}
	if r.link != link {
		r.takeOver(link, recovery)
	}
	delete(r.superseded, process)
	r.apply(r.holder.Resume(next))
	r.notify()
}

// takeOver makes link the reader. A previous reader in another process is told,
// since otherwise each would resume and take the stream away from the other, again
// and again. The caller holds mu.
func (r *run) takeOver(link *linker.Link, recovery bool) {
	previous := r.link
	r.link = link
	if previous.Peer().Process == link.Peer().Process {
		return
	}
	if !recovery {
		r.superseded[previous.Peer().Process] = true
	}
	r.sendTakenOver(previous)
}

// sendTakenOver tells an entry that another one reads the generation.
func (r *run) sendTakenOver(link *linker.Link) {
	refusal := currantwood.NewRefusal(currantwood.KindTakenOver, step, "another entry reads on", 0)
	refusal.Ran = currantwood.RanUnknown
	_ = link.Send(&wire.Frame{Body: &wire.Frame_Final{Final: &wire.Final{
		RequestId:    string(r.params.request),
		GenerationId: string(r.params.generation),
		Refusal:      wire.FromRefusal(refusal),
	}}})
}

func (r *run) ack(next currantwood.TokenIndex) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.holder.Ack(next))
	r.notify()
}

func (r *run) isReadBy(link *linker.Link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link == link
}

func (r *run) detach(link *linker.Link, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == link {
		r.holder.Detach(now)
	}
}
