package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
)

// EvacuationsKnown reports whether the orders to evacuate availability zones are known.
// Without them a gateway sends nothing.
func (g *Gateway) EvacuationsKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.Known()
}

// ReplaceEvacuations notes that a read of all orders, up to a position in the store, has
// found these zones.
func (g *Gateway) ReplaceEvacuations(now time.Time, position evacuationkeeper.Position, zones []currantwood.ZoneID) {
	g.mu.Lock()
	change := g.evacuations.Replace(now, position, zones)
	g.mu.Unlock()
	g.logEvacuations(change, "store")
}

// ApplyEvacuations notes the orders of a read from an offset up to a position in the store.
// It returns false if orders before the read are missing, so that all must be read.
func (g *Gateway) ApplyEvacuations(now time.Time, from currantwood.Offset, position evacuationkeeper.Position, orders []evacuationkeeper.Order) bool {
	g.mu.Lock()
	change, complete := g.evacuations.Apply(now, from, position, orders)
	g.mu.Unlock()
	g.logEvacuations(change, "store")
	return complete
}

// KeepEvacuations keeps known orders for a while although they are missing in the store,
// which has come back from an older copy.
func (g *Gateway) KeepEvacuations(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evacuations.EraRisen(now)
}

// LearnEvacuations notes the orders that another gateway knows.
func (g *Gateway) LearnEvacuations(now time.Time, from currantwood.VMID, set evacuationkeeper.Set) {
	g.mu.Lock()
	change := g.evacuations.Learn(now, set)
	g.mu.Unlock()
	g.logEvacuations(change, string(from))
}

// Evacuations returns the orders in force, and false if they aren't known.
func (g *Gateway) Evacuations(now time.Time) (evacuationkeeper.Set, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.Current(now)
}

// EvacuatedZones returns the number of evacuated zones.
func (g *Gateway) EvacuatedZones(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.Count(now)
}

// expireEvacuations drops the orders that the store hasn't shown again in time.
func (g *Gateway) expireEvacuations(now time.Time) {
	g.mu.Lock()
	change := g.evacuations.Expire(now)
	g.mu.Unlock()
	g.logEvacuations(change, "not written again")
}

// logEvacuations logs which evacuations began and ended. source is "store", the VM whose
// message said so, or why an order no longer holds.
func (g *Gateway) logEvacuations(change evacuationkeeper.Change, source string) {
	for _, zone := range change.Began {
		g.Logger.Info("evacuation of an availability zone began", zap.String("zone", string(zone)), zap.String("source", source), zap.Duration("age", change.Age))
	}
	for _, zone := range change.Ended {
		g.Logger.Info("evacuation of an availability zone ended", zap.String("zone", string(zone)), zap.String("source", source), zap.Duration("age", change.Age))
	}
}
