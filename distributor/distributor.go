// Package distributor dispatches the links of a process and their frames to
// handlers, and keeps the set of live links.
package distributor

import (
	"sync"

	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

// Handler handles some kinds of frames. Its methods must not block; they may send
// on the link.
type Handler interface {
	// Up is called once for each new link, before its first frame. It must not
	// call the Distributor, whose lock is held.
	Up(link *linker.Link)
	// Frame is called for each frame of a link, in order, until a handler
	// returns true. It reports whether it handled the frame.
	Frame(link *linker.Link, frame *wire.Frame) bool
	// Down is called once, after the last frame of a link.
	Down(link *linker.Link, cause error)
}

// Distributor dispatches links and frames to handlers. It is safe for concurrent
// use.
type Distributor struct {
	handlers []Handler

	mu sync.Mutex
	// links holds each link between its Up and its Down.
	links map[*linker.Link]bool
}

// New returns a distributor that offers each frame to handlers in the given
// order.
func New(handlers ...Handler) *Distributor {
	return &Distributor{handlers: handlers, links: make(map[*linker.Link]bool)}
}

// Up calls Up of the handlers for a new link. Frame and Down do so too if they
// are called first. Up ignores a link that is already closed, since Down may have
// removed it and the handlers would see it twice.
func (d *Distributor) Up(link *linker.Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-link.Done():
	default:
		d.notifyUp(link)
	}
}

// Frame passes a frame to the handlers in order, until one handles it.
func (d *Distributor) Frame(link *linker.Link, frame *wire.Frame) {
	d.mu.Lock()
	d.notifyUp(link)
	d.mu.Unlock()
	for _, handler := range d.handlers {
		if handler.Frame(link, frame) {
			return
		}
	}
}

// Down removes a link and calls Down of the handlers.
func (d *Distributor) Down(link *linker.Link, cause error) {
	d.mu.Lock()
	d.notifyUp(link)
	delete(d.links, link)
	d.mu.Unlock()
	for _, handler := range d.handlers {
		handler.Down(link, cause)
	}
}

// notifyUp adds a link and calls Up of the handlers, unless it is known already.
// The caller holds mu.
func (d *Distributor) notifyUp(link *linker.Link) {
	if d.links[link] {
		return
	}
	d.links[link] = true
	for _, handler := range d.handlers {
		handler.Up(link)
	}
}

// Links returns the live links in no particular order.
func (d *Distributor) Links() []*linker.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := make([]*linker.Link, 0, len(d.links))
	for link := range d.links {
		links = append(links, link)
	}
	return links
}

// Broadcast sends a frame on every live link. Errors are ignored.
func (d *Distributor) Broadcast(frame *wire.Frame) {
	for _, link := range d.Links() {
		_ = link.Send(frame)
	}
}
