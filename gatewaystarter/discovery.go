package gatewaystarter

import (
	"context"
	"math/rand"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/discoverer"
	"github.com/currantwood/currantwood/storewatcher"
)

// gatewayReadPause is the time between two reads of the gateways that announce themselves. It
// bounds the calls of gateways that start alone at the same time, each of which announces itself.
const gatewayReadPause = time.Second

// startDiscovery starts to announce this gateway in the store and to follow what others announce.
func (p *Process) startDiscovery(ctx context.Context) {
	p.discovery = discoverer.New(ctx, discoverer.Options{
		Store:     p.options.Writer,
		Topic:     p.options.GatewayTopic,
		VM:        p.options.Settings.VM,
		Address:   p.options.Settings.PeerAddress(),
		Collects:  p.peers.Collects,
		Found:     p.peers.NoteFound,
		Logger:    p.options.Logger,
		Random:    rand.New(rand.NewSource(time.Now().UnixNano())),
		Now:       p.now,
		TimeOfDay: time.Now,
	})
	storewatcher.New(ctx, p.options.Store, p.options.Logger, p.now, p.gatewayFeed())
}

// gatewayFeed returns the feed of the gateways that announce themselves.
func (p *Process) gatewayFeed() storewatcher.Feed {
	feed := p.savedFeed(p.discovery.Learn, p.discovery.Forget)
	// A collector announces itself once in that time, which ends the read.
	feed.Wait = discoverer.Interval
	feed.Name, feed.Topic, feed.Pause = "gateways", p.options.GatewayTopic, gatewayReadPause
	return feed
}

// ApplySettings applies what it can of changed settings: the seeds. The address of the store is
// applied by its client, all else at the next start of the process.
func (p *Process) ApplySettings(settings currantwood.GatewaySettings) {
	p.peers.SetSeeds(settings)
	p.gateway.ApplySettings(settings)
}
