// Package distributor hands the links of a process and their frames to the
// stages that deal with them. It is the one place that knows all live links.
package distributor

import (
	"sync"

	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

// Handler is a stage that deals with some kinds of frames. Its methods must not
// block; they may send on the link.
type Handler interface {
	// Up is called once for each new link, before its first frame.
	Up(link *linker.Link)
	// Frame is called for each frame, in the order in which the link had them.
	// It reports whether the frame was its own.
	Frame(link *linker.Link, frame *wire.Frame) bool
	// Down is called once after a link's last frame.
	Down(link *linker.Link, cause error)
}

// Distributor is safe for concurrent use.
type Distributor struct {
	handlers []Handler

	mu sync.Mutex
	// links holds each link between its Up and its Down.
	links map[*linker.Link]bool
}

// New makes a distributor over handlers, which are asked in order.
func New(handlers ...Handler) *Distributor {
	return &Distributor{handlers: handlers, links: make(map[*linker.Link]bool)}
}

// Up announces a link. A frame that arrives before announces its link itself,
// and so does the end of a link, so that a link which is already closed is not
// announced again.
func (d *Distributor) Up(link *linker.Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-link.Done():
	default:
		d.announce(link)
	}
}

// Frame hands on a frame.
func (d *Distributor) Frame(link *linker.Link, frame *wire.Frame) {
	d.mu.Lock()
	d.announce(link)
	d.mu.Unlock()
	for _, handler := range d.handlers {
		if handler.Frame(link, frame) {
			return
		}
	}
}

// Down announces the end of a link.
func (d *Distributor) Down(link *linker.Link, cause error) {
	d.mu.Lock()
	d.announce(link)
	delete(d.links, link)
	d.mu.Unlock()
	for _, handler := range d.handlers {
		handler.Down(link, cause)
	}
}

// announce calls Up of each handler for a new link. The caller holds mu.
func (d *Distributor) announce(link *linker.Link) {
	if d.links[link] {
		return
	}
	d.links[link] = true
	for _, handler := range d.handlers {
		handler.Up(link)
	}
}

// Links returns the live links, in no order.
func (d *Distributor) Links() []*linker.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := make([]*linker.Link, 0, len(d.links))
	for link := range d.links {
		links = append(links, link)
	}
	return links
}

// Broadcast sends a frame on every live link.
func (d *Distributor) Broadcast(frame *wire.Frame) {
	for _, link := range d.Links() {
		_ = link.Send(frame)
	}
}
