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

// RecordKind is the kind of a Record.
type RecordKind uint8

// The kinds of record.
const (
	RecordIntent  RecordKind = iota + 1 // intent
	RecordOutcome                       // outcome
	RecordVoid                          // void
)

// MarshalText returns the kind's name.
func (k RecordKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the kind's name. It returns an error for an unknown name,
// so that a record that may be an intent isn't skipped.
func (k *RecordKind) UnmarshalText(text []byte) error {
	for kind := RecordIntent; kind <= RecordVoid; kind++ {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return errors.Errorf("unknown record kind %q", text)
}

// Scope identifies an operation. The same key used by another customer or under
// another rule is a different operation.
type Scope struct {
	Customer currantwood.CustomerID   `json:"customer"`
	Rule     currantwood.RuleID       `json:"rule"`
	Key      currantwood.OperationKey `json:"key"`
}

// Shard returns the shard that holds the operation, in [0, Shards).
func (s Scope) Shard() int {
	text := string(s.Customer) + "\n" + string(s.Rule) + "\n" + string(s.Key)
	return int(xxhash.Sum64String(text) % Shards)
}

// operationPrefix is the prefix of every operation ID.
const operationPrefix = "op-"

// OperationID returns the ID with which a client queries the outcome. It encodes
// the rule and the key but not the customer, which is taken from the query's
// credentials.
func (s Scope) OperationID() string {
	return operationPrefix + base64.RawURLEncoding.EncodeToString([]byte(string(s.Rule)+"\n"+string(s.Key)))
}

// ParseOperationID returns the customer's scope for an ID from OperationID. It
// fails if the ID is malformed; it doesn't check that the operation exists.
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

// Outcome is the result of a dispatched call.
type Outcome struct {
	// Response is empty when Unknown or Omitted is set.
	Response currantwood.ServiceResponse `json:"answer"`
	// Unknown is set if no complete response arrived, so the call may have run.
	Unknown bool `json:"unknown,omitempty"`
	// Omitted is set if the call ran but its response body is longer than
	// MaxRecordedBytes.
	Omitted bool `json:"omitted,omitempty"`
}

// recordedForm returns the outcome to record, without a response that is too
// long.
func (o Outcome) recordedForm() *Outcome {
	if len(o.Response.Body) > MaxRecordedBytes {
		return &Outcome{Omitted: true}
	}
	return &o
}

// Record is an intent, an outcome or a void of one attempt.
type Record struct {
	Kind    RecordKind            `json:"kind"`
	Scope   Scope                 `json:"scope"`
	Attempt currantwood.AttemptID `json:"attempt"`
	// At is the writer's time at which it created the record.
	At time.Time `json:"at"`
	// Window is how long the key is kept; set on RecordIntent and RecordVoid.
	Window time.Duration `json:"window-ns,omitempty"`
	// Deadline is the call's deadline; set on RecordIntent.
	Deadline time.Time `json:"deadline,omitzero"`
	// Fingerprint is set on RecordIntent and RecordOutcome.
	Fingerprint currantwood.Fingerprint `json:"fingerprint,omitempty"`
	// Outcome is set on RecordOutcome.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Batch is the content of one log entry. A batch without records is a mark, which
// only carries Seen and At.
type Batch struct {
	Incarnation currantwood.Incarnation `json:"incarnation"`
	// At is the writer's time after it had read all offsets below Seen, so those
	// were in the log by then.
	At      time.Time          `json:"at"`
	Seen    currantwood.Offset `json:"seen"`
	Records []Record           `json:"records,omitempty"`
}

// Encode returns the batch as JSON.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode batch of operation records")
}

// LogEntry is a decoded log entry, which the log service calls a record.
type LogEntry struct {
	Offset currantwood.Offset
	Batch  Batch
	// Unreadable is set if the entry could not be decoded; Batch is then invalid.
	Unreadable bool
}

// Page is a decoded run of consecutive log entries of a shard.
type Page struct {
	// First is the oldest offset that the log still retains.
	First currantwood.Offset
	// Next is the offset that the next append will get.
	Next currantwood.Offset
	// Entries are consecutive and in ascending order of offset.
	Entries []LogEntry
}

// Decode decodes a page of log entries. The page is complete even if an error is
// returned: entries that could not be decoded are marked as Unreadable, and the
// error describes the last of them.
func Decode(recordBatch currantwood.RecordBatch) (Page, error) {
	page := Page{First: recordBatch.First, Next: recordBatch.End, Entries: make([]LogEntry, 0, len(recordBatch.Records))}
	var lastErr error
	for _, record := range recordBatch.Records {
		entry := LogEntry{Offset: record.Offset}
		if err := json.Unmarshal(record.Data, &entry.Batch); err != nil {
			entry.Unreadable = true
			lastErr = errors.Wrapf(err, "decode batch of operation records at offset %d", record.Offset)
		}
		page.Entries = append(page.Entries, entry)
	}
	return page, lastErr
}
