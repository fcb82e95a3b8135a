package peermessenger

import (
	"math"
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
		AgeMs: encodeAge(set.Age),
	}
}

func encodeZones(zones []currantwood.ZoneID) []string {
	var out []string
	for _, zone := range zones {
		out = append(out, string(zone))
	}
	return out
}

// encodeAge encodes an age, at most that of the type, about 49 days.
func encodeAge(age time.Duration) *uint32 {
	ms := uint32(min(math.MaxUint32, max(0, age.Milliseconds())))
	return &ms
}

// decodeAge decodes an age; it is less than 0 if there is none.
func decodeAge(message *peerwire.Evacuations) time.Duration {
	if message.AgeMs == nil {
		return -1
	}
	return time.Duration(message.GetAgeMs()) * time.Millisecond
}

// decodeEvacuations decodes a set of evacuated zones, and false if there is none.
func decodeEvacuations(message *peerwire.Evacuations) (evacuationkeeper.Set, bool) {
	if message == nil {
		return evacuationkeeper.Set{}, false
	}
	return evacuationkeeper.Set{
		Position: evacuationkeeper.Position{Era: currantwood.StoreEra(message.GetStoreEra()), Next: currantwood.Offset(message.GetNext())},
		Zones:    decodeZones(message.GetZones()),
		Age:      decodeAge(message),
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
