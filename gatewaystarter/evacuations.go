package gatewaystarter

import (
	"strings"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
	"github.com/currantwood/currantwood/storewatcher"
)

// applyEvacuations passes on the orders to evacuate zones that a read of the topic of the
// configuration has found. It is called with the lock of the watcher held.
func (p *Process) applyEvacuations(now time.Time, read storewatcher.Read) {
	position := evacuationkeeper.Position{Era: read.Era, Next: read.Next}
	orders := p.decodeEvacuations(read.Records)
	if !read.Whole {
		if !p.gateway.ApplyEvacuations(now, read.From, position, orders) {
			// ReadAll takes the lock, too.
			go func() {
				<-p.watching
				p.configuration.ReadAll()
			}()
		}
		return
	}
	var zones []currantwood.ZoneID
	for _, order := range orders {
		if order.Ordered {
			zones = append(zones, order.Zone)
		}
	}
	p.gateway.ReplaceEvacuations(now, position, zones)
}

// decodeEvacuations returns the orders among records, and their deletions, which are
// records without a value.
func (p *Process) decodeEvacuations(records []currantwood.KeyedRecord) []evacuationkeeper.Order {
	var orders []evacuationkeeper.Order
	for _, record := range records {
		if zone, ok := strings.CutPrefix(record.Key, p.options.EvacuationKeyPrefix); ok {
			orders = append(orders, evacuationkeeper.Order{Zone: currantwood.ZoneID(zone), Offset: record.Offset, Ordered: len(record.Value) > 0})
		}
	}
	return orders
}
