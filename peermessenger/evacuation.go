package peermessenger

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/peerwire"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
)

// encodeEvacuations encodes a set of evacuated zones; nil if it isn't known.
func encodeEvacuations(set evacuationkeeper.Set, known bool) *peerwire.Evacuations {
	if !known {
		return nil
	}
	return &peerwire.Evacuations{
		StoreEra: uint64(set.Position.Era), Next: uint64(set.Position.Next), Zones: encodeZones(set.Zones),
		Kept: encodeZones(set.Kept), KeptMs: set.KeptFor.Milliseconds(),
	}
}

func encodeZones(zones []currantwood.ZoneID) []string {
	var out []string
	for _, zone := range zones {
		out = append(out, string(zone))
	}
	return out
}

// decodeEvacuations decodes a set of evacuated zones, and false if there is none.
func decodeEvacuations(message *peerwire.Evacuations) (evacuationkeeper.Set, bool) {
	if message == nil {
		return evacuationkeeper.Set{}, false
	}
	return evacuationkeeper.Set{
		Position: evacuationkeeper.Position{Era: currantwood.StoreEra(message.GetStoreEra()), Next: currantwood.Offset(message.GetNext())},
		Zones:    decodeZones(message.GetZones()),
		Kept:     decodeZones(message.GetKept()),
		// A longer time than any keeper waits is cut, so that it can't overflow.
		KeptFor: time.Duration(max(0, min(message.GetKeptMs(), maxKeptMs))) * time.Millisecond,
	}, true
}

// maxKeptMs bounds the milliseconds for which a message keeps evacuations.
const maxKeptMs = 60_000

func decodeZones(zones []string) []currantwood.ZoneID {
	var out []currantwood.ZoneID
	for _, zone := range zones {
		out = append(out, currantwood.ZoneID(zone))
	}
	return out
}
