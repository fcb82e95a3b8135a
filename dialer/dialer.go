// Package dialer keeps one live link to each of a changing set of peers. A link
// that closes is dialed again with backoff.
package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/sleeper"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// firstRedial and maxRedial bound the wait between attempts.
	firstRedial = 50 * time.Millisecond
	maxRedial   = 2 * time.Second
)

// Options says what a dialer needs of its owner.
type Options struct {
	// Dial connects to an address; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Link opens a link over a connection that was dialed to address.
	Link func(conn net.Conn, address string) (*linker.Link, error)
	// Up is called with each new link.
	Up func(link *linker.Link, address string)
	// Failed is called with each failed attempt.
	Failed func(address string, err error)
}

// Dialer keeps the links.
type Dialer struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu sync.Mutex
	// targets holds one stop function for each address that is kept.
	targets map[string]context.CancelFunc
}

// New makes a dialer without peers.
func New(options Options) *Dialer {
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Dialer{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		targets: make(map[string]context.CancelFunc),
	}
}

// Set replaces the set of addresses. Links to addresses that are gone are
// closed.
func (d *Dialer) Set(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
		if _, kept := d.targets[address]; !kept {
			d.start(address)
		}
	}
	for address, stop := range d.targets {
		if !wanted[address] {
			stop()
			delete(d.targets, address)
		}
	}
}

// Close closes all links and waits for the dialer's goroutines.
func (d *Dialer) Close() {
	d.cancel()
	d.wait.Wait()
}

// start begins to keep a link to address. The caller holds mu.
func (d *Dialer) start(address string) {
	if d.ctx.Err() != nil {
		return
	}
	ctx, stop := context.WithCancel(d.ctx)
	d.targets[address] = stop
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		d.keep(ctx, address)
	}()
}

func (d *Dialer) keep(ctx context.Context, address string) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = firstRedial
	delay.MaxInterval = maxRedial
	for ctx.Err() == nil {
		link, err := d.dial(ctx, address)
		if err != nil {
			d.options.Failed(address, err)
			sleeper.Sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		d.options.Up(link, address)
		select {
		case <-link.Done():
		case <-ctx.Done():
			link.Close()
		}
	}
}

func (d *Dialer) dial(ctx context.Context, address string) (*linker.Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.options.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial, peer %s", address)
	}
	return d.options.Link(conn, address)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
