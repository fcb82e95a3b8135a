package linker

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/wire"
)

// flushPollInterval is how often Flush checks for the peer's echo.
const flushPollInterval = 10 * time.Millisecond

func (l *Link) runHeartbeats() {
	ticker := time.NewTicker(l.options.HeartbeatInterval)
	defer ticker.Stop()
	meter := newSilenceMeter(time.Now(), l.options.HeartbeatInterval)
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
			if silence := meter.check(time.Now(), l.reads.Load()); silence > l.options.SilenceTimeout {
				l.close(errors.Errorf("no data for %s from peer %s", silence, l.peer.GetProcess()))
				return
			}
			l.sendHeartbeat()
		}
	}
}

// sendHeartbeat sends a heartbeat and returns its sequence number.
func (l *Link) sendHeartbeat() uint64 {
	seq := l.sentHeartbeat.Add(1)
	_ = l.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
		Seq:  seq,
		Echo: l.peerHeartbeat.Load(),
	}}})
	return seq
}

// Flush waits until the peer has read all frames that were sent before, which
// takes up to the peer's heartbeat interval. It fails when the link is closed or
// ctx is done first.
func (l *Link) Flush(ctx context.Context) error {
	seq := l.sendHeartbeat()
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for l.echoedHeartbeat.Load() < seq {
		select {
		case <-ticker.C:
		case <-l.done:
			return errors.Wrapf(ErrClosed, "flush to peer %s", l.peer.GetProcess())
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "flush to peer %s", l.peer.GetProcess())
		}
	}
	return nil
}

// countingConn counts the reads from the connection that returned bytes.
type countingConn struct {
	net.Conn
	reads *atomic.Uint64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}
