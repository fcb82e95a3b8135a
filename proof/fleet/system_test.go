package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/standin/engine"
	"github.com/currantwood/currantwood/standin/sites"
)

const (
	// stepTimeout bounds each wait of a spec and each request. It is far longer than
	// either takes.
	stepTimeout = 60 * time.Second
	// loadLagMs is the default of engine.Faults.LoadLagMs, for specs that replace the
	// other faults.
	loadLagMs = 500
)

// system is the installation of sites.Harbourline with its network delays, run on
// stand-ins: 14 engines and 3 services, and one entry in each of 3 regions.
type system struct {
	*demonstrator.Demonstrator
	// key is the API key of one of the site's customers.
	key string
}

// newSystem starts the installation and waits until it is ready. change, if not nil,
// changes the options before that.
func newSystem(change func(o *demonstrator.Options)) *system {
	site := sites.Harbourline()
	options := demonstrator.Options{
		Name: site.Name, Regions: site.Regions, EntriesPerRegion: 1,
		RegionDelay: site.RegionDelay, ZoneDelay: site.ZoneDelay,
		Rules: site.Rules, Logger: zap.NewNop(),
	}
	for _, group := range site.Upstreams {
		options.Groups = append(options.Groups, demonstrator.Group{
			Name: group.Group, Kind: group.Kind, Model: group.Model, Count: group.Count,
		})
	}
	if change != nil {
		change(&options)
	}
	d, err := demonstrator.New(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	Expect(d.WaitReady(ctx)).To(Succeed())
	return &system{Demonstrator: d, key: site.Keys[0].Key}
}

// engines returns the engine stand-ins of all upstreams that have one.
func (sys *system) engines() []*engine.Engine {
	var engines []*engine.Engine
	for _, u := range sys.Upstreams {
		if u.Engine != nil {
			engines = append(engines, u.Engine)
		}
	}
	return engines
}

func (sys *system) setFaults(faults engine.Faults) {
	for _, e := range sys.engines() {
		e.SetFaults(faults)
	}
}

// sumCounts returns the sum of one count over all engines.
func (sys *system) sumCounts(count func(engine.Counts) int64) int64 {
	var sum int64
	for _, e := range sys.engines() {
		sum += count(e.Counts())
	}
	return sum
}

// outcome is what a client got for one request.
type outcome struct {
	status int
	// kind and ran are the fields of a refusal; empty when the request was served.
	kind       string
	ran        string
	retryAfter string
	duration   time.Duration
	err        error
}

// succeeded reports whether the client got a complete response.
func (o outcome) succeeded() bool { return o.err == nil && o.status == http.StatusOK }

// send sends one request without streaming to sys.Entries[entry%len(sys.Entries)].
func (sys *system) send(entry int, prompt string, tokens int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":"court-summary","prompt":%q,"standin-tokens":%d}`, prompt, tokens)
	url := "http://" + sys.Entries[entry%len(sys.Entries)].ClientAddress() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+sys.key)
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	o := outcome{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), duration: time.Since(began), err: err}
	var problem struct {
		Kind string `json:"kind"`
		Ran  string `json:"ran"`
	}
	if json.Unmarshal(content, &problem) == nil {
		o.kind, o.ran = problem.Kind, problem.Ran
	}
	return o
}

// resendWhileLost sends a request and resends it, each time to the next entry, while
// the response is generation-lost, in at most 10 attempts. It returns all outcomes.
func (sys *system) resendWhileLost(entry int, prompt string, tokens int) []outcome {
	var outcomes []outcome
	for len(outcomes) < 10 {
		o := sys.send(entry+len(outcomes), prompt, tokens)
		outcomes = append(outcomes, o)
		if o.succeeded() || o.kind != "generation-lost" {
			break
		}
	}
	return outcomes
}
