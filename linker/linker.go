// Package linker carries frames between two currantwood processes over one
// connection. The frames of many requests share a link; Send queues a frame,
// and one write sends all queued frames, to save system calls.
package linker

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/wire"
)

const (
	// maxQueuedItems bounds the send queue of a link whose peer reads slowly. A
	// source is one item, however many frames it creates.
	maxQueuedItems = 1 << 16
	// readBufferBytes is the size of a link's read buffer.
	readBufferBytes = 8 << 10
	// writeThresholdBytes is the buffered size from which a batch is written before
	// it is complete; writeBufferBytes has room for that and a usual frame.
	writeThresholdBytes = 64 << 10
	writeBufferBytes    = writeThresholdBytes + 16<<10
	// streamWindowBytes is yamux's flow control window.
	streamWindowBytes = 1 << 20
)

// writeBuffers is shared by all links, since few of them write at the same time
// and an idle link should use little memory.
var writeBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, writeBufferBytes)
	return &buffer
}}

// ErrClosed is returned by operations on a closed link.
var ErrClosed = errors.New("link is closed")

// Options configures a Link. All fields but Dialed are required.
type Options struct {
	// Dialed is true for the end that dialed the connection.
	Dialed bool
	// Hello is the first frame to the peer.
	Hello *wire.Hello
	// HeartbeatInterval is the time between heartbeats; SilenceTimeout is the time without
	// any incoming bytes after which the link is closed. Time during which this process
	// didn't run doesn't count. SilenceTimeout must exceed 2 * HeartbeatInterval, which New
	// doesn't check, so that one late heartbeat doesn't close the link.
	HeartbeatInterval, SilenceTimeout time.Duration
	// OnFrame is called for each incoming frame but heartbeats, in order. It must
	// not block.
	OnFrame func(link *Link, frame *wire.Frame)
	// OnClosed is called once, after the last incoming frame was handled.
	OnClosed func(link *Link, err error)
}

// FrameSource creates frames when they are written, so that a slow reader gets a few
// large frames and no long queue of small ones.
type FrameSource interface {
	// Frames returns the frames to write, in order. It must not block.
	Frames(link *Link) []*wire.Frame
}

// queueItem is an item of the send queue; exactly one field is set.
type queueItem struct {
	frame  *wire.Frame
	source FrameSource
}

// Link is a connection to a peer. It is safe for concurrent use.
type Link struct {
	options Options
	session *yamux.Session
	stream  net.Conn
	reader  *bufio.Reader
	peer    *wire.Hello

	// reads is the number of reads from the connection that returned bytes. A partial
	// frame counts too, since a large one on a slow connection can take longer than the
	// silence timeout.
	reads atomic.Uint64
	// sentHeartbeat is the sequence number of the last heartbeat sent, and
	// peerHeartbeat that of the last one received. echoedHeartbeat is the highest
	// of our numbers that the peer has confirmed; it is at most sentHeartbeat.
	sentHeartbeat, peerHeartbeat, echoedHeartbeat atomic.Uint64

	mu sync.Mutex
	// queue holds what the writer hasn't taken yet. Closing the link discards it.
	queue  []queueItem
	closed bool
	cause  error

	writeReady chan struct{}
	done       chan struct{}
}

// New exchanges hello frames over conn and starts the link. It takes ownership
// of conn, also when it fails.
func New(conn net.Conn, options Options) (*Link, error) {
	l := &Link{
		options:    options,
		writeReady: make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	if err := l.openSession(conn); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "open link with %s", conn.RemoteAddr())
	}
	go func() { l.runWriter() }()
	go func() { l.runReader() }()
	go func() { l.runHeartbeats() }()
	return l, nil
}

// Peer returns the peer's hello, which must not be modified.
func (l *Link) Peer() *wire.Hello { return l.peer }

// Send queues a frame. It never blocks. It returns ErrClosed when the link is
// closed, and closes the link when its queue exceeds the limit.
func (l *Link) Send(frame *wire.Frame) error { return l.enqueue(queueItem{frame: frame}) }

// SendFrom queues a source, whose frames are created when it is written. A
// source must not be queued again before its Frames method was called.
func (l *Link) SendFrom(source FrameSource) error { return l.enqueue(queueItem{source: source}) }

func (l *Link) enqueue(item queueItem) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return errors.Wrapf(ErrClosed, "send to peer %s", l.peer.GetProcess())
	}
	l.queue = append(l.queue, item)
	overflow := len(l.queue) > maxQueuedItems
	l.mu.Unlock()
	if overflow {
		l.close(errors.Errorf("more than %d items queued, peer %s reads too slowly", maxQueuedItems, l.peer.GetProcess()))
		return errors.Wrapf(ErrClosed, "send to peer %s", l.peer.GetProcess())
	}
	select {
	case l.writeReady <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the link and discards queued frames.
func (l *Link) Close() { l.close(ErrClosed) }

// Done returns a channel that is closed when the link is.
func (l *Link) Done() <-chan struct{} { return l.done }

func (l *Link) runWriter() {
	var batch []queueItem
	for {
		select {
		case <-l.writeReady:
		case <-l.done:
			return
		}
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.mu.Unlock()
		buffer := writeBuffers.Get().(*[]byte)
		err := l.writeBatch(batch, *buffer)
		writeBuffers.Put(buffer)
		if err != nil {
			l.close(errors.Wrapf(err, "write to peer %s", l.peer.GetProcess()))
			return
		}
		clear(batch)
	}
}

// writeBatch writes the batch in chunks of about writeThresholdBytes.
func (l *Link) writeBatch(batch []queueItem, buffer []byte) error {
	buffer = buffer[:0]
	for _, item := range batch {
		frames := []*wire.Frame{item.frame}
		if item.source != nil {
			frames = item.source.Frames(l)
		}
		for _, frame := range frames {
			var err error
			if buffer, err = appendFrame(buffer, frame); err != nil {
				return err
			}
		}
		if len(buffer) < writeThresholdBytes {
			continue
		}
		if _, err := l.stream.Write(buffer); err != nil {
			return err
		}
		buffer = buffer[:0]
	}
	if len(buffer) == 0 {
		return nil
	}
	_, err := l.stream.Write(buffer)
	return err
}

func (l *Link) runReader() {
	for {
		frame, err := l.readFrame()
		if err != nil {
			l.close(errors.Wrapf(err, "read from peer %s", l.peer.GetProcess()))
			break
		}
		if beat := frame.GetHeartbeat(); beat != nil {
			l.peerHeartbeat.Store(beat.Seq)
			l.echoedHeartbeat.Store(beat.Echo)
			continue
		}
		l.options.OnFrame(l, frame)
	}
	l.options.OnClosed(l, l.closeCause())
}

func (l *Link) closeCause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

func (l *Link) close(cause error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	l.cause = cause
	l.queue = nil
	l.mu.Unlock()
	close(l.done)
	_ = l.session.Close()
}
