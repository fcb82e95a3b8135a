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
	customerKey = "secret-of-attorney"
	paymentBody = "amount=1"
	// paymentDeadline is the time that the rule allows for a payment.
	paymentDeadline = 2 * time.Second
	// quietPeriod is far longer than a side takes to append its waiting records.
	quietPeriod = 400 * time.Millisecond
	// waitTimeout is the longest wait for a condition.
	waitTimeout = 30 * time.Second
)

var rules = currantwood.Rules{
	Customers: []currantwood.Customer{{ID: "attorney", KeyHash: matcher.HashAPIKey(customerKey), Weight: 1, AskedBy: "test"}},
	Rules: []currantwood.Rule{
		{ID: "fee", Method: http.MethodPost, Path: "/payments", Group: "desks", Class: currantwood.ClassPayment,
			Deadline: paymentDeadline, Window: time.Hour, AskedBy: "test"},
		{ID: "look", Method: http.MethodGet, Path: "/payments/*", Group: "desks", Class: currantwood.ClassLookup,
			Repeatable: true, Deadline: paymentDeadline, AskedBy: "test"},
		{ID: "summary", Method: http.MethodPost, Path: "/v1/completions", Group: "writers", Class: currantwood.ClassStream,
			Repeatable: true, Deadline: 20 * time.Second, AskedBy: "test"},
	},
}

// response is what a client received. A refusal sets the fields with JSON names.
type response struct {
	// Status is the HTTP status, or 0 if the connection broke before the end of the
	// response.
	Status       int
	Body         string
	Header       http.Header
	Took         time.Duration
	Kind         string `json:"kind"`
	Ran          string `json:"ran"`
	Operation    string `json:"operation"`
	RetryAfterMS int64  `json:"retry-after-ms"`
	Replayed     bool
}

// environment is a system of two regions with one entry and one payment desk each,
// and the responses that its clients received.
type environment struct {
	*demonstrator.Demonstrator

	mu        sync.Mutex
	responses map[string][]response // by operation key; guarded by mu
}

func newEnvironment() *environment {
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
	env := &environment{Demonstrator: d, responses: map[string][]response{}}
	DeferCleanup(func() {
		env.setDeskFaults(service.Faults{})
		env.Log.SetFaults(logservice.Faults{})
		d.Close()
	})
	for _, entry := range d.Entries {
		entry.SetRules(rules)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	Expect(d.WaitReady(ctx)).To(Succeed())
	env.payUntilServed(0, "warm-up")
	env.waitUntilQuiet()
	return env
}

// waitUntilQuiet waits until the log has received no append for quietPeriod: sides
// append a mark to each shard when they start, and an outcome is recorded after its
// response was sent.
func (env *environment) waitUntilQuiet() {
	appends, since := 0, time.Now()
	Eventually(func() time.Duration {
		if now := env.Log.Counts().Appends; now != appends {
			appends, since = now, time.Now()
		}
		return time.Since(since)
	}).WithTimeout(waitTimeout).Should(BeNumerically(">", quietPeriod))
}

// desks returns the upstreams that are plain services, without the engine.
func (env *environment) desks() []*demonstrator.Upstream { return env.Upstreams[:2] }

// setDeskFaults replaces the faults of all desks.
func (env *environment) setDeskFaults(faults service.Faults) {
	for _, desk := range env.desks() {
		desk.Service.SetFaults(faults)
	}
}

// runs counts the runs of a key over all desks.
func (env *environment) runs(key string) int {
	sum := 0
	for _, desk := range env.desks() {
		sum += desk.Service.Runs(key)
	}
	return sum
}

// totalCalls counts the calls that arrived at all desks, including those that have
// not run.
func (env *environment) totalCalls() int {
	sum := 0
	for _, desk := range env.desks() {
		sum += desk.Service.Counts().Calls
	}
	return sum
}

// send sends a request to the entry with the given index.
func (env *environment) send(entry int, method, path string, header http.Header, text string) response {
	request, err := http.NewRequest(method, "http://"+env.Entries[entry].ClientAddress()+path, strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer "+customerKey)
	// Without GetBody, net/http can't send the request a second time by itself.
	request.GetBody = nil
	start := time.Now()
	httpResponse, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return response{Took: time.Since(start)}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	content, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return response{Took: time.Since(start)}
	}
	got := response{
		Status: httpResponse.StatusCode, Body: string(content), Header: httpResponse.Header, Took: time.Since(start),
		Replayed: httpResponse.Header.Get("Idempotent-Replayed") == "true",
	}
	if strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "application/problem+json") {
		Expect(json.NewDecoder(bytes.NewReader(content)).Decode(&got)).To(Succeed())
	}
	return got
}

// pay sends a payment and stores the response in env.responses.
func (env *environment) pay(entry int, key, text string) response {
	got := env.send(entry, http.MethodPost, "/payments", http.Header{"Idempotency-Key": {key}}, text)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.responses[key] = append(env.responses[key], got)
	return got
}

// queryOperation requests the outcome of an operation by its ID.
func (env *environment) queryOperation(entry int, operation string) response {
	return env.send(entry, http.MethodGet, "/operations/"+operation, http.Header{}, "")
}

// payUntilServed repeats a payment, as a client would, until the status is 200.
func (env *environment) payUntilServed(entry int, key string) response {
	var got response
	Eventually(func() int {
		got = env.pay(entry, key, paymentBody)
		return got.Status
	}).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	return got
}

// check compares the responses for every key with its runs at the desks. A key runs at
// most once and exactly once if a client got a 200; all of its 200s have the same
// body; a key that ran had a response that doesn't say "not-run".
func (env *environment) check() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for key, responses := range env.responses {
		runs := env.runs(key)
		Expect(runs).To(BeNumerically("<=", 1), "runs of key %s, whose responses are %v", key, responses)
		mayHaveRun, served := false, ""
		for _, got := range responses {
			mayHaveRun = mayHaveRun || got.Ran != "not-run"
			if got.Status != http.StatusOK {
				continue
			}
			Expect(runs).To(Equal(1), "runs of key %s, which got the response %s", key, got.Body)
			if served != "" {
				Expect(got.Body).To(Equal(served), "bodies of the responses for key %s", key)
			}
			served = got.Body
		}
		Expect(mayHaveRun || runs == 0).To(BeTrue(), "key %s ran, but every response says not-run", key)
	}
}

// operationAppends returns the number of batches of operation records in the log.
// Sides also append marks, which have no records, and checkpoints of the rules.
func (env *environment) operationAppends() int {
	return env.Log.CountRecords("operations-", `"records":`)
}
