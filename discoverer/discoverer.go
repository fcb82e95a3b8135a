// Package discoverer lets gateways find each other through the platform's store, also if no seed
// of their settings is alive. Gateways that hear of each other have one collector. It writes its
// address under a key that all collectors share, and reads what the others write there: two
// that haven't heard of each other are those of two groups, which then join. So the number of
// calls grows with the groups and not with the gateways.
package discoverer

import (
	"context"
	"math/rand"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/sleeper"
)

const (
	// Interval is the time between two announcements of a collector.
	Interval = 5 * time.Second
	// settleTime is how long a gateway is the collector before it announces itself, and
	// maxJitter the longest time by which that is put off: gateways that start together join the
	// first that does.
	settleTime = time.Second
	maxJitter  = time.Second
	// checkInterval is the time between two checks whether an announcement is due.
	checkInterval = 100 * time.Millisecond
	// appendTimeout bounds the append of an announcement.
	appendTimeout = 1500 * time.Millisecond
)

// Options configures a Discoverer. All fields are required.
type Options struct {
	Store currantwood.KeyedWriter
	Topic string
	// VM and Address, host:port, are those under which other gateways reach this one.
	VM      currantwood.VMID
	Address string
	// Collects reports whether this gateway is the collector, and Found takes the address of
	// another one.
	Collects func(now time.Time) bool
	Found    func(now time.Time, address string)
	Logger   *zap.Logger
	Random   *rand.Rand
	// Now reads the monotonic clock, TimeOfDay the one that records hold.
	Now, TimeOfDay func() time.Time
}

// Discoverer announces this gateway and takes the announcements of others.
type Discoverer struct {
	options  Options
	schedule *schedule
	// failing is whether the last append failed. Only the goroutine that New starts uses it.
	failing bool
}

// New returns a Discoverer that announces this gateway, while it is the collector, until ctx is
// done.
func New(ctx context.Context, options Options) *Discoverer {
	jitter := time.Duration(options.Random.Float64() * float64(maxJitter))
	d := &Discoverer{options: options, schedule: &schedule{settle: settleTime + jitter}}
	go func() {
		for sleeper.Sleep(ctx, checkInterval) {
			if now := options.Now(); d.schedule.due(now, options.Collects(now)) {
				d.announce(ctx, now)
			}
		}
	}()
	return d
}

// announce writes this gateway's address.
func (d *Discoverer) announce(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record, err := encode(announcement{VM: string(d.options.VM), Address: d.options.Address, AtMs: d.options.TimeOfDay().UnixMilli()})
	if err == nil {
		err = d.options.Store.Append(ctx, d.options.Topic, []currantwood.KeyedRecord{record})
	}
	if err != nil && !d.failing {
		d.options.Logger.Warn("address of this gateway not announced, trying again", zap.Error(err))
	}
	if err == nil && d.failing {
		d.options.Logger.Info("address of this gateway announced again")
	}
	d.failing = err != nil
	if err == nil {
		d.schedule.announced(now)
	}
}

// Learn takes records of the topic. One that can't be decoded is logged and ignored.
func (d *Discoverer) Learn(now time.Time, records []currantwood.KeyedRecord) {
	for _, record := range records {
		other, err := decode(record)
		if err != nil {
			d.options.Logger.Warn("announcement of a gateway ignored", zap.Error(err))
			continue
		}
		if other.VM != "" && other.VM != string(d.options.VM) {
			d.options.Logger.Info("gateway found in the store", zap.String("vm", other.VM), zap.String("address", other.Address), zap.Duration("age", d.options.TimeOfDay().Sub(time.UnixMilli(other.AtMs))))
			d.options.Found(now, other.Address)
		}
	}
}

// Forget notes that the store may have lost the last announcement.
func (d *Discoverer) Forget() { d.schedule.forget() }
