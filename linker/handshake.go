package linker

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/wire"
)

// helloTimeout bounds the exchange of the hello frames.
const helloTimeout = 3 * time.Second

func (l *Link) openSession(conn net.Conn) error {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	config.MaxStreamWindowSize = streamWindowBytes
	conn = countingConn{Conn: conn, reads: &l.reads}
	var err error
	if l.options.Dialed {
		l.session, err = yamux.Client(conn, config)
	} else {
		l.session, err = yamux.Server(conn, config)
	}
	if err != nil {
		return err
	}
	if err := l.handshake(); err != nil {
		_ = l.session.Close()
		return err
	}
	return nil
}

func (l *Link) handshake() error {
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
		return errors.New("first frame of the peer is not a hello")
	}
	return nil
}
