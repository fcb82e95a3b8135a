package ledger

import (
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

//go:generate go tool stringer -linecomment -type=RecordKind,ActionKind -output=enums_string.go

// RecordKind says what a record states.
type RecordKind uint8

// The kinds of record.
const (
	RecordIntent  RecordKind = iota + 1 // intent
	RecordOutcome                       // outcome
	RecordVoid                          // void
)

// MarshalText writes the kind's name.
func (k RecordKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the kind's name. Unknown names fail, so that a record
// that might be an intent is never passed over.
func (k *RecordKind) UnmarshalText(text []byte) error {
	for kind := RecordIntent; kind <= RecordVoid; kind++ {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return errors.Errorf("unknown kind of record %q", text)
}

// Scope names one operation. The same key of another customer or under another
// rule is another operation.
type Scope struct {
	Customer currantwood.CustomerID   `json:"customer"`
	Rule     currantwood.RuleID       `json:"rule"`
	Key      currantwood.OperationKey `json:"key"`
}

// Shard returns the shard that keeps the operation, below Shards.
func (s Scope) Shard() int {
	text := string(s.Customer) + "\n" + string(s.Rule) + "\n" + string(s.Key)
	return int(xxhash.Sum64String(text) % Shards)
}

// operationPrefix starts every operation id.
const operationPrefix = "op-"

// OperationID returns the id under which a caller asks for the outcome. It
// holds rule and key but not the customer, which comes from the asker.
func (s Scope) OperationID() string {
	return operationPrefix + base64.RawURLEncoding.EncodeToString([]byte(string(s.Rule)+"\n"+string(s.Key)))
}

// ParseOperationID is the inverse of OperationID.
func ParseOperationID(customer currantwood.CustomerID, id string) (Scope, error) {
	text, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(id, operationPrefix))
	if err != nil || !strings.HasPrefix(id, operationPrefix) {
		return Scope{}, errors.Errorf("operation id %q is malformed", id)
	}
	rule, key, found := strings.Cut(string(text), "\n")
	if !found || rule == "" || key == "" {
		return Scope{}, errors.Errorf("operation id %q is malformed", id)
	}
	return Scope{Customer: customer, Rule: currantwood.RuleID(rule), Key: currantwood.OperationKey(key)}, nil
}

// Outcome is what became of a dispatched call.
type Outcome struct {
	// Answer is empty when Unknown or Omitted is set.
	Answer currantwood.ServiceResponse `json:"answer"`
	// Unknown says that no whole answer came, so the call may have run.
	Unknown bool `json:"unknown,omitempty"`
	// Omitted says that the call ran and its answer was too long to record.
	Omitted bool `json:"omitted,omitempty"`
}

// abridged returns the outcome as it is recorded.
func (o Outcome) abridged() *Outcome {
	if len(o.Answer.Body) > MaxRecordedBytes {
		return &Outcome{Omitted: true}
	}
	return &o
}

// Record is one statement about an operation.
type Record struct {
	Kind    RecordKind            `json:"kind"`
	Scope   Scope                 `json:"scope"`
	Attempt currantwood.AttemptID `json:"attempt"`
	// At is the writer's time at which the attempt began.
	At time.Time `json:"at"`
	// Window is set on an intent and a void.
	Window time.Duration `json:"window-ns,omitempty"`
	// Deadline is set on an intent.
	Deadline time.Time `json:"deadline,omitzero"`
	// Fingerprint is set on an intent and an outcome.
	Fingerprint currantwood.Fingerprint `json:"fingerprint,omitempty"`
	// Outcome is set on an outcome.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Batch is what one record of the log service holds. An empty batch is a mark,
// which only states Seen and At.
type Batch struct {
	Incarnation currantwood.Incarnation `json:"incarnation"`
	// At is the writer's time after it had read every offset below Seen. So
	// all of those were in the log by then.
	At      time.Time          `json:"at"`
	Seen    currantwood.Offset `json:"seen"`
	Records []Record           `json:"records,omitempty"`
}

// Encode returns the batch as JSON.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode batch of operations")
}

// Logged is one decoded record of the log service.
type Logged struct {
	Offset currantwood.Offset
	Batch  Batch
	// Unreadable says that the record could not be decoded.
	Unreadable bool
}

// Page is a decoded window of the shard's stream.
type Page struct {
	First   currantwood.Offset
	Next    currantwood.Offset
	Entries []Logged
}

// Decode decodes a window. The error is about the last entry that could not be
// decoded; the page is complete all the same.
func Decode(window currantwood.RecordBatch) (Page, error) {
	page := Page{First: window.First, Next: window.End, Entries: make([]Logged, 0, len(window.Records))}
	var failed error
	for _, record := range window.Records {
		entry := Logged{Offset: record.Offset}
		if err := json.Unmarshal(record.Data, &entry.Batch); err != nil {
			entry.Unreadable = true
			failed = errors.Wrapf(err, "decode batch of operations at offset %d", record.Offset)
		}
		page.Entries = append(page.Entries, entry)
	}
	return page, failed
}
