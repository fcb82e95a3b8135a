package rig

import (
	"net"
	"sync"
)

// Proxy passes connections on to an address. It can make those that are open go silent for
// good: nothing passes any more in either direction, and no end.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
}

type link struct {
	client, server net.Conn
	silent         chan struct{}
}

// NewProxy starts a proxy at a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, links: map[*link]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence makes the open connections go silent, and returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.links)
	for l := range p.links {
		close(l.silent)
		delete(p.links, l)
	}
	return n
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server, silent: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(server, client) })
	both.Go(func() { l.pass(client, server) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// pass copies bytes until the connection ends or goes silent.
func (l *link) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
