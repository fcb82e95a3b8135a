// Package dialer maintains one link to each address of a changing set. It
// reconnects closed links, with backoff after failed attempts.
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
	// dialTimeout bounds each call of Options.Dial.
	dialTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the wait between failed attempts before
	// it is randomized.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Options configures a Dialer. All fields except Dial are required.
type Options struct {
	// Dial connects to an address; nil means a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OpenLink opens a link over an established connection to address.
	OpenLink func(conn net.Conn, address string) (*linker.Link, error)
	// OnLink is called for each new link.
	OnLink func(link *linker.Link, address string)
	// OnError is called for each failed attempt to dial or to open a link.
	OnError func(address string, err error)
}

// Dialer maintains the links. Set is safe for concurrent use.
type Dialer struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu sync.Mutex
	// stopFuncs holds, by address, the function that stops maintaining the link.
	stopFuncs map[string]context.CancelFunc
}

// New returns a dialer without addresses.
func New(options Options) *Dialer {
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Dialer{
		options:   options,
		ctx:       ctx,
		cancel:    cancel,
		stopFuncs: make(map[string]context.CancelFunc),
	}
}

// SetAddresses replaces the set of addresses. It closes links to addresses that are no
// longer in the set.
func (d *Dialer) SetAddresses(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
		if _, kept := d.stopFuncs[address]; !kept {
			d.start(address)
		}
	}
	for address, stop := range d.stopFuncs {
		if !wanted[address] {
			stop()
			delete(d.stopFuncs, address)
		}
	}
}

// Close closes all links and waits until the goroutines of the dialer have ended.
func (d *Dialer) Close() {
	d.cancel()
	d.goroutines.Wait()
}

// start starts to maintain a link to address. The caller holds mu.
func (d *Dialer) start(address string) {
	if d.ctx.Err() != nil {
		return
	}
	ctx, stop := context.WithCancel(d.ctx)
	d.stopFuncs[address] = stop
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		d.maintain(ctx, address)
	}()
}

// maintain keeps a link to address open until ctx is done.
func (d *Dialer) maintain(ctx context.Context, address string) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialBackoff
	delay.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		link, err := d.dial(ctx, address)
		if err != nil {
			d.options.OnError(address, err)
			sleeper.Sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		d.options.OnLink(link, address)
		select {
		case <-link.Done():
		case <-ctx.Done():
			link.Close()
		}
	}
}

// dial makes one attempt to connect to address and to open a link.
func (d *Dialer) dial(ctx context.Context, address string) (*linker.Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.options.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return d.options.OpenLink(conn, address)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
