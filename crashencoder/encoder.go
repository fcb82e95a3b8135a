// Package crashencoder converts the crashes of a suspect to and from the record in
// which the platform's store keeps them.
package crashencoder

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashkeeper"
)

// Encoder encodes and decodes records. The key of a record is the suspect's kind, a
// dash and its fingerprint in hexadecimal; that of a request is the fingerprint
// alone. The value is JSON. Records hold times of day, as no other clock is shared by
// all gateways.
type Encoder struct{}

// storedKinds holds the kinds of suspect that a record's key can name.
var storedKinds = map[string]currantwood.SuspectKind{
	currantwood.SuspectPath.String(): currantwood.SuspectPath,
	currantwood.SuspectPart.String(): currantwood.SuspectPart,
}

// savedCrash is a crash in a record.
type savedCrash struct {
	Upstream       string `json:"upstream"`
	Incarnation    int64  `json:"incarnation"`
	UnseenRestarts uint32 `json:"unseen-restarts,omitempty"`
	// AtMs is when the crash was recorded first, in Unix milliseconds.
	AtMs int64 `json:"at-ms"`
}

type savedSuspect struct {
	Crashes []savedCrash `json:"crashes"`
	// CompletedAtMs is when an upstream last ran a request with the suspect to the end,
	// in Unix milliseconds; 0 if none is known to have.
	CompletedAtMs int64 `json:"completed-at-ms,omitempty"`
}

// Encode returns the record of a suspect. Without crashes it deletes the key. now is
// the time of day.
func (Encoder) Encode(now time.Time, suspect crashkeeper.SuspectRecord) (currantwood.KeyedRecord, error) {
	record := currantwood.KeyedRecord{Key: encodeKey(suspect.Suspect)}
	if len(suspect.Crashes) == 0 {
		return record, nil
	}
	var saved savedSuspect
	for _, c := range suspect.Crashes {
		saved.Crashes = append(saved.Crashes, savedCrash{Upstream: string(c.Upstream), Incarnation: c.Incarnation, UnseenRestarts: c.UnseenRestarts, AtMs: now.Add(-c.Age).UnixMilli()})
	}
	if suspect.Completed {
		saved.CompletedAtMs = now.Add(-suspect.CompletedAge).UnixMilli()
	}
	value, err := json.Marshal(saved)
	record.Value = value
	return record, errors.Wrapf(err, "encode crashes of suspect %s", record.Key)
}

// Decode returns the suspect of a record with its crashes. A crash later than now, by
// a clock that differs, has the age 0; the completion stays before all crashes. now is
// the time of day.
func (Encoder) Decode(now time.Time, record currantwood.KeyedRecord) (crashkeeper.SuspectRecord, error) {
	suspect, err := decodeKey(record.Key)
	decoded := crashkeeper.SuspectRecord{Suspect: suspect}
	if err != nil {
		return decoded, errors.Wrapf(err, "decode crashes: key %q", record.Key)
	}
	if len(record.Value) == 0 {
		return decoded, nil
	}
	var saved savedSuspect
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return decoded, errors.Wrapf(err, "decode crashes of suspect %s", record.Key)
	}
	oldest := time.Duration(0)
	for _, c := range saved.Crashes {
		age := max(0, now.Sub(time.UnixMilli(c.AtMs)))
		oldest = max(oldest, age)
		decoded.Crashes = append(decoded.Crashes, crashkeeper.AgedCrash{
			Crash: crashkeeper.Crash{Suspect: suspect, Upstream: currantwood.UpstreamID(c.Upstream), Incarnation: c.Incarnation, UnseenRestarts: c.UnseenRestarts},
			Age:   age,
		})
	}
	if saved.CompletedAtMs != 0 {
		decoded.Completed = true
		decoded.CompletedAge = max(now.Sub(time.UnixMilli(saved.CompletedAtMs)), oldest+time.Millisecond)
	}
	return decoded, nil
}

// encodeKey returns the key of a suspect's record.
func encodeKey(s currantwood.Suspect) string {
	fingerprint := strconv.FormatUint(uint64(s.Fingerprint), 16)
	if s.Kind == currantwood.SuspectRequest {
		return fingerprint
	}
	return s.Kind.String() + "-" + fingerprint
}

// decodeKey returns the suspect of a record's key.
func decodeKey(key string) (currantwood.Suspect, error) {
	var s currantwood.Suspect
	text := key
	if kind, rest, found := strings.Cut(key, "-"); found {
		s.Kind, text = storedKinds[kind], rest
		if s.Kind == currantwood.SuspectRequest {
			return s, errors.Errorf("unknown kind of suspect %q", kind)
		}
	}
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	s.Fingerprint = currantwood.Fingerprint(fingerprint)
	return s, errors.WithStack(err)
}
