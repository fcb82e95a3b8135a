// Package linker carries frames between two of currantwood's processes over one
// connection. Frames of many requests share a link; a frame that is handed to
// Send is queued and written together with all others that wait, so that the
// cost of a write is shared.
package linker

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood/wire"
)

const (
	// maxFrameBytes bounds one frame; it must hold the largest request body.
	maxFrameBytes = 4 << 20
	// maxQueuedFrames bounds the frames that wait for a peer that reads slowly.
	maxQueuedFrames = 1 << 16
	// readBufferBytes is the size of the buffer for incoming frames.
	readBufferBytes = 8 << 10
	// flushBytes are written at once while more waits; writeBufferBytes has
	// room for that and a usual frame.
	flushBytes       = 64 << 10
	writeBufferBytes = flushBytes + 16<<10
	// streamWindowBytes is yamux's flow control window.
	streamWindowBytes = 1 << 20
	// flushPoll is how often a flush looks for the peer's echo.
	flushPoll = 10 * time.Millisecond
	// helloTimeout bounds the exchange of the first frames.
	helloTimeout = 3 * time.Second
)

// writeBuffers are shared by all links, since few of a process's links write at
// the same moment and an idle one should hold little.
var writeBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, writeBufferBytes)
	return &buffer
}}

// ErrClosed says that the link is closed.
var ErrClosed = errors.New("link is closed")

// Options says what a link needs of its owner.
type Options struct {
	// Dialed is true at the end that opened the connection.
	Dialed bool
	// Hello is sent first.
	Hello *wire.Hello
	// Heartbeat is the time between heartbeats; Silence is the time without
	// any frame after which the link is closed. Silence > 2 * Heartbeat.
	Heartbeat, Silence time.Duration
	// Frame is called for each incoming frame, in order. It must not block.
	Frame func(link *Link, frame *wire.Frame)
	// Closed is called once, after the last call of Frame.
	Closed func(link *Link, err error)
}

// Source makes frames at the moment of writing, so that a peer that reads
// slowly gets few large frames and no long queue of small ones.
type Source interface {
	// Frames returns the frames to write now, in order. It must not block.
	Frames(link *Link) []*wire.Frame
}

// queued is what waits to be written: exactly one field is set.
type queued struct {
	frame  *wire.Frame
	source Source
}

// Link is one live connection to a peer.
type Link struct {
	options Options
	session *yamux.Session
	stream  net.Conn
	reader  *bufio.Reader
	peer    *wire.Hello

	// heardAt is when the last bytes arrived, in nanoseconds since the epoch.
	// A large frame on a slow connection counts as life while it arrives.
	heardAt atomic.Int64
	// sentSeq is the last heartbeat sent, heardSeq the last one of the peer,
	// and echoSeq the last one of ours that the peer had when it sent its own.
	// echoSeq <= sentSeq.
	sentSeq, heardSeq, echoSeq atomic.Uint64

	mu sync.Mutex
	// queue holds what the writer hasn't taken yet. It is nil once the link is
	// closed.
	queue  []queued
	closed bool
	cause  error

	wake chan struct{}
	done chan struct{}
}

// New exchanges the hellos over conn and starts the link. It owns conn from
// the call on.
func New(conn net.Conn, options Options) (*Link, error) {
	l := &Link{
		options: options,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	l.heardAt.Store(time.Now().UnixNano())
	if err := l.open(conn); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "link: open, peer %s", conn.RemoteAddr())
	}
	go func() { l.write() }()
	go func() { l.read() }()
	go func() { l.beat() }()
	return l, nil
}

// Peer returns the hello of the other end. It is not changed.
func (l *Link) Peer() *wire.Hello { return l.peer }

// Send queues a frame. It never blocks. It fails when the link is closed, and
// closes the link when too many frames wait.
func (l *Link) Send(frame *wire.Frame) error { return l.enqueue(queued{frame: frame}) }

// SendFrom queues a source in the place of its frames. The caller queues a
// source again only after its Frames was called.
func (l *Link) SendFrom(source Source) error { return l.enqueue(queued{source: source}) }

func (l *Link) enqueue(item queued) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return errors.Wrapf(ErrClosed, "link: send, peer %s", l.peer.GetProcess())
	}
	l.queue = append(l.queue, item)
	overflow := len(l.queue) > maxQueuedFrames
	l.mu.Unlock()
	if overflow {
		l.close(errors.Errorf("link: %d frames wait, peer %s reads too slowly", maxQueuedFrames, l.peer.GetProcess()))
		return errors.Wrapf(ErrClosed, "link: send, peer %s", l.peer.GetProcess())
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the link. Frames that wait are lost.
func (l *Link) Close() { l.close(ErrClosed) }

// Done is closed with the link.
func (l *Link) Done() <-chan struct{} { return l.done }

func (l *Link) open(conn net.Conn) error {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	config.MaxStreamWindowSize = streamWindowBytes
	conn = heardConn{Conn: conn, link: l}
	var err error
	if l.options.Dialed {
		l.session, err = yamux.Client(conn, config)
	} else {
		l.session, err = yamux.Server(conn, config)
	}
	if err != nil {
		return err
	}
	if err := l.greet(); err != nil {
		_ = l.session.Close()
		return err
	}
	return nil
}

func (l *Link) greet() error {
	timer := time.AfterFunc(helloTimeout, func() { _ = l.session.Close() })
	defer timer.Stop()
	var err error
	if l.options.Dialed {
		l.stream, err = l.session.OpenStream()
	} else {
		l.stream, err = l.session.AcceptStream()
	}
	if err != nil {
		return err
	}
	l.reader = bufio.NewReaderSize(l.stream, readBufferBytes)
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: l.options.Hello}}
	buffer, err := appendFrame(nil, hello)
	if err != nil {
		return err
	}
	if _, err := l.stream.Write(buffer); err != nil {
		return err
	}
	first, err := l.readFrame()
	if err != nil {
		return err
	}
	l.peer = first.GetHello()
	if l.peer == nil {
		return errors.New("first frame is not a hello")
	}
	return nil
}

func (l *Link) write() {
	var batch []queued
	for {
		select {
		case <-l.wake:
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
			l.close(errors.Wrapf(err, "link: write, peer %s", l.peer.GetProcess()))
			return
		}
		clear(batch)
	}
}

// writeBatch writes all that waits, a buffer at a time.
func (l *Link) writeBatch(batch []queued, buffer []byte) error {
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
		if len(buffer) < flushBytes {
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

// appendFrame appends a frame behind its length.
func appendFrame(buffer []byte, frame *wire.Frame) ([]byte, error) {
	options := proto.MarshalOptions{UseCachedSize: true}
	buffer = binary.AppendUvarint(buffer, uint64(proto.Size(frame)))
	return options.MarshalAppend(buffer, frame)
}

func (l *Link) read() {
	for {
		frame, err := l.readFrame()
		if err != nil {
			l.close(errors.Wrapf(err, "link: read, peer %s", l.peer.GetProcess()))
			break
		}
		if beat := frame.GetHeartbeat(); beat != nil {
			l.heardSeq.Store(beat.Seq)
			l.echoSeq.Store(beat.Echo)
			continue
		}
		l.options.Frame(l, frame)
	}
	l.options.Closed(l, l.reason())
}

func (l *Link) readFrame() (*wire.Frame, error) {
	size, err := binary.ReadUvarint(l.reader)
	if err != nil {
		return nil, err
	}
	if size > maxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes, limit is %d", size, maxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(l.reader, body); err != nil {
		return nil, err
	}
	frame := &wire.Frame{}
	return frame, proto.Unmarshal(body, frame)
}

func (l *Link) beat() {
	ticker := time.NewTicker(l.options.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case now := <-ticker.C:
			if quiet := l.quietFor(now); quiet > l.options.Silence {
				l.close(errors.Errorf("link: silent for %s, peer %s", quiet, l.peer.GetProcess()))
				return
			}
			l.sendHeartbeat()
		}
	}
}

// sendHeartbeat returns the number of the heartbeat.
func (l *Link) sendHeartbeat() uint64 {
	seq := l.sentSeq.Add(1)
	_ = l.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
		Seq:  seq,
		Echo: l.heardSeq.Load(),
	}}})
	return seq
}

// Flush returns when the peer has all frames that were sent before, which takes
// up to the peer's time between heartbeats. It fails when the link closes or ctx
// is done first.
func (l *Link) Flush(ctx context.Context) error {
	seq := l.sendHeartbeat()
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for l.echoSeq.Load() < seq {
		select {
		case <-ticker.C:
		case <-l.done:
			return errors.Wrapf(ErrClosed, "link: flush, peer %s", l.peer.GetProcess())
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "link: flush, peer %s", l.peer.GetProcess())
		}
	}
	return nil
}

func (l *Link) quietFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, l.heardAt.Load()))
}

// heardConn notes the time of all that is read from the connection.
type heardConn struct {
	net.Conn
	link *Link
}

func (c heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.heardAt.Store(time.Now().UnixNano())
	}
	return n, err
}

func (l *Link) reason() error {
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
