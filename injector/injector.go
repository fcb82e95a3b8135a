// Package injector brings faults on a running demonstrator, one after another
// and at times two at once: kills, graceful replacements, cut and silent links,
// frozen and crashed engines, outages of the platform and lost answers. The
// schedule depends on the seed alone.
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

// fault is one kind of fault.
type fault uint8

const (
	killSide     fault = iota // kill-side
	drainSide                 // drain-side
	killEntry                 // kill-entry
	drainEntry                // drain-entry
	crashEngine               // crash-engine
	freezeEngine              // freeze-engine
	cutLink                   // cut-link
	silenceLink               // silence-link
	logDown                   // log-down
	logSlow                   // log-slow
	logLoses                  // log-loses-answers
	listDown                  // vm-list-down
	listLags                  // vm-list-lags
	serviceLoses              // service-loses-answers
	faultCount
)

const (
	// meanPause is the mean time between the starts of two faults.
	meanPause = 1500 * time.Millisecond
	// longestFault bounds a fault that has an end.
	longestFault = 4 * time.Second
	// slowLog is the delay of a slow log service.
	slowLog = 400 * time.Millisecond
	// listLag is the lag of a late VM list.
	listLag = 60 * time.Second
	// lostAnswers are the answers that are lost in a row.
	lostAnswers = 3
)

// Injector runs one schedule.
type Injector struct {
	system *demonstrator.Demonstrator
	logger *zap.Logger
	random *rand.Rand
	// busy holds each replacement apart from the others: a process that is
	// being replaced can't be replaced again.
	busy sync.Mutex
	wait sync.WaitGroup

	mu     sync.Mutex
	counts [faultCount]int
}

// New makes an injector for a system.
func New(system *demonstrator.Demonstrator, seed uint64, logger *zap.Logger) *Injector {
	return &Injector{system: system, logger: logger, random: rand.New(rand.NewPCG(seed, seed))}
}

// Run brings faults until ctx is done and returns when all have ended.
func (i *Injector) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, time.Duration(i.random.ExpFloat64()*float64(meanPause))) {
		f := fault(i.random.IntN(int(faultCount)))
		target := i.random.IntN(1 << 20)
		length := time.Duration(i.random.Int64N(int64(longestFault)))
		i.mu.Lock()
		i.counts[f]++
		i.mu.Unlock()
		i.logger.Info("fault", zap.Stringer("kind", f), zap.Int("target", target), zap.Duration("length", length))
		i.wait.Add(1)
		go func() {
			defer i.wait.Done()
			i.bring(ctx, f, target, length)
		}()
	}
	i.wait.Wait()
}

// Count is how often one kind of fault was brought.
type Count struct {
	Fault string `json:"fault"`
	Times int    `json:"times"`
}

// Counts lists all kinds.
func (i *Injector) Counts() []Count {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make([]Count, 0, faultCount)
	for f, times := range i.counts {
		counts = append(counts, Count{fault(f).String(), times})
	}
	return counts
}

func (i *Injector) bring(ctx context.Context, f fault, target int, length time.Duration) {
	switch f {
	case killSide, drainSide:
		i.replaceSide(ctx, target, f == killSide)
	case killEntry, drainEntry:
		i.replaceEntry(ctx, target, f == killEntry)
	case crashEngine:
		if e := i.engine(target); e != nil {
			e.Crash()
		}
	case freezeEngine:
		i.freeze(ctx, target, length)
	case cutLink:
		i.system.Cut(target)
	case silenceLink:
		i.system.Silence(target)
	case serviceLoses:
		i.loseAnswers(target)
	default:
		i.troublePlatform(ctx, f, length)
	}
}

func (i *Injector) troublePlatform(ctx context.Context, f fault, length time.Duration) {
	switch f {
	case logDown:
		i.system.Log.SetFaults(logservice.Faults{Down: true})
	case logSlow:
		i.system.Log.SetFaults(logservice.Faults{DelayMS: slowLog.Milliseconds()})
	case logLoses:
		i.system.Log.SetFaults(logservice.Faults{LoseAnswers: lostAnswers})
	case listDown:
		i.system.VMs.SetFaults(vmlist.Faults{Down: true})
	case listLags:
		i.system.VMs.SetFaults(vmlist.Faults{LagMS: listLag.Milliseconds()})
	}
	sleeper.Sleep(ctx, length)
	switch f {
	case listDown, listLags:
		i.system.VMs.SetFaults(vmlist.Faults{})
	default:
		i.system.Log.SetFaults(logservice.Faults{})
	}
}

func (i *Injector) replaceSide(ctx context.Context, target int, kill bool) {
	i.busy.Lock()
	defer i.busy.Unlock()
	u := i.system.Upstreams[target%len(i.system.Upstreams)]
	i.failed(i.system.ReplaceSide(ctx, u, kill))
}

func (i *Injector) replaceEntry(ctx context.Context, target int, kill bool) {
	i.busy.Lock()
	defer i.busy.Unlock()
	e := i.system.Entries[target%len(i.system.Entries)]
	i.failed(i.system.ReplaceEntry(ctx, e, kill))
}

func (i *Injector) failed(err error) {
	if err != nil {
		i.logger.Error("replacement failed", zap.Error(err))
	}
}

func (i *Injector) freeze(ctx context.Context, target int, length time.Duration) {
	e := i.engine(target)
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

func (i *Injector) loseAnswers(target int) {
	for n := range i.system.Upstreams {
		u := i.system.Upstreams[(target+n)%len(i.system.Upstreams)]
		if u.Service != nil {
			u.Service.SetFaults(service.Faults{LoseAnswers: lostAnswers})
			return
		}
	}
}

// engine returns the first engine from target on, or nil without engines.
func (i *Injector) engine(target int) *engine.Engine {
	for n := range i.system.Upstreams {
		u := i.system.Upstreams[(target+n)%len(i.system.Upstreams)]
		if u.Engine != nil {
			return u.Engine
		}
	}
	return nil
}
