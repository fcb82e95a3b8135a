// Package injector injects faults into a running demonstrator: it replaces
// processes, after a kill or a graceful shutdown, cuts links, silences links (they
// stay open but lose all bytes), crashes and freezes engines, disturbs the log
// service and the VM list, and makes services lose responses. The schedule depends
// only on the seed.
//
// Faults may overlap, except two faults of the log service, two of the VM list or
// two freezes of one engine: the later one replaces the earlier one, and the first
// to end ends both.
package injector

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/standin/engine"
	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/service"
	"github.com/currantwood/currantwood/standin/vmlist"
)

//go:generate go tool stringer -linecomment -type=faultKind -output=fault_string.go

// faultKind is the kind of an injected fault. The kill and drain kinds both replace
// a process: kill stops it at once, drain by a graceful shutdown.
type faultKind uint8

const (
	killSide              faultKind = iota // kill-side
	drainSide                              // drain-side
	killEntry                              // kill-entry
	drainEntry                             // drain-entry
	crashEngine                            // crash-engine
	freezeEngine                           // freeze-engine
	cutLink                                // cut-link
	silenceLink                            // silence-link
	logDown                                // log-down
	logSlow                                // log-slow
	logLosesResponses                      // log-loses-answers
	vmListDown                             // vm-list-down
	vmListLags                             // vm-list-lags
	serviceLosesResponses                  // service-loses-answers
	faultCount
)

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// maxFaultDuration bounds the length of freezes and platform faults.
	maxFaultDuration = 4 * time.Second
	// logDelay is the added latency of the log service under logSlow.
	logDelay = 400 * time.Millisecond
	// vmListLag is how long a change of the VM list takes to become visible under
	// vmListLags. It exceeds maxFaultDuration, so that a change made during the
	// fault is not visible before its end.
	vmListLag = 60 * time.Second
	// lostResponses is the largest number of consecutive responses that are lost.
	lostResponses = 3
	// selectorRange bounds the random numbers that select the process, link or
	// engine of a fault. It is far above the number of candidates.
	selectorRange = 1 << 20
)

// Injector injects the faults of one schedule. Run may be called once; Counts is
// safe for concurrent use.
type Injector struct {
	system *demonstrator.Demonstrator
	logger *zap.Logger
	random *rand.Rand
	// replacementMu serializes replacements, because a process that is being
	// replaced can't be replaced again.
	replacementMu sync.Mutex
	goroutines    sync.WaitGroup

	mu sync.Mutex
	// counts holds the number of injected faults by kind.
	counts [faultCount]int
}

// New returns an injector for system whose schedule is derived from seed.
func New(system *demonstrator.Demonstrator, seed uint64, logger *zap.Logger) *Injector {
	return &Injector{system: system, logger: logger, random: rand.New(rand.NewPCG(seed, seed))}
}

// Run injects faults until ctx is done. It returns when all have ended.
func (i *Injector) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, time.Duration(i.random.ExpFloat64()*float64(meanFaultInterval))) {
		f := faultKind(i.random.IntN(int(faultCount)))
		selector := i.random.IntN(selectorRange)
		length := time.Duration(i.random.Int64N(int64(maxFaultDuration)))
		i.mu.Lock()
		i.counts[f]++
		i.mu.Unlock()
		i.logger.Info("injecting fault", zap.Stringer("kind", f), zap.Int("target", selector), zap.Duration("length", length))
		i.goroutines.Add(1)
		go func() {
			defer i.goroutines.Done()
			i.inject(ctx, f, selector, length)
		}()
	}
	i.goroutines.Wait()
}

// Count is the number of times that a kind of fault was injected.
type Count struct {
	Fault string `json:"fault"`
	Times int    `json:"times"`
}

// Counts returns the counts of all kinds, including kinds that were not injected.
func (i *Injector) Counts() []Count {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make([]Count, 0, faultCount)
	for f, times := range i.counts {
		counts = append(counts, Count{faultKind(f).String(), times})
	}
	return counts
}

// inject injects a fault and returns when it has ended. selector is a random number
// that selects the process, link or engine: modulo the number of candidates, it is
// an index. length is the duration of freezes and platform faults.
func (i *Injector) inject(ctx context.Context, f faultKind, selector int, length time.Duration) {
	switch f {
	case killSide, drainSide:
		i.replaceSide(ctx, selector, f == killSide)
	case killEntry, drainEntry:
		i.replaceEntry(ctx, selector, f == killEntry)
	case crashEngine:
		if e := i.pickEngine(selector); e != nil {
			e.Crash()
		}
	case freezeEngine:
		i.freeze(ctx, selector, length)
	case cutLink:
		i.system.CloseConnection(selector)
	case silenceLink:
		i.system.SilenceConnection(selector)
	case serviceLosesResponses:
		i.loseResponses(selector)
	default:
		i.injectPlatformFault(ctx, f, length)
	}
}

// injectPlatformFault sets a fault of the log service or the VM list for length.
func (i *Injector) injectPlatformFault(ctx context.Context, f faultKind, length time.Duration) {
	switch f {
	case logDown:
		i.system.Log.SetFaults(logservice.Faults{Down: true})
	case logSlow:
		i.system.Log.SetFaults(logservice.Faults{DelayMS: logDelay.Milliseconds()})
	case logLosesResponses:
		i.system.Log.SetFaults(logservice.Faults{LoseResponses: lostResponses})
	case vmListDown:
		i.system.VMs.SetFaults(vmlist.Faults{Down: true})
	case vmListLags:
		i.system.VMs.SetFaults(vmlist.Faults{LagMS: vmListLag.Milliseconds()})
	}
	sleeper.Sleep(ctx, length)
	switch f {
	case vmListDown, vmListLags:
		i.system.VMs.SetFaults(vmlist.Faults{})
	default:
		i.system.Log.SetFaults(logservice.Faults{})
	}
}

func (i *Injector) replaceSide(ctx context.Context, selector int, kill bool) {
	i.replacementMu.Lock()
	defer i.replacementMu.Unlock()
	u := i.system.Upstreams[selector%len(i.system.Upstreams)]
	i.logReplacementError(i.system.ReplaceSide(ctx, u, kill))
}

func (i *Injector) replaceEntry(ctx context.Context, selector int, kill bool) {
	i.replacementMu.Lock()
	defer i.replacementMu.Unlock()
	e := i.system.Entries[selector%len(i.system.Entries)]
	i.logReplacementError(i.system.ReplaceEntry(ctx, e, kill))
}

func (i *Injector) logReplacementError(err error) {
	if err != nil {
		i.logger.Error("failed to replace a process", zap.Error(err))
	}
}

// freeze freezes an engine for length.
func (i *Injector) freeze(ctx context.Context, selector int, length time.Duration) {
	e := i.pickEngine(selector)
	if e == nil {
		return
	}
	healthy := engine.DefaultOptions().Faults
	frozen := healthy
	frozen.Freeze = true
	e.SetFaults(frozen)
	sleeper.Sleep(ctx, length)
	e.SetFaults(healthy)
}

// loseResponses makes a service lose its next responses: that of the selected
// upstream or, if it has none, of the next upstream that has one, wrapping around.
func (i *Injector) loseResponses(selector int) {
	for n := range i.system.Upstreams {
		u := i.system.Upstreams[(selector+n)%len(i.system.Upstreams)]
		if u.Service != nil {
			u.Service.SetFaults(service.Faults{LoseResponses: lostResponses})
			return
		}
	}
}

// pickEngine returns the engine of the selected upstream or, if it has none, of the
// next upstream that has one, wrapping around. It returns nil if no upstream has an
// engine.
func (i *Injector) pickEngine(selector int) *engine.Engine {
	for n := range i.system.Upstreams {
		u := i.system.Upstreams[(selector+n)%len(i.system.Upstreams)]
		if u.Engine != nil {
			return u.Engine
		}
	}
	return nil
}
