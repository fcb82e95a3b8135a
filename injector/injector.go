// Package injector injects faults into a running demonstrator: kills and graceful
// replacements of processes, cut and silenced links, crashed and frozen engines,
// platform faults and lost responses. Faults may overlap. The schedule depends
// only on the seed.
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

//go:generate go tool stringer -linecomment -type=fault -output=fault_string.go

// fault is a kind of fault.
type fault uint8

const (
	killSide              fault = iota // kill-side
	drainSide                          // drain-side
	killEntry                          // kill-entry
	drainEntry                         // drain-entry
	crashEngine                        // crash-engine
	freezeEngine                       // freeze-engine
	cutLink                            // cut-link
	silenceLink                        // silence-link
	logDown                            // log-down
	logSlow                            // log-slow
	logLosesResponses                  // log-loses-answers
	vmListDown                         // vm-list-down
	vmListLags                         // vm-list-lags
	serviceLosesResponses              // service-loses-answers
	faultCount
)

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// maxFaultDuration bounds the length of freezes and platform faults.
	maxFaultDuration = 4 * time.Second
	// logDelay is the added latency of the log service under logSlow.
	logDelay = 400 * time.Millisecond
	// vmListLag is the age of the VM list under vmListLags.
	vmListLag = 60 * time.Second
	// lostResponses is the number of consecutive responses that are lost.
	lostResponses = 3
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
		f := fault(i.random.IntN(int(faultCount)))
		target := i.random.IntN(1 << 20)
		length := time.Duration(i.random.Int64N(int64(maxFaultDuration)))
		i.mu.Lock()
		i.counts[f]++
		i.mu.Unlock()
		i.logger.Info("injecting fault", zap.Stringer("kind", f), zap.Int("target", target), zap.Duration("length", length))
		i.goroutines.Add(1)
		go func() {
			defer i.goroutines.Done()
			i.inject(ctx, f, target, length)
		}()
	}
	i.goroutines.Wait()
}

// Count is the number of times that a kind of fault was injected.
type Count struct {
	Fault string `json:"fault"`
	Times int    `json:"times"`
}

// Counts returns the counts of all kinds, including those of zero.
func (i *Injector) Counts() []Count {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make([]Count, 0, faultCount)
	for f, times := range i.counts {
		counts = append(counts, Count{fault(f).String(), times})
	}
	return counts
}

// inject injects a fault and returns when it has ended. target selects the
// process, link or engine; length is the duration of freezes and
// platform faults.
func (i *Injector) inject(ctx context.Context, f fault, target int, length time.Duration) {
	switch f {
	case killSide, drainSide:
		i.replaceSide(ctx, target, f == killSide)
	case killEntry, drainEntry:
		i.replaceEntry(ctx, target, f == killEntry)
	case crashEngine:
		if e := i.pickEngine(target); e != nil {
			e.Crash()
		}
	case freezeEngine:
		i.freeze(ctx, target, length)
	case cutLink:
		i.system.Cut(target)
	case silenceLink:
		i.system.Silence(target)
	case serviceLosesResponses:
		i.loseResponses(target)
	default:
		i.injectPlatformFault(ctx, f, length)
	}
}

// injectPlatformFault sets a fault of the log service or the VM list for length.
func (i *Injector) injectPlatformFault(ctx context.Context, f fault, length time.Duration) {
	switch f {
	case logDown:
		i.system.Log.SetFaults(logservice.Faults{Down: true})
	case logSlow:
		i.system.Log.SetFaults(logservice.Faults{DelayMS: logDelay.Milliseconds()})
	case logLosesResponses:
		i.system.Log.SetFaults(logservice.Faults{LoseAnswers: lostResponses})
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

func (i *Injector) replaceSide(ctx context.Context, target int, kill bool) {
	i.replacementMu.Lock()
	defer i.replacementMu.Unlock()
	u := i.system.Upstreams[target%len(i.system.Upstreams)]
	i.logReplacementError(i.system.ReplaceSide(ctx, u, kill))
}

func (i *Injector) replaceEntry(ctx context.Context, target int, kill bool) {
	i.replacementMu.Lock()
	defer i.replacementMu.Unlock()
	e := i.system.Entries[target%len(i.system.Entries)]
	i.logReplacementError(i.system.ReplaceEntry(ctx, e, kill))
}

func (i *Injector) logReplacementError(err error) {
	if err != nil {
		i.logger.Error("replacement failed", zap.Error(err))
	}
}

// freeze freezes an engine for length.
func (i *Injector) freeze(ctx context.Context, target int, length time.Duration) {
	e := i.pickEngine(target)
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

// loseResponses makes the first service at or after target lose its next
// responses.
func (i *Injector) loseResponses(target int) {
	for n := range i.system.Upstreams {
		u := i.system.Upstreams[(target+n)%len(i.system.Upstreams)]
		if u.Service != nil {
			u.Service.SetFaults(service.Faults{LoseAnswers: lostResponses})
			return
		}
	}
}

// pickEngine returns the first engine at or after target, wrapping around, or nil
// if no upstream has an engine.
func (i *Injector) pickEngine(target int) *engine.Engine {
	for n := range i.system.Upstreams {
		u := i.system.Upstreams[(target+n)%len(i.system.Upstreams)]
		if u.Engine != nil {
			return u.Engine
		}
	}
	return nil
}
