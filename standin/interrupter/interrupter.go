// Package interrupter stands between two ends of a TCP connection and plays
// the faults of a network: delay, cuts, refused connections, and connections
// that go silent for good while new ones work.
package interrupter

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// chunkBytes is the most that is read at a time.
	chunkBytes = 32 << 10
	// queuedChunks bounds what is under way in one direction.
	queuedChunks = 256
)

// Interrupter hands connections on to one target. It is safe for concurrent
// use.
type Interrupter struct {
	listener net.Listener
	target   string
	wait     sync.WaitGroup

	mu     sync.Mutex
	delay  time.Duration
	refuse bool
	closed bool
	// open holds each connection until one of its ends closes it.
	open map[*pair]struct{}
	// accepted counts the connections that were handed on.
	accepted int
}

// pair is one connection: its two halves.
type pair struct {
	near, far net.Conn
	// frozenUp is closed when nothing more goes from near to far, frozenDown
	// when nothing more goes back.
	frozenUp, frozenDown chan struct{}
	up, down, ended      sync.Once
	done                 chan struct{}
}

// chunk is data under way.
type chunk struct {
	due  time.Time
	data []byte
}

// New listens on a free loopback port and hands connections on to target.
func New(target string) (*Interrupter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "interrupter: listen")
	}
	i := &Interrupter{listener: listener, target: target, open: make(map[*pair]struct{})}
	i.wait.Add(1)
	go func() {
		defer i.wait.Done()
		i.accept()
	}()
	return i, nil
}

// Address is where to connect, host:port.
func (i *Interrupter) Address() string { return i.listener.Addr().String() }

// Accepted is the number of connections that were handed on so far.
func (i *Interrupter) Accepted() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.accepted
}

// SetDelay makes all data that arrives from now on take the given time more.
func (i *Interrupter) SetDelay(delay time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.delay = delay
}

// SetRefuse closes new connections at once while it is on.
func (i *Interrupter) SetRefuse(refuse bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refuse = refuse
}

// CutOpen closes every open connection at both ends.
func (i *Interrupter) CutOpen() {
	for _, p := range i.pairs() {
		p.close()
	}
}

// FreezeOpen makes every open connection silent for good in the chosen
// directions: up is from the end that connected, down is towards it. Neither
// end is told. New connections work.
func (i *Interrupter) FreezeOpen(up, down bool) {
	for _, p := range i.pairs() {
		if up {
			p.up.Do(func() { close(p.frozenUp) })
		}
		if down {
			p.down.Do(func() { close(p.frozenDown) })
		}
	}
}

// Close stops listening and cuts every connection.
func (i *Interrupter) Close() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	_ = i.listener.Close()
	i.CutOpen()
	i.wait.Wait()
}

func (i *Interrupter) pairs() []*pair {
	i.mu.Lock()
	defer i.mu.Unlock()
	pairs := make([]*pair, 0, len(i.open))
	for p := range i.open {
		pairs = append(pairs, p)
	}
	return pairs
}

func (i *Interrupter) accept() {
	for {
		near, err := i.listener.Accept()
		if err != nil {
			return
		}
		if err := i.connect(near); err != nil {
			_ = near.Close()
		}
	}
}

// connect hands one connection on.
func (i *Interrupter) connect(near net.Conn) error {
	i.mu.Lock()
	refuse := i.refuse
	i.mu.Unlock()
	if refuse {
		return errors.New("interrupter: refused")
	}
	far, err := net.Dial("tcp", i.target)
	if err != nil {
		return errors.Wrapf(err, "interrupter: dial, peer %s", i.target)
	}
	p := &pair{
		near: near, far: far,
		frozenUp: make(chan struct{}), frozenDown: make(chan struct{}), done: make(chan struct{}),
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		_ = far.Close()
		return errors.New("interrupter: closed")
	}
	i.open[p] = struct{}{}
	i.accepted++
	i.wait.Add(2)
	go func() {
		defer i.wait.Done()
		i.carry(p, p.near, p.far, p.frozenUp)
		i.forget(p)
	}()
	go func() {
		defer i.wait.Done()
		i.carry(p, p.far, p.near, p.frozenDown)
		i.forget(p)
	}()
	return nil
}

func (i *Interrupter) forget(p *pair) {
	p.close()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.open, p)
}

// carry moves data one way until an end closes. A frozen direction also hides
// the close of its source from the other end.
func (i *Interrupter) carry(p *pair, from, to net.Conn, frozen chan struct{}) {
	chunks := make(chan chunk, queuedChunks)
	go func() {
		defer close(chunks)
		i.read(p, from, chunks)
	}()
	for c := range chunks {
		if !p.until(c.due, frozen) {
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

func (i *Interrupter) read(p *pair, from net.Conn, chunks chan<- chunk) {
	buffer := make([]byte, chunkBytes)
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

// until waits for a time. It returns false when the direction is frozen or the
// connection closed first.
func (p *pair) until(due time.Time, frozen chan struct{}) bool {
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

func (p *pair) closeUnlessFrozen() {
	select {
	case <-p.frozenUp:
	case <-p.frozenDown:
	default:
		p.close()
	}
}

func (p *pair) close() {
	p.ended.Do(func() {
		close(p.done)
		_ = p.near.Close()
		_ = p.far.Close()
	})
}
