package entrystarter

import (
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/chooser"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/headserver"
	"github.com/currantwood/currantwood/logclient"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/tailer"
	"github.com/currantwood/currantwood/wire"
)

const (
	// rulesWait is how long a read of the rules stream waits for a record.
	rulesWait = 500 * time.Millisecond
	// rulesTimeout bounds one call of the log service for rules.
	rulesTimeout = 5 * time.Second
)

// SetRules puts rules in force. A published head replaces them.
func (e *Entry) SetRules(rules currantwood.Rules) {
	e.limiter.SetCustomers(rules.Customers)
	e.matcher.Store(matcher.New(rules))
}

func (e *Entry) rules() *matcher.Matcher { return e.matcher.Load() }

// Head returns the published rules in force.
func (e *Entry) Head() currantwood.RulesHead { return e.head.Head() }

func (e *Entry) newHead() *headserver.Server {
	return headserver.New(headserver.Options{
		Region: currantwood.RegionID(e.settings.Region),
		Log: logclient.New(logclient.Options{
			Address: e.settings.Platform.LogService, Wait: rulesWait, Timeout: rulesTimeout,
			HTTP: &http.Client{Transport: &http.Transport{}},
		}),
		Retention: e.settings.Platform.LogRetention.Std(),
		Position:  e.readerPosition(),
		Apply:     e.SetRules,
		Metrics:   e.metrics,
		Logger:    e.logger.With(zap.String("step", "headserver")),
	})
}

// readerPosition says whether this entry is among the readers of its region.
// Live links show a reader's death sooner than the VM list does, but where there
// are many entries this one is linked to a few of them only.
func (e *Entry) readerPosition() func([]*wire.Hello) tailer.Position {
	readers := chooser.New(0)
	region := currantwood.RegionID(e.settings.Region)
	return func(peers []*wire.Hello) tailer.Position {
		members := []currantwood.VM{member(e.hello, e.leaving.Load())}
		for _, peer := range peers {
			members = append(members, member(peer, false))
		}
		self := currantwood.VMID(e.hello.Process)
		if known := e.keeper.VMs(); chooser.Partial(known) {
			members, self = known, currantwood.VMID(e.settings.VM)
		}
		rank := slices.Index(readers.Choose(headkeeper.Stream, region, members), self)
		return tailer.Position{Chosen: rank >= 0, Rank: max(rank, 0)}
	}
}

func member(peer *wire.Hello, leaving bool) currantwood.VM {
	return currantwood.VM{
		ID:      currantwood.VMID(peer.Process),
		Role:    peer.Role,
		Region:  currantwood.RegionID(peer.Region),
		Zone:    currantwood.ZoneID(peer.Zone),
		Leaving: leaving,
	}
}
