package operations_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/service"
)

const (
	secret = "secret-of-attorney"
	body   = "amount=1"
	// deadline is that of payments.
	deadline = 2 * time.Second
	// quiet is far longer than a side takes to append what waits.
	quiet = 400 * time.Millisecond
	// patience bounds every wait for a condition.
	patience = 30 * time.Second
)

var rules = currantwood.Rules{
	Customers: []currantwood.Customer{{ID: "attorney", KeyHash: matcher.HashKey(secret), Weight: 1, AskedBy: "test"}},
	Rules: []currantwood.Rule{
		{ID: "fee", Method: http.MethodPost, Path: "/payments", Group: "desks", Class: currantwood.ClassPayment,
			Deadline: deadline, Window: time.Hour, AskedBy: "test"},
		{ID: "look", Method: http.MethodGet, Path: "/payments/*", Group: "desks", Class: currantwood.ClassLookup,
			Repeatable: true, Deadline: deadline, AskedBy: "test"},
		{ID: "summary", Method: http.MethodPost, Path: "/v1/completions", Group: "writers", Class: currantwood.ClassStream,
			Repeatable: true, Deadline: 20 * time.Second, AskedBy: "test"},
	},
}

// reply is what a caller got.
type reply struct {
	// Status is 0 when the connection was cut.
	Status   int
	Body     string
	Header   http.Header
	Took     time.Duration
	Kind     string `json:"kind"`
	Ran      string `json:"ran"`
	Op       string `json:"operation"`
	RetryMS  int64  `json:"retry-after-ms"`
	Replayed bool
}

// world is a system of two regions with one entry and one payment desk each,
// and what its callers were told of each key.
type world struct {
	*demonstrator.Demonstrator

	mu   sync.Mutex
	told map[string][]reply
}

func newWorld() *world {
	d, err := demonstrator.New(demonstrator.Options{
		Regions: []currantwood.RegionID{"kingston", "montego"},
		Groups: []demonstrator.Group{
			{Name: "desks", Kind: currantwood.UpstreamService, Count: 2},
			{Name: "writers", Kind: currantwood.UpstreamEngine, Model: "court-summary", Count: 1},
		},
		EntriesPerRegion: 1,
		RegionDelay:      2 * time.Millisecond,
		Settings: func(s *settingsreader.Settings) {
			s.Links.Heartbeat = settingsreader.Duration(300 * time.Millisecond)
			s.Links.Silence = settingsreader.Duration(2 * time.Second)
			s.Platform.VMListInterval = settingsreader.Duration(100 * time.Millisecond)
		},
		Logger: zap.NewNop(),
	})
	Expect(err).NotTo(HaveOccurred())
	w := &world{Demonstrator: d, told: map[string][]reply{}}
	DeferCleanup(func() {
		w.allDesks(service.Faults{})
		w.Log.SetFaults(logservice.Faults{})
		d.Close()
	})
	for _, entry := range d.Entries {
		entry.SetRules(rules)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	Expect(d.WaitReady(ctx)).To(Succeed())
	w.untilPaid(0, "warm-up")
	w.untilQuiet()
	return w
}

// untilQuiet waits until no append has come for a while: sides mark each shard
// when they start, and an outcome is recorded after its answer was given.
func (w *world) untilQuiet() {
	appends, since := 0, time.Now()
	Eventually(func() time.Duration {
		if now := w.Log.Counts().Appends; now != appends {
			appends, since = now, time.Now()
		}
		return time.Since(since)
	}).WithTimeout(patience).Should(BeNumerically(">", quiet))
}

// desks returns the upstreams that are plain services.
func (w *world) desks() []*demonstrator.Upstream { return w.Upstreams[:2] }

func (w *world) allDesks(faults service.Faults) {
	for _, desk := range w.desks() {
		desk.Service.SetFaults(faults)
	}
}

// runs counts the runs of a key over all desks.
func (w *world) runs(key string) int {
	sum := 0
	for _, desk := range w.desks() {
		sum += desk.Service.Runs(key)
	}
	return sum
}

// arrived counts the calls at all desks, with those that have not run.
func (w *world) arrived() int {
	sum := 0
	for _, desk := range w.desks() {
		sum += desk.Service.Counts().Calls
	}
	return sum
}

func (w *world) send(entry int, method, path string, header http.Header, text string) reply {
	request, err := http.NewRequest(method, "http://"+w.Entries[entry].CallerAddress()+path, strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer "+secret)
	// A body that can't be read again keeps net/http from sending it twice.
	request.GetBody = nil
	start := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return reply{Took: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	whole, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{Took: time.Since(start)}
	}
	got := reply{
		Status: response.StatusCode, Body: string(whole), Header: response.Header, Took: time.Since(start),
		Replayed: response.Header.Get("Idempotent-Replayed") == "true",
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		Expect(json.NewDecoder(bytes.NewReader(whole)).Decode(&got)).To(Succeed())
	}
	return got
}

// pay sends a payment and notes what the caller was told.
func (w *world) pay(entry int, key, text string) reply {
	got := w.send(entry, http.MethodPost, "/payments", http.Header{"Idempotency-Key": {key}}, text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told[key] = append(w.told[key], got)
	return got
}

func (w *world) ask(entry int, operation string) reply {
	return w.send(entry, http.MethodGet, "/operations/"+operation, http.Header{}, "")
}

// untilPaid repeats a payment as a caller would, until it is answered.
func (w *world) untilPaid(entry int, key string) reply {
	var got reply
	Eventually(func() int {
		got = w.pay(entry, key, body)
		return got.Status
	}).WithTimeout(patience).Should(Equal(http.StatusOK))
	return got
}

// check compares what callers were told of every key with what the desks ran.
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, replies := range w.told {
		runs := w.runs(key)
		Expect(runs).To(BeNumerically("<=", 1), "runs of %s, told %v", key, replies)
		mayHaveRun, answer := false, ""
		for _, got := range replies {
			mayHaveRun = mayHaveRun || got.Ran != "not-run"
			if got.Status != http.StatusOK {
				continue
			}
			Expect(runs).To(Equal(1), "%s was answered %s", key, got.Body)
			if answer != "" {
				Expect(got.Body).To(Equal(answer), "answers of %s", key)
			}
			answer = got.Body
		}
		Expect(mayHaveRun || runs == 0).To(BeTrue(), "%s was told not-run each time and ran", key)
	}
}
