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
	// loadTail is what requests get to end after the last was sent.
	loadTail = 2 * time.Minute
	// bytesPerToken makes a prompt of a known length.
	bytesPerToken = 4
	// idlePerEntry keeps connections to an entry open between requests.
	idlePerEntry = 1024
)

// loadFlags are the flags of load.
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
	flags.StringVar(&f.keys, "keys", "", "`FILE` with a line \"customer key\" for each customer of the trace; a line \"* key\" covers the rest")
	flags.Float64Var(&f.speed, "speed", 1, "play so many times faster")
	flags.BoolVar(&f.json, "json", false, "print one line of JSON")
	flags.StringVar(&f.record, "record", "", "write what an entry served to a trace `FILE` in place of playing")
	flags.StringVar(&f.operators, "operators", "", "operators' `ADDRESS` of the entry to record, host:port")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "currantwood load --trace FILE --entries ADDRESSES --keys FILE [flags]\n  currantwood load --record FILE --operators ADDRESS",
		ShortHelp:  "play a trace against running entries and measure, or record one",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if f.record != "" {
				return recordTrace(ctx, f)
			}
			if f.trace == "" || f.entries == "" || f.keys == "" || f.speed <= 0 {
				return &exitError{exitUsage, errors.New("load: --trace, --entries and --keys are required, --speed is above 0")}
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
	requests, err := playable(trace, keys, f.speed)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requests[len(requests)-1].At+loadTail)
	defer cancel()
	p := player.New(player.Options{
		Entries: strings.Split(f.entries, ","),
		HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerEntry}},
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

// callerKey is the key of one customer; customer * stands for all others.
type callerKey struct {
	customer, key string
}

func readKeys(name string) ([]callerKey, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "load: open keys")
	}
	defer func() { _ = file.Close() }()
	var keys []callerKey
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		customer, key, found := strings.Cut(strings.TrimSpace(scanner.Text()), " ")
		if !found {
			return nil, errors.Errorf("load: keys %s:%d: expected customer and key", name, len(keys)+1)
		}
		keys = append(keys, callerKey{customer, key})
	}
	return keys, scanner.Err()
}

func findKey(keys []callerKey, customer currantwood.CustomerID) (string, bool) {
	for _, k := range keys {
		if k.customer == string(customer) || k.customer == "*" {
			return k.key, true
		}
	}
	return "", false
}

// playable turns a trace into requests for the stand-ins' engines, which take
// the length of an output from the body.
func playable(trace *tracer.Trace, keys []callerKey, speed float64) ([]player.Request, error) {
	requests := make([]player.Request, 0, len(trace.Requests))
	for _, r := range trace.Requests {
		key, known := findKey(keys, r.Customer)
		if !known {
			return nil, errors.Errorf("load: no key for customer %s", r.Customer)
		}
		body, err := json.Marshal(loadBody{
			Model:  string(r.Model),
			Prompt: promptOf(r),
			Stream: !r.IsCheck(),
			Tokens: int64(r.OutputTokens),
		})
		if err != nil {
			return nil, errors.Wrap(err, "load: body")
		}
		requests = append(requests, player.Request{
			At:       time.Duration(float64(r.Arrival()) / speed),
			Entry:    regionIndex(trace, r.Region),
			Customer: r.Customer,
			Key:      key,
			Method:   http.MethodPost,
			Path:     "/v1/completions",
			Body:     string(body),
			Tokens:   uint64(r.OutputTokens),
			Stream:   !r.IsCheck(),
		})
	}
	return requests, nil
}

// loadBody is the body of a generated request.
type loadBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
	Tokens int64  `json:"standin-tokens"`
}

// promptOf makes a prompt of the trace's length that begins with its prefix.
func promptOf(r tracer.Request) string {
	prefix := fmt.Sprintf("prefix %d ", r.PrefixID)
	filler := max(0, int(r.PromptTokens)*bytesPerToken-len(prefix))
	return prefix + strings.Repeat("fees", filler/bytesPerToken)
}

func regionIndex(trace *tracer.Trace, region currantwood.RegionID) int {
	at := slices.IndexFunc(trace.Header.Regions, func(r tracer.RegionEngines) bool { return r.Region == region })
	return max(0, at)
}

// recordTrace writes what an entry has served lately.
func recordTrace(ctx context.Context, f loadFlags) error {
	if f.operators == "" {
		return &exitError{exitUsage, errors.New("load: --record needs --operators ADDRESS")}
	}
	served, err := fetchRecent(ctx, f.operators)
	if err != nil {
		return err
	}
	if len(served) == 0 {
		return errors.Errorf("load: the entry at %s has served no generation yet", f.operators)
	}
	trace := recorded(served)
	if err := writeFile(f.record, func(w io.Writer) error { return trace.Write(w) }); err != nil {
		return err
	}
	fmt.Printf("%d requests written to %s\n", len(trace.Requests), f.record)
	return nil
}

func fetchRecent(ctx context.Context, address string) ([]tracer.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+requestkeeper.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "load: record")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "load: record, peer %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("load: record, peer %s: status %d; is it an entry's operators' address?", address, response.StatusCode)
	}
	var served []tracer.Request
	return served, errors.Wrapf(json.NewDecoder(response.Body).Decode(&served), "load: record, peer %s", address)
}

// recorded makes a trace of served requests. The entry doesn't know the engines'
// sizes; the header holds those of the stand-in, to be edited.
func recorded(served []tracer.Request) *tracer.Trace {
	slices.SortStableFunc(served, func(a, b tracer.Request) int { return cmp.Compare(a.ArrivalMs, b.ArrivalMs) })
	size := batcher.DefaultOptions()
	trace := &tracer.Trace{Header: tracer.Header{
		Trace:   "recorded",
		Source:  "recorded",
		Regions: []tracer.RegionEngines{{Region: served[0].Region, Engines: 1}},
		Engine: tracer.EngineSize{
			MemoryTokens: size.MemoryTokens,
			CacheTokens:  size.CacheTokens,
			MaxRunning:   size.MaxRunning,
			PrefillChunk: size.PrefillChunk,
			StepBaseUs:   microseconds(size.StepBase),
			StepStreamUs: microseconds(size.StepPerStream),
			StepHeldUs:   microseconds(size.StepPerHeldToken),
			PrefillUs:    microseconds(size.PrefillPerToken),
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
