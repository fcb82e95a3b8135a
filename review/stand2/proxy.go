package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// storeTime is how long the store takes for an answer.
const storeTime = 4 * time.Millisecond

// storeProxy is the way of one gateway to the store, whose answers take storeTime. While it is
// cut, calls are taken and nothing comes back, as if the way were silent.
type storeProxy struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
}

func newStoreProxy(target string) *storeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("start a proxy: %v", err)
	}
	p := &storeProxy{listener: listener, target: target}
	go p.accept()
	return p
}

func (p *storeProxy) address() string { return p.listener.Addr().String() }

func (p *storeProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

// serve passes bytes on. A connection on which anything came while the proxy was cut returns
// nothing further.
func (p *storeProxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	var muted atomic.Bool
	go func() {
		_ = p.pass(client, server, &muted, storeTime)
		if !muted.Load() {
			_ = client.Close()
		}
	}()
	_ = p.pass(server, client, &muted, 0)
}

// pass passes bytes on, each after a delay.
func (p *storeProxy) pass(to io.Writer, from io.Reader, muted *atomic.Bool, delay time.Duration) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return err
		}
		time.Sleep(delay)
		if p.cut.Load() {
			muted.Store(true)
		}
		if muted.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return err
		}
	}
}
