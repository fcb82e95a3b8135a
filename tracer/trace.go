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

// Trace is one recorded or generated trace.
type Trace struct {
	Header Header
	// Requests are in ascending order of arrival.
	Requests []Request
}

// Header describes the system that a trace is played against.
type Header struct {
	Trace string `json:"trace"`
	// Source says where the trace is from: "generator" or "recorded".
	Source string `json:"source"`
	Seed   uint64 `json:"seed"`
	// Regions lists the regions with the engines in each.
	Regions []RegionEngines `json:"regions"`
	Engine  EngineSize      `json:"engine"`
	// OneWayMs is the one-way delay between two regions.
	OneWayMs float64 `json:"one-way-ms"`
	// ReportsLost is the share of load reports that never arrive.
	ReportsLost float64   `json:"reports-lost,omitempty"`
	Reclaims    []Reclaim `json:"reclaims,omitempty"`
}

// RegionEngines is the number of engines in a region.
type RegionEngines struct {
	Region  currantwood.RegionID `json:"region"`
	Engines int                  `json:"engines"`
}

// EngineSize is the size and speed of each engine. Times are in microseconds.
type EngineSize struct {
	MemoryTokens currantwood.TokenCount `json:"memory-tokens"`
	CacheTokens  currantwood.TokenCount `json:"cache-tokens"`
	MaxRunning   int                    `json:"max-running"`
	PrefillChunk currantwood.TokenCount `json:"prefill-chunk"`
	StepBaseUs   float64                `json:"step-base-us"`
	StepStreamUs float64                `json:"step-stream-us"`
	StepHeldUs   float64                `json:"step-held-us"`
	PrefillUs    float64                `json:"prefill-us"`
}

// Reclaim takes engines away at short notice.
type Reclaim struct {
	AtMs     int64 `json:"at-ms"`
	NoticeMs int64 `json:"notice-ms"`
	// Engines are counted through the regions in order, from 0.
	Engines []int `json:"engines"`
}

// Request is one request of a caller.
type Request struct {
	ArrivalMs int64                  `json:"arrival-ms"`
	Region    currantwood.RegionID   `json:"region"`
	Customer  currantwood.CustomerID `json:"customer"`
	Rule      currantwood.RuleID     `json:"rule"`
	// Class is "stream" or "check".
	Class        string                 `json:"class"`
	Priority     currantwood.Priority   `json:"priority"`
	Model        currantwood.ModelID    `json:"model"`
	PromptTokens currantwood.TokenCount `json:"prompt-tokens"`
	PrefixID     currantwood.PrefixID   `json:"prefix-id,omitempty"`
	PrefixTokens currantwood.TokenCount `json:"prefix-tokens,omitempty"`
	// OutputTokens is hidden from the policy.
	OutputTokens currantwood.TokenCount `json:"output-tokens"`
	// DeadlineMs counts from the arrival.
	DeadlineMs int64 `json:"deadline-ms"`
}

// IsCheck reports whether the request is a small check.
func (r *Request) IsCheck() bool { return r.Class == currantwood.ClassCheck.String() }

// Arrival is the time from the trace's start to the request.
func (r *Request) Arrival() time.Duration { return time.Duration(r.ArrivalMs) * time.Millisecond }

// Deadline is the time from the arrival to the latest end.
func (r *Request) Deadline() time.Duration { return time.Duration(r.DeadlineMs) * time.Millisecond }

// maxLine bounds a line of a trace, in bytes.
const maxLine = 64 << 10

// Read reads a trace. Unknown keys, a missing header and requests out of order
// are errors with the line's number.
func Read(from io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	t := &Trace{}
	for n := 1; lines.Scan(); n++ {
		if err := t.line(n, lines.Bytes()); err != nil {
			return nil, errors.Wrapf(err, "tracer: line %d", n)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "tracer: read")
	}
	if t.Header.Trace == "" {
		return nil, errors.New("tracer: the first line must be the header with the key \"trace\"")
	}
	return t, nil
}

func (t *Trace) line(n int, line []byte) error {
	if n == 1 {
		return decode(line, &t.Header)
	}
	var request Request
	if err := decode(line, &request); err != nil {
		return err
	}
	if last := len(t.Requests) - 1; last >= 0 && request.ArrivalMs < t.Requests[last].ArrivalMs {
		return errors.New("arrival-ms is lower than on the line before")
	}
	if request.OutputTokens < 1 {
		return errors.New("output-tokens must be at least 1")
	}
	t.Requests = append(t.Requests, request)
	return nil
}

// Write writes a trace, one line for the header and one for each request.
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

func decode(line []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
