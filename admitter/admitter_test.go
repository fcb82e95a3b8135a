package admitter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/admitter"
	"github.com/currantwood/currantwood/gatekeeper"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestAdmitter(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "admitter")
}

// fakeEngine records the pauses and unpauses that it receives.
type fakeEngine struct {
	currantwood.Engine
	mu       sync.Mutex
	commands []string
}

func (e *fakeEngine) record(command string, stream currantwood.EngineStreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commands = append(e.commands, command+" "+string(stream))
	return nil
}

func (e *fakeEngine) recorded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.commands...)
}

func (e *fakeEngine) Pause(_ context.Context, stream currantwood.EngineStreamID) error {
	return e.record("pause", stream)
}

func (e *fakeEngine) Unpause(_ context.Context, stream currantwood.EngineStreamID) error {
	return e.record("unpause", stream)
}

func (e *fakeEngine) Load(context.Context) (currantwood.EngineLoad, error) {
	return currantwood.EngineLoad{MemoryTokens: 1_000_000, TokensPerSec: 7}, nil
}

func (e *fakeEngine) CacheEvents(_ context.Context, after uint64) ([]currantwood.CacheEvent, error) {
	if after > 0 {
		return nil, nil
	}
	return []currantwood.CacheEvent{{Seq: 1, Prefix: 9, Tokens: 5}}, nil
}

var _ = Describe("Admitter", func() {
	const timeout = 10 * time.Second
	var (
		engine  *fakeEngine
		options gatekeeper.Options
		a       *admitter.Admitter
	)
	BeforeEach(func() {
		engine = &fakeEngine{}
		options = gatekeeper.DefaultOptions()
		options.MaxRunning = 2
		options.MaxWait = timeout
	})
	JustBeforeEach(func() {
		a = admitter.New(admitter.Options{Engine: engine, Gatekeeper: options, Logger: zap.NewNop()})
		DeferCleanup(a.Close)
	})
	// admit calls Admit in the background and returns a channel with its
	// result.
	admit := func(ctx context.Context, id string) <-chan *currantwood.Refusal {
		result := make(chan *currantwood.Refusal, 1)
		demand := currantwood.Demand{Request: currantwood.RequestID(id), PromptTokens: 50, Deadline: time.Now().Add(timeout)}
		go func() {
			result <- a.Admit(ctx, demand, currantwood.EngineStreamID("stream-"+id), func(time.Duration) {})
		}()
		return result
	}
	ctx := context.Background()

	It("blocks a request until a running one has ended", func() {
		Eventually(admit(ctx, "a"), timeout).Should(Receive(BeNil()))
		Eventually(admit(ctx, "b"), timeout).Should(Receive(BeNil()))
		third := admit(ctx, "c")
		Eventually(func() int { return a.Report().Queued }, timeout).Should(Equal(1))
		Expect(third).NotTo(Receive())
		a.Token("a", 0)
		a.Finished("a")
		Eventually(third, timeout).Should(Receive(BeNil()))
		Expect(a.Report().Running).To(Equal(2))
	})

	It("refuses a request as not run if its context ends while it is queued", func() {
		Eventually(admit(ctx, "a"), timeout).Should(Receive(BeNil()))
		Eventually(admit(ctx, "b"), timeout).Should(Receive(BeNil()))
		waiting, cancel := context.WithCancel(ctx)
		third := admit(waiting, "c")
		Eventually(func() int { return a.Report().Queued }, timeout).Should(Equal(1))
		cancel()
		Eventually(third, timeout).Should(Receive(HaveField("Ran", currantwood.NotRun)))
		Expect(a.Report().Queued).To(BeZero())
	})

	It("reports the engine's load and returns each cache event once", func() {
		Eventually(func() float64 { return a.Report().Load.TokensPerSec }, timeout).Should(BeEquivalentTo(7))
		Eventually(a.TakeEvents, timeout).Should(HaveLen(1))
		Expect(a.TakeEvents()).To(BeEmpty())
		Expect(a.Report().EngineUp).To(BeTrue())
	})

	Context("when memory is nearly full", func() {
		BeforeEach(func() {
			// At so low a confidence nearly everything is admitted, so memory
			// fills.
			options.MemoryTokens, options.Confidence = 400, 1e-12
		})
		It("pauses a stream at the engine and unpauses it after the other has ended", func() {
			Eventually(admit(ctx, "a"), timeout).Should(Receive(BeNil()))
			Eventually(admit(ctx, "b"), timeout).Should(Receive(BeNil()))
			for i := range 200 {
				for _, id := range []string{"a", "b"} {
					a.Token(currantwood.RequestID(id), currantwood.TokenIndex(i))
				}
			}
			Eventually(engine.recorded, timeout).Should(HaveLen(1))
			other := map[string]string{"pause stream-a": "b", "pause stream-b": "a"}[engine.recorded()[0]]
			a.Finished(currantwood.RequestID(other))
			Eventually(engine.recorded, timeout).Should(HaveLen(2))
			Expect(engine.recorded()[1]).To(Equal("un" + engine.recorded()[0]))
		})
	})
})
