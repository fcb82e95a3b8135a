package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/player"
	"github.com/currantwood/currantwood/requestkeeper"
	"github.com/currantwood/currantwood/standin/batcher"
	"github.com/currantwood/currantwood/tracer"
)

const (
	// loadDrainTimeout bounds how long requests may continue after the last one
	// is due.
	loadDrainTimeout = 2 * time.Minute
	// bytesPerToken is the length of a token of a generated prompt. Entries
	// estimate the length of prompts with the same factor.
	bytesPerToken = 4
	// maxIdlePerEntry is the maximum number of idle connections to an entry.
	maxIdlePerEntry = 1024
)

// loadFlags holds the flags of load.
type loadFlags struct {
	trace, entries, keys string
	speed                float64
	json                 bool
	record, operators    string
}

func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("currantwood load", flag.ContinueOnError)
	var f loadFlags
	flags.StringVar(&f.trace, "trace", "", "`FILE` with the trace to play")
	flags.StringVar(&f.entries, "entries", "", "base `ADDRESSES` of the entries, separated by commas, one for each region of the trace in order")
	flags.StringVar(&f.keys, "keys", "", "`FILE` with a line \"customer key\" for each customer of the trace; a line \"* key\" matches every customer; the first match counts")
	flags.Float64Var(&f.speed, "speed", 1, "factor by which to play the trace faster")
	flags.BoolVar(&f.json, "json", false, "print one line of JSON")
	flags.StringVar(&f.record, "record", "", "write the last generations that an entry served to a trace `FILE` instead of playing one")
	flags.StringVar(&f.operators, "operators", "", "operators' `ADDRESS` of the entry to record, host:port")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "currantwood load --trace FILE --entries ADDRESSES --keys FILE [flags]\n  currantwood load --record FILE --operators ADDRESS",
		ShortHelp:  "play a trace against running entries whose upstreams are stand-in engines and print measurements, or record a trace",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if f.record != "" {
				return recordTrace(ctx, f)
			}
			if f.trace == "" || f.entries == "" || f.keys == "" || f.speed <= 0 {
				return &exitError{exitUsage, errors.New("load: --trace, --entries and --keys are required, and --speed must be above 0")}
			}
			return load(ctx, f)
		},
	}
}

func load(ctx context.Context, f loadFlags) error {
	trace, err := readTrace(f.trace)
	if err != nil {
		return err
	}
	keys, err := readKeys(f.keys)
	if err != nil {
		return err
	}
	requests, err := playerRequests(trace, keys, f.speed)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requests[len(requests)-1].At+loadDrainTimeout)
	defer cancel()
	p := player.New(player.Options{
		Entries: strings.Split(f.entries, ","),
		HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerEntry}},
		Progress: func(ended int) {
			if ended%100 == 0 {
				_, _ = fmt.Fprintf(os.Stderr, "%d of %d requests ended\n", ended, len(requests))
			}
		},
	})
	report := p.Play(ctx, requests)
	if f.json {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteTable(os.Stdout)
}

func readTrace(name string) (*tracer.Trace, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "load: open trace")
	}
	defer func() { _ = file.Close() }()
	trace, err := tracer.Read(file)
	if err == nil && len(trace.Requests) == 0 {
		err = errors.New("no requests")
	}
	return trace, errors.Wrapf(err, "load: trace %s", name)
}

// customerKey is the API key of one customer, or of every customer if customer is
// "*".
type customerKey struct {
	customer, key string
}

// readKeys reads one customer and its key from each line of a file, in the order
// in which findKey tries them.
func readKeys(name string) ([]customerKey, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "load: open keys")
	}
	defer func() { _ = file.Close() }()
	var keys []customerKey
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		customer, key, found := strings.Cut(strings.TrimSpace(scanner.Text()), " ")
		if !found {
			return nil, errors.Errorf("load: keys %s:%d: expected customer and key", name, len(keys)+1)
		}
		keys = append(keys, customerKey{customer, key})
	}
	return keys, scanner.Err()
}

// findKey returns the first key that matches a customer.
func findKey(keys []customerKey, customer currantwood.CustomerID) (string, bool) {
	for _, k := range keys {
		if k.customer == string(customer) || k.customer == "*" {
			return k.key, true
		}
	}
	return "", false
}

// playerRequests converts a trace to requests for stand-in engines, which take
// the length of the output from "standin-tokens" in the body. With engines
// that ignore it, the player counts tokens as lost wherever the output is shorter.
func playerRequests(trace *tracer.Trace, keys []customerKey, speed float64) ([]player.Request, error) {
	requests := make([]player.Request, 0, len(trace.Requests))
	for _, r := range trace.Requests {
		key, known := findKey(keys, r.Customer)
		if !known {
			return nil, errors.Errorf("load: no key for customer %s", r.Customer)
		}
		body, err := json.Marshal(completionBody{
			Model:  string(r.Model),
			Prompt: buildPrompt(r),
			Stream: !r.IsCheck(),
			Tokens: int64(r.OutputTokens),
		})
		if err != nil {
			return nil, errors.Wrap(err, "load: encode body")
		}
		requests = append(requests, player.Request{
			At:       time.Duration(float64(r.Arrival()) / speed),
			Entry:    regionIndex(trace, r.Region),
			Customer: r.Customer,
			APIKey:   key,
			Method:   http.MethodPost,
			Path:     "/v1/completions",
			Body:     string(body),
			Tokens:   uint64(r.OutputTokens),
			Stream:   !r.IsCheck(),
		})
	}
	return requests, nil
}

// completionBody is the body of a completion request to a stand-in engine.
type completionBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
	// Tokens is the length of the output.
	Tokens int64 `json:"standin-tokens"`
}

// buildPrompt returns a prompt of about r.PromptTokens tokens. Prompts with the
// same PrefixID are alike up to the length of the shorter one; PrefixTokens isn't
// used.
func buildPrompt(r tracer.Request) string {
	prefix := fmt.Sprintf("prefix %d ", r.PrefixID)
	filler := max(0, int(r.PromptTokens)*bytesPerToken-len(prefix))
	// "fees" is bytesPerToken bytes long.
	return prefix + strings.Repeat("fees", filler/bytesPerToken)
}

// regionIndex returns the region's index in the trace's header, 0 for an unknown
// region.
func regionIndex(trace *tracer.Trace, region currantwood.RegionID) int {
	index := slices.IndexFunc(trace.Header.Regions, func(r tracer.RegionEngines) bool { return r.Region == region })
	return max(0, index)
}

// recordTrace writes the last generations that an entry served to a trace file.
func recordTrace(ctx context.Context, f loadFlags) error {
	if f.operators == "" {
		return &exitError{exitUsage, errors.New("load: --record needs --operators ADDRESS")}
	}
	served, err := fetchRecent(ctx, f.operators)
	if err != nil {
		return err
	}
	if len(served) == 0 {
		return errors.Errorf("load: the entry at %s has served no generations yet", f.operators)
	}
	trace := newRecordedTrace(served)
	if err := writeFile(f.record, func(w io.Writer) error { return trace.Write(w) }); err != nil {
		return err
	}
	fmt.Printf("%d requests written to %s\n", len(trace.Requests), f.record)
	return nil
}

// fetchRecent returns the generations that an entry keeps: the last ones that it
// served. address is its operators' address.
func fetchRecent(ctx context.Context, address string) ([]tracer.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+requestkeeper.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "load: record")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "load: record from %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("load: record from %s: status %d; is this the operators' address of an entry?", address, response.StatusCode)
	}
	var served []tracer.Request
	return served, errors.Wrapf(json.NewDecoder(response.Body).Decode(&served), "load: record from %s", address)
}

// newRecordedTrace returns a trace of the served requests. Entries don't know the
// number, capacity and speed of the engines, so the header describes one stand-in
// engine in the region of the first request and must be edited. served must not be
// empty; it is sorted by arrival in place.
func newRecordedTrace(served []tracer.Request) *tracer.Trace {
	slices.SortStableFunc(served, func(a, b tracer.Request) int { return cmp.Compare(a.ArrivalMs, b.ArrivalMs) })
	spec := batcher.DefaultOptions()
	trace := &tracer.Trace{Header: tracer.Header{
		Name:    "recorded",
		Source:  "recorded",
		Regions: []tracer.RegionEngines{{Region: served[0].Region, Engines: 1}},
		Engine: tracer.EngineSpec{
			MemoryTokens:       spec.MemoryTokens,
			CacheTokens:        spec.CacheTokens,
			MaxRunning:         spec.MaxRunning,
			PrefillChunk:       spec.PrefillChunk,
			StepBaseUs:         microseconds(spec.StepBase),
			StepPerStreamUs:    microseconds(spec.StepPerStream),
			StepPerHeldTokenUs: microseconds(spec.StepPerHeldToken),
			PrefillPerTokenUs:  microseconds(spec.PrefillPerToken),
		},
	}}
	first := served[0].ArrivalMs
	for _, r := range served {
		r.ArrivalMs -= first
		trace.Requests = append(trace.Requests, r)
	}
	return trace
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
