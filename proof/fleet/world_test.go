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

// bound is far above what any step takes.
const bound = 60 * time.Second

// world is Harbourline's installation on stand-ins, with its delays.
type world struct {
	*demonstrator.Demonstrator
	key string
}

func newWorld(change func(o *demonstrator.Options)) *world {
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
	system, err := demonstrator.New(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(system.Close)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	Expect(system.WaitReady(ctx)).To(Succeed())
	return &world{Demonstrator: system, key: site.Keys[0].Key}
}

// engines returns the engine stand-ins.
func (w *world) engines() []*engine.Engine {
	var engines []*engine.Engine
	for _, u := range w.Upstreams {
		if u.Engine != nil {
			engines = append(engines, u.Engine)
		}
	}
	return engines
}

func (w *world) setFaults(faults engine.Faults) {
	for _, e := range w.engines() {
		e.SetFaults(faults)
	}
}

// sum adds up one of the engines' counts.
func (w *world) sum(count func(engine.Counts) int64) int64 {
	var sum int64
	for _, e := range w.engines() {
		sum += count(e.Counts())
	}
	return sum
}

// outcome is what a caller got.
type outcome struct {
	status int
	kind   string
	ran    string
	after  string
	took   time.Duration
	err    error
}

func (o outcome) whole() bool { return o.err == nil && o.status == http.StatusOK }

// ask sends one request for a whole answer through one of the entries.
func (w *world) ask(entry int, prompt string, tokens int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	body := fmt.Sprintf(`{"model":"court-summary","prompt":%q,"standin-tokens":%d}`, prompt, tokens)
	url := "http://" + w.Entries[entry%len(w.Entries)].CallerAddress() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+w.key)
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	o := outcome{status: response.StatusCode, after: response.Header.Get("Retry-After"), took: time.Since(began), err: err}
	var problem struct {
		Kind string `json:"kind"`
		Ran  string `json:"ran"`
	}
	if json.Unmarshal(content, &problem) == nil {
		o.kind, o.ran = problem.Kind, problem.Ran
	}
	return o
}

// askUntilWhole asks again while the answer is that a generation was lost, as
// a caller does who is told so. It returns all outcomes.
func (w *world) askUntilWhole(entry int, prompt string, tokens int) []outcome {
	var outcomes []outcome
	for len(outcomes) < 10 {
		o := w.ask(entry+len(outcomes), prompt, tokens)
		outcomes = append(outcomes, o)
		if o.whole() || o.kind != "generation-lost" {
			break
		}
	}
	return outcomes
}
