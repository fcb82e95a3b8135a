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
	// rulesPollWait is how long one read of the rules stream waits for a record.
	rulesPollWait = 500 * time.Millisecond
	// rulesReadTimeout bounds one request to the log service for rules.
	rulesReadTimeout = 5 * time.Second
)

// SetRules replaces the rules in force. The head server calls it for each new rules
// head.
func (e *Entry) SetRules(rules currantwood.Rules) {
	e.limiter.SetCustomers(rules.Customers)
	e.matcher.Store(matcher.New(rules))
}

func (e *Entry) currentMatcher() *matcher.Matcher { return e.matcher.Load() }

// Head returns the rules head in force. Its revision is 0 if none was published.
func (e *Entry) Head() currantwood.RulesHead { return e.headServer.Head() }

func (e *Entry) newHeadServer() *headserver.Server {
	return headserver.New(headserver.Options{
		Region: currantwood.RegionID(e.settings.Region),
		Log: logclient.New(logclient.Options{
			Address: e.settings.Platform.LogService, Wait: rulesPollWait, Timeout: rulesReadTimeout,
			HTTP: &http.Client{Transport: &http.Transport{}},
		}),
		Retention:  e.settings.Platform.LogRetention.AsDuration(),
		ReaderRank: e.newReaderRank(),
		Apply:      e.SetRules,
		Metrics:    e.metrics,
		Logger:     e.logger.With(zap.String("step", "headserver")),
	})
}

// newReaderRank returns a function that computes this entry's rank among the
// processes that read the rules stream for their region, given the peers that are
// linked. It uses these peers because links detect a failed reader earlier than the
// VM list does. With too many entries for each to be linked to all others, it uses
// the VM list.
func (e *Entry) newReaderRank() func([]*wire.Hello) tailer.ReaderRank {
	readerChooser := chooser.New(chooser.DefaultCount)
	region := currantwood.RegionID(e.settings.Region)
	return func(peers []*wire.Hello) tailer.ReaderRank {
		members := []currantwood.VM{vmFromHello(e.hello, e.shuttingDown.Load())}
		for _, hello := range peers {
			members = append(members, vmFromHello(hello, false))
		}
		self := currantwood.VMID(e.hello.Process)
		if vms := e.linkKeeper.VMs(); chooser.ExceedsFullMesh(vms) {
			members, self = vms, currantwood.VMID(e.settings.VM)
		}
		rank := slices.Index(readerChooser.ChooseReaders(headkeeper.Stream, region, members), self)
		return tailer.ReaderRank{Chosen: rank >= 0, Rank: max(rank, 0)}
	}
}

// vmFromHello returns a process as a VM for the choice of readers, which needs only
// unique IDs. The ID is that of the process, not of its VM.
func vmFromHello(hello *wire.Hello, leaving bool) currantwood.VM {
	return currantwood.VM{
		ID:      currantwood.VMID(hello.Process),
		Role:    hello.Role,
		Region:  currantwood.RegionID(hello.Region),
		Zone:    currantwood.ZoneID(hello.Zone),
		Leaving: leaving,
	}
}
