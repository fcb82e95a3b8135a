package peermessenger

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/peerwire"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
)

// encodeEvacuations encodes a set of evacuated zones; nil if it isn't known.
func encodeEvacuations(set evacuationkeeper.Set, known bool) *peerwire.Evacuations {
	if !known {
		return nil
	}
	out := &peerwire.Evacuations{StoreEra: uint64(set.Position.Era), Next: uint64(set.Position.Next)}
	for _, zone := range set.Zones {
		out.Zones = append(out.Zones, string(zone))
	}
	return out
}

// decodeEvacuations decodes a set of evacuated zones, and false if there is none.
func decodeEvacuations(message *peerwire.Evacuations) (evacuationkeeper.Set, bool) {
	if message == nil {
		return evacuationkeeper.Set{}, false
	}
	set := evacuationkeeper.Set{Position: evacuationkeeper.Position{Era: currantwood.StoreEra(message.GetStoreEra()), Next: currantwood.Offset(message.GetNext())}}
	for _, zone := range message.GetZones() {
		set.Zones = append(set.Zones, currantwood.ZoneID(zone))
	}
	return set, true
}
