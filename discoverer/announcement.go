package discoverer

import (
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// announcementKey is the key of all announcements: one replaces that of another collector, so that
// no record is left of a gateway that is gone.
const announcementKey = "collector"

// announcement is a record in which a gateway says where it is reached.
type announcement struct {
	VM string `json:"vm"`
	// Address is host:port.
	Address string `json:"address"`
	// AtMs is when the record was written, in Unix milliseconds. It is only logged.
	AtMs int64 `json:"at-ms"`
}

func encode(a announcement) (currantwood.KeyedRecord, error) {
	value, err := json.Marshal(a)
	return currantwood.KeyedRecord{Key: announcementKey, Value: value}, errors.Wrap(err, "encode announcement")
}

// decode returns the announcement of a record; one of a record that was deleted has no VM.
func decode(record currantwood.KeyedRecord) (announcement, error) {
	if len(record.Value) == 0 {
		return announcement{}, nil
	}
	var a announcement
	if err := json.Unmarshal(record.Value, &a); err != nil {
		return announcement{}, errors.Wrapf(err, "decode announcement %s", record.Key)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return announcement{}, errors.Wrapf(err, "decode announcement %s", record.Key)
	}
	return a, nil
}
