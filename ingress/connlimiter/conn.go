package connlimiter

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/currantwood/currantwood/ingress/bodyskipper"
	"github.com/currantwood/currantwood/ingress/headcounter"
	"github.com/currantwood/currantwood/ingress/progressmeter"
	"github.com/currantwood/currantwood/ingress/victimpicker"
)

const (
	// fieldBytes and headByteBytes estimate the memory of a parsed head: a field takes an
	// entry of a map, a list of one value and the strings, a byte is copied once.
	fieldBytes    = 160
	headByteBytes = 2
	// connBytes is the memory of a connection without a request.
	connBytes = 20_000
	// writePiece is the most that is written at once, so that a slow reader's progress is
	// seen.
	writePiece = 16 << 10
	// abortTime is how long a connection may stay open after the reading of its body was
	// ended, so that the status reaches the client.
	abortTime = 2 * time.Second
	// lingerTime is how long what follows a refused head is read, as the client may see a
	// reset rather than the status otherwise.
	lingerTime = 200 * time.Millisecond
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	limiter *Limiter

	// mu guards the fields below.
	mu    sync.Mutex
	phase victimpicker.Phase
	// since is when an idle connection became idle, or when the body was aborted.
	since time.Time
	head  headcounter.Counter
	// headBytes is what is charged to the limiter for the head.
	headBytes int64
	// body skips the body of the present request, which leaves what has arrived of the next one.
	body bodyskipper.Skipper
	// bodyBytes counts the bytes of the body that have arrived.
	bodyBytes int64
	// progress measures the head or the body that arrives.
	progress progressmeter.Meter
	// written measures the write that is under way if writing is true.
	writing bool
	written progressmeter.Meter
	// wide is whether the socket has wide buffers, which are charged to the limiter.
	wide bool
	// state never goes back.
	state state
}

//go:generate go tool stringer -type=state

// state is whether a connection is in use.
type state uint8

const (
	open state = iota
	// bodyAborted means that the body must not be read further.
	bodyAborted
	// closed means that the limiter or the server has closed the connection.
	closed
)

func newConn(accepted net.Conn, l *Limiter) *conn {
	c := &conn{Conn: accepted, limiter: l}
	c.awaitHead(l.options.Now(), victimpicker.Head)
	return c
}

// awaitHead prepares for the next head. The caller holds mu or owns the connection.
func (c *conn) awaitHead(now time.Time, phase victimpicker.Phase) {
	limits := c.limiter.options.Shares.Limits
	c.phase, c.since, c.head, c.bodyBytes = phase, now, headcounter.Counter{}, 0
	c.body.Reset()
	c.progress = progressmeter.New(now, limits.HeadAllowance, limits.BytesPerSecond)
}

// becomeIdle notes that the response to a request is written. If a part of the next head has
// arrived with that request, it is counted now: net/http has it already. becomeIdle returns the
// memory of that part, which the caller charges.
func (c *conn) becomeIdle(now time.Time) (charge int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == closed {
		return 0
	}
	c.releaseHead()
	next := slices.Clone(c.body.Rest())
	c.awaitHead(now, victimpicker.Idle)
	if c.countHead(next); !c.head.Begun() {
		c.awaitHead(now, victimpicker.Idle)
		return 0
	}
	c.phase = victimpicker.Head
	return c.chargeHead()
}

// countHead counts bytes that have arrived, up to the end of the head. The caller holds mu.
func (c *conn) countHead(p []byte) {
	before := c.head.Bytes()
	c.head.Count(p)
	c.body.Add(p[c.head.Bytes()-before:])
}

// chargeHead returns by how much the memory of the head has grown, which the caller charges to
// the limiter. The caller holds mu.
func (c *conn) chargeHead() int64 {
	bytes := int64(headByteBytes*c.head.Bytes() + fieldBytes*c.head.Fields())
	charge := bytes - c.headBytes
	c.headBytes = bytes
	return charge
}

// releaseHead gives back what was charged for the head. The caller holds mu.
func (c *conn) releaseHead() {
	c.limiter.headBytes.Add(-c.headBytes)
	c.headBytes = 0
}

// beginRequest notes that a head has been parsed, and the length of the body that follows or
// bodyskipper.Chunked. It reports false if the connection is being closed.
func (c *conn) beginRequest(now time.Time, hasBody bool, bodyLength int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != open {
		return false
	}
	c.phase = victimpicker.Running
	c.body.Begin(bodyLength)
	if hasBody {
		limits := c.limiter.options.Shares.Limits
		c.phase = victimpicker.Body
		c.progress = progressmeter.New(now, limits.BodyAllowance, limits.BytesPerSecond)
	}
	return true
}

// chargeFields notes the number of fields of a parsed head. It returns the memory by which
// that exceeds what was charged as the head arrived; the caller charges the difference.
func (c *conn) chargeFields(fields int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	charge := int64(fieldBytes*fields) - c.headBytes
	if charge <= 0 || c.state == closed {
		return 0
	}
	c.headBytes += charge
	return charge
}

// endBody notes that the whole body has been read. It reports false if the reading was
// ended before.
func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != open {
		return false
	}
	if c.phase == victimpicker.Body {
		c.phase = victimpicker.Running
	}
	return true
}

// chargedBytes returns what is charged for the head.
func (c *conn) chargedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headBytes
}
