// Package crashencoder converts the crashes of a request to and from the record in
// which the platform's store keeps them.
package crashencoder

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashkeeper"
)

// Encoder encodes and decodes records. The key of a record is the request's
// fingerprint in hexadecimal, the value is JSON. Records hold times of day, as no
// other clock is shared by all gateways.
type Encoder struct{}

// savedCrash is a crash in a record.
type savedCrash struct {
	Upstream       string `json:"upstream"`
	Incarnation    int64  `json:"incarnation"`
	UnseenRestarts uint32 `json:"unseen-restarts,omitempty"`
	// AtMs is when the crash was recorded first, in Unix milliseconds.
	AtMs int64 `json:"at-ms"`
}

type savedRequest struct {
	Crashes []savedCrash `json:"crashes"`
}

// Encode returns the record of a request. Without crashes it deletes the key. now is
// the time of day.
func (Encoder) Encode(now time.Time, request currantwood.Fingerprint, crashes []crashkeeper.AgedCrash) (currantwood.KeyedRecord, error) {
	record := currantwood.KeyedRecord{Key: strconv.FormatUint(uint64(request), 16)}
	if len(crashes) == 0 {
		return record, nil
	}
	var saved savedRequest
	for _, c := range crashes {
		saved.Crashes = append(saved.Crashes, savedCrash{Upstream: string(c.Upstream), Incarnation: c.Incarnation, UnseenRestarts: c.UnseenRestarts, AtMs: now.Add(-c.Age).UnixMilli()})
	}
	value, err := json.Marshal(saved)
	record.Value = value
	return record, errors.Wrapf(err, "encode crashes of request %s", record.Key)
}

// Decode returns the request of a record and its crashes. A crash later than now, by
// a clock that differs, has the age 0. now is the time of day.
func (Encoder) Decode(now time.Time, record currantwood.KeyedRecord) (currantwood.Fingerprint, []crashkeeper.AgedCrash, error) {
	fingerprint, err := strconv.ParseUint(record.Key, 16, 64)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "decode crashes: key %q", record.Key)
	}
	request := currantwood.Fingerprint(fingerprint)
	if len(record.Value) == 0 {
		return request, nil, nil
	}
	var saved savedRequest
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return 0, nil, errors.Wrapf(err, "decode crashes of request %s", record.Key)
	}
	crashes := make([]crashkeeper.AgedCrash, 0, len(saved.Crashes))
	for _, c := range saved.Crashes {
		crashes = append(crashes, crashkeeper.AgedCrash{
			Crash: crashkeeper.Crash{Fingerprint: request, Upstream: currantwood.UpstreamID(c.Upstream), Incarnation: c.Incarnation, UnseenRestarts: c.UnseenRestarts},
			Age:   max(0, now.Sub(time.UnixMilli(c.AtMs))),
		})
	}
	return request, crashes, nil
}
