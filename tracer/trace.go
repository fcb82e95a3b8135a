package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// Trace holds the requests of a recorded or generated workload.
type Trace struct {
	Header Header
	// Requests are in ascending order of arrival.
	Requests []Request
}

// Header names a trace and describes the engines, the network and the faults of its
// replay.
type Header struct {
	// Name is the name of the trace; not empty.
	Name string `json:"trace"`
	// Source is "generator" or "recorded".
	Source string `json:"source"`
	// Seed is the seed of a generated trace.
	Seed uint64 `json:"seed"`
	// Regions lists the regions with the number of engines in each.
	Regions []RegionEngines `json:"regions"`
	// Engine describes every engine; all are alike.
	Engine EngineSpec `json:"engine"`
	// OneWayMs is the one-way network delay between two regions, in milliseconds.
	OneWayMs float64 `json:"one-way-ms"`
	// ReportsLost is the share of load reports that are lost, from 0 to 1.
	ReportsLost float64   `json:"reports-lost,omitempty"`
	Reclaims    []Reclaim `json:"reclaims,omitempty"`
}

// RegionEngines is the number of engines in a region.
type RegionEngines struct {
	Region  currantwood.RegionID `json:"region"`
	Engines int                  `json:"engines"`
}

// EngineSpec is the capacity and speed of each engine. Times are in microseconds. A
// stream is a running request of either class.
type EngineSpec struct {
	// MemoryTokens is the memory for the prompts and outputs of running streams.
	MemoryTokens currantwood.TokenCount `json:"memory-tokens"`
	// CacheTokens is the size of the prefix cache, which is not part of
	// MemoryTokens.
	CacheTokens currantwood.TokenCount `json:"cache-tokens"`
	// MaxRunning is the maximum number of streams in a batch.
	MaxRunning int `json:"max-running"`
	// PrefillChunk is the maximum number of prompt tokens that one step prefills.
	PrefillChunk currantwood.TokenCount `json:"prefill-chunk"`
	// StepBaseUs is the fixed part of the duration of a step.
	StepBaseUs float64 `json:"step-base-us"`
	// StepPerStreamUs is added to a step for each stream that decodes.
	StepPerStreamUs float64 `json:"step-stream-us"`
	// StepPerHeldTokenUs is added to a step for each token held by running streams.
	StepPerHeldTokenUs float64 `json:"step-held-us"`
	// PrefillPerTokenUs is added to a step for each prompt token that it prefills.
	PrefillPerTokenUs float64 `json:"prefill-us"`
}

// Reclaim removes engines at short notice.
type Reclaim struct {
	// AtMs is the time of the notice, from the trace's start. The engines accept
	// no new work from then on.
	AtMs int64 `json:"at-ms"`
	// NoticeMs is the time from the notice to the removal.
	NoticeMs int64 `json:"notice-ms"`
	// Engines holds indexes of engines, counted from 0 through the regions in the
	// order of Header.Regions.
	Engines []int `json:"engines"`
}

// Request is one request of a client.
type Request struct {
	// ArrivalMs counts from the trace's start.
	ArrivalMs int64                  `json:"arrival-ms"`
	Region    currantwood.RegionID   `json:"region"`
	Customer  currantwood.CustomerID `json:"customer"`
	Rule      currantwood.RuleID     `json:"rule"`
	// Class is the text of currantwood.ClassStream or currantwood.ClassCheck.
	Class        string                 `json:"class"`
	Priority     currantwood.Priority   `json:"priority"`
	Model        currantwood.ModelID    `json:"model"`
	PromptTokens currantwood.TokenCount `json:"prompt-tokens"`
	// PrefixID identifies the shared prefix of the prompt; 0 if there is none.
	PrefixID currantwood.PrefixID `json:"prefix-id,omitempty"`
	// PrefixTokens is the number of prompt tokens that belong to the prefix.
	PrefixTokens currantwood.TokenCount `json:"prefix-tokens,omitempty"`
	// OutputTokens is the length of the output; at least 1. In a replay, no policy
	// but the oracle knows it before the output ends.
	OutputTokens currantwood.TokenCount `json:"output-tokens"`
	// DeadlineMs counts from the arrival.
	DeadlineMs int64 `json:"deadline-ms"`
}

// IsCheck reports whether the class of the request is currantwood.ClassCheck.
func (r *Request) IsCheck() bool { return r.Class == currantwood.ClassCheck.String() }

// Arrival returns the time from the trace's start to the request's arrival.
func (r *Request) Arrival() time.Duration { return time.Duration(r.ArrivalMs) * time.Millisecond }

// Deadline returns the time from the arrival to the request's deadline.
func (r *Request) Deadline() time.Duration { return time.Duration(r.DeadlineMs) * time.Millisecond }

// maxLineBytes is the maximum length of a line of a trace, the same as the default
// of bufio.Scanner.
const maxLineBytes = 64 << 10

// Read reads a trace. Unknown keys, a missing header, requests out of order and
// requests without output are errors. An error in the content of a line has the
// line's number; the error for a line that is too long has none.
func Read(from io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	t := &Trace{}
	for n := 1; lines.Scan(); n++ {
		if err := t.parseLine(n, lines.Bytes()); err != nil {
			return nil, errors.Wrapf(err, "tracer: line %d", n)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "tracer: read")
	}
	if t.Header.Name == "" {
		return nil, errors.New("tracer: the first line must be the header with the key \"trace\"")
	}
	return t, nil
}

// parseLine parses line n, counted from 1, into t.
func (t *Trace) parseLine(n int, line []byte) error {
	if n == 1 {
		return decodeStrict(line, &t.Header)
	}
	var request Request
	if err := decodeStrict(line, &request); err != nil {
		return err
	}
	if last := len(t.Requests) - 1; last >= 0 && request.ArrivalMs < t.Requests[last].ArrivalMs {
		return errors.New("arrival-ms must not be lower than on the previous line")
	}
	if request.OutputTokens < 1 {
		return errors.New("output-tokens must be at least 1")
	}
	t.Requests = append(t.Requests, request)
	return nil
}

// Write writes a trace: one line for the header and one for each request.
func (t *Trace) Write(to io.Writer) error {
	buffered := bufio.NewWriter(to)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return errors.Wrap(err, "tracer: write header")
	}
	for i := range t.Requests {
		if err := encoder.Encode(&t.Requests[i]); err != nil {
			return errors.Wrapf(err, "tracer: write request %d", i)
		}
	}
	return errors.Wrap(buffered.Flush(), "tracer: write")
}

// decodeStrict decodes JSON and rejects unknown keys.
func decodeStrict(line []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
