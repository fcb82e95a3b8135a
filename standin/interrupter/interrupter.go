// Package interrupter is a TCP proxy that injects network faults: delay, closed
// connections, new connections that are closed as soon as they are accepted,
// and connections that become silent permanently while new ones work.
package interrupter

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxChunkBytes is the most that is read from a connection at a time.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks is the maximum number of delayed chunks in one direction
	// of a pair. A full queue stops reading from the source.
	maxQueuedChunks = 256
)

// Interrupter forwards TCP connections to one target. It is safe for concurrent
// use.
type Interrupter struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mu     sync.Mutex
	delay  time.Duration
	refuse bool
	closed bool
	// openPairs holds each pair until it is closed.
	openPairs map[*pair]struct{}
	// forwarded counts the pairs so far, open or closed.
	forwarded int
}

// pair is a forwarded connection: one that was accepted and one dialed for it.
type pair struct {
	accepted, dialed net.Conn
	// frozenUp is closed when no more data passes from accepted to dialed,
	// frozenDown when none passes back.
	frozenUp, frozenDown                    chan struct{}
	freezeUpOnce, freezeDownOnce, closeOnce sync.Once
	// done is closed when the pair is closed.
	done chan struct{}
}

// chunk is delayed data.
type chunk struct {
	// due is when the data is passed on.
	due  time.Time
	data []byte
}

// New listens on a free loopback port and forwards connections to target,
// host:port.
func New(target string) (*Interrupter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "interrupter: listen")
	}
	i := &Interrupter{listener: listener, target: target, openPairs: make(map[*pair]struct{})}
	i.goroutines.Add(1)
	go func() {
		defer i.goroutines.Done()
		i.accept()
	}()
	return i, nil
}

// Address returns the address to connect to, host:port.
func (i *Interrupter) Address() string { return i.listener.Addr().String() }

// Forwarded returns the number of connections forwarded to the target so far,
// open or closed.
func (i *Interrupter) Forwarded() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.forwarded
}

// SetDelay delays all data that arrives from now on by the given time, in each
// direction.
func (i *Interrupter) SetDelay(delay time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.delay = delay
}

// SetRefuse sets whether new connections are closed as soon as they are
// accepted.
func (i *Interrupter) SetRefuse(refuse bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refuse = refuse
}

// CloseConnections closes every open connection at both ends.
func (i *Interrupter) CloseConnections() {
	for _, p := range i.pairs() {
		p.close()
	}
}

// FreezeConnections permanently stops passing data on every open connection in the
// chosen directions: up is from the end that connected, down is towards it.
// Neither end is notified. New connections work.
func (i *Interrupter) FreezeConnections(up, down bool) {
	for _, p := range i.pairs() {
		if up {
			p.freezeUpOnce.Do(func() { close(p.frozenUp) })
		}
		if down {
			p.freezeDownOnce.Do(func() { close(p.frozenDown) })
		}
	}
}

// Close stops listening, closes every connection and waits until forwarding has
// ended.
func (i *Interrupter) Close() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	_ = i.listener.Close()
	i.CloseConnections()
	i.goroutines.Wait()
}

func (i *Interrupter) pairs() []*pair {
	i.mu.Lock()
	defer i.mu.Unlock()
	pairs := make([]*pair, 0, len(i.openPairs))
	for p := range i.openPairs {
		pairs = append(pairs, p)
	}
	return pairs
}

func (i *Interrupter) accept() {
	for {
		accepted, err := i.listener.Accept()
		if err != nil {
			return
		}
		if err := i.connect(accepted); err != nil {
			_ = accepted.Close()
		}
	}
}

// connect dials the target and forwards an accepted connection to it.
func (i *Interrupter) connect(accepted net.Conn) error {
	i.mu.Lock()
	refuse := i.refuse
	i.mu.Unlock()
	if refuse {
		return errors.New("interrupter: set to refuse connections")
	}
	dialed, err := net.Dial("tcp", i.target)
	if err != nil {
		return errors.Wrapf(err, "interrupter: dial target %s", i.target)
	}
	p := &pair{
		accepted: accepted, dialed: dialed,
		frozenUp: make(chan struct{}), frozenDown: make(chan struct{}), done: make(chan struct{}),
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		_ = dialed.Close()
		return errors.New("interrupter: closed")
	}
	i.openPairs[p] = struct{}{}
	i.forwarded++
	i.goroutines.Add(2)
	go func() {
		defer i.goroutines.Done()
		i.forward(p, p.accepted, p.dialed, p.frozenUp)
		i.remove(p)
	}()
	go func() {
		defer i.goroutines.Done()
		i.forward(p, p.dialed, p.accepted, p.frozenDown)
		i.remove(p)
	}()
	return nil
}

// remove closes a pair and removes it from openPairs.
func (i *Interrupter) remove(p *pair) {
	p.close()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.openPairs, p)
}

// forward passes data in one direction until the source ends, a write fails or
// the pair is closed. The caller then closes the pair, and with it the other
// direction. A frozen direction instead waits until the pair is closed: the end
// of its source isn't passed on before the other direction ends or fails.
func (i *Interrupter) forward(p *pair, from, to net.Conn, frozen chan struct{}) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		i.read(p, from, chunks)
	}()
	for c := range chunks {
		if !p.waitUntil(c.due, frozen) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
	select {
	case <-frozen:
		<-p.done
	default:
	}
}

// read queues data with its due time until the source ends.
func (i *Interrupter) read(p *pair, from net.Conn, chunks chan<- chunk) {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			i.mu.Lock()
			due := time.Now().Add(i.delay)
			i.mu.Unlock()
			select {
			case chunks <- chunk{due: due, data: append([]byte(nil), buffer[:n]...)}:
			case <-p.done:
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.closeUnlessFrozen()
			}
			return
		}
	}
}

// waitUntil waits until due. It returns false when the direction is frozen or
// the connection closed first.
func (p *pair) waitUntil(due time.Time, frozen chan struct{}) bool {
	select {
	case <-frozen:
		return false
	case <-p.done:
		return false
	default:
	}
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-frozen:
		return false
	case <-p.done:
		return false
	}
}

// closeUnlessFrozen closes the pair after a read error, without waiting for
// delayed data. If either direction is frozen it does nothing, and the pair is
// closed when a direction that isn't frozen ends.
func (p *pair) closeUnlessFrozen() {
	select {
	case <-p.frozenUp:
	case <-p.frozenDown:
	default:
		p.close()
	}
}

func (p *pair) close() {
	p.closeOnce.Do(func() {
		close(p.done)
		_ = p.accepted.Close()
		_ = p.dialed.Close()
	})
}
