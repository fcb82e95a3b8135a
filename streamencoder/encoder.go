// Package streamencoder converts starts of streams to and from the records in which the
// platform's store keeps them.
package streamencoder

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/streamkeeper"
)

const (
	// slots is the number of records of one writer that are kept, and slotTime the time
	// for which one is written. A later record replaces the one of its slot, so that
	// together they hold the last minute without a deletion.
	slots    = 64
	slotTime = time.Second
	// Writers is the number of values of Encoder.Writer. Each adds records to what a
	// gateway reads when it starts.
	Writers = 4
	// MaxStarts bounds the starts in one record; one takes 19 bytes.
	MaxStarts = 8000
)

// Encoder encodes and decodes records. The key of a record is its slot and the writer,
// as 07-3; the value is JSON. Records hold times of day, as no other clock is shared by
// all gateways.
type Encoder struct {
	// Writer, less than Writers, tells the records of gateways that write at the same
	// time apart. Two with the same Writer may replace each other's.
	Writer uint8
}

// Slot returns the slot of the record that is written at a time of day.
func Slot(now time.Time) int64 { return now.UnixMilli() / slotTime.Milliseconds() % slots }

// savedStarts is a record. The starts count as if all had begun at AtMs.
type savedStarts struct {
	// AtMs is when the record was written, in Unix milliseconds.
	AtMs    int64         `json:"at-ms"`
	Origins []savedOrigin `json:"origins"`
}

type savedOrigin struct {
	Group   string `json:"group"`
	Version string `json:"version"`
	// Streams holds fingerprints in hexadecimal.
	Streams []string `json:"streams"`
}

// Encode returns the record of starts. now is the time of day.
func (e Encoder) Encode(now time.Time, starts []streamkeeper.Start) (currantwood.KeyedRecord, error) {
	saved := savedStarts{AtMs: now.UnixMilli()}
	index := make(map[streamkeeper.Origin]int)
	for _, s := range starts {
		i, found := index[s.Origin]
		if !found {
			i = len(saved.Origins)
			index[s.Origin] = i
			saved.Origins = append(saved.Origins, savedOrigin{Group: string(s.Group), Version: string(s.Version)})
		}
		saved.Origins[i].Streams = append(saved.Origins[i].Streams, strconv.FormatUint(uint64(s.Stream), 16))
	}
	value, err := json.Marshal(saved)
	return currantwood.KeyedRecord{Key: fmt.Sprintf("%02d-%x", Slot(now), e.Writer), Value: value}, errors.Wrap(err, "encode starts of streams")
}

// Decode returns the starts of a record, whose At are times of the clock that now is
// read from. timeOfDay is the time of day. A record from later, by a clock that differs,
// counts as from now.
func (Encoder) Decode(now, timeOfDay time.Time, record currantwood.KeyedRecord) ([]streamkeeper.Start, error) {
	if len(record.Value) == 0 {
		return nil, nil
	}
	var saved savedStarts
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return nil, errors.Wrapf(err, "decode starts of streams %s", record.Key)
	}
	at := now.Add(-max(0, timeOfDay.Sub(time.UnixMilli(saved.AtMs))))
	var starts []streamkeeper.Start
	for _, o := range saved.Origins {
		origin := streamkeeper.Origin{Group: currantwood.GroupID(o.Group), Version: currantwood.SoftwareVersion(o.Version)}
		for _, text := range o.Streams {
			stream, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, errors.Wrapf(err, "decode starts of streams %s", record.Key)
			}
			starts = append(starts, streamkeeper.Start{Stream: currantwood.Fingerprint(stream), Origin: origin, At: at})
		}
	}
	return starts, nil
}
