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
)

func TestAdmitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admitter")
}

// fakeEngine writes down the pauses that it is sent.
type fakeEngine struct {
	currantwood.Engine
	mu     sync.Mutex
	orders []string
}

func (e *fakeEngine) note(order string, stream currantwood.EngineStreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order+" "+string(stream))
	return nil
}

func (e *fakeEngine) noted() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orders...)
}

func (e *fakeEngine) Pause(_ context.Context, stream currantwood.EngineStreamID) error {
	return e.note("pause", stream)
}

func (e *fakeEngine) Unpause(_ context.Context, stream currantwood.EngineStreamID) error {
	return e.note("unpause", stream)
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
	const bound = 10 * time.Second
	var (
		engine  *fakeEngine
		options gatekeeper.Options
		a       *admitter.Admitter
	)
	BeforeEach(func() {
		engine = &fakeEngine{}
		options = gatekeeper.DefaultOptions()
		options.MaxRunning = 2
		options.MaxWait = bound
	})
	JustBeforeEach(func() {
		a = admitter.New(admitter.Options{Engine: engine, Gatekeeper: options, Logger: zap.NewNop()})
		DeferCleanup(a.Close)
	})
	// admit asks in the background and returns the answer's channel.
	admit := func(ctx context.Context, id string) <-chan *currantwood.Refusal {
		answer := make(chan *currantwood.Refusal, 1)
		demand := currantwood.Demand{Request: currantwood.RequestID(id), PromptTokens: 50, Deadline: time.Now().Add(bound)}
		go func() {
			answer <- a.Admit(ctx, demand, currantwood.EngineStreamID("stream-"+id), func(time.Duration) {})
		}()
		return answer
	}
	ctx := context.Background()

	It("holds a request back until there is room", func() {
		Eventually(admit(ctx, "a"), bound).Should(Receive(BeNil()))
		Eventually(admit(ctx, "b"), bound).Should(Receive(BeNil()))
		third := admit(ctx, "c")
		Eventually(func() int { return a.Report().Queued }, bound).Should(Equal(1))
		Expect(third).NotTo(Receive())
		a.Token("a", 0)
		a.Finished("a")
		Eventually(third, bound).Should(Receive(BeNil()))
		Expect(a.Report().Running).To(Equal(2))
	})

	It("says not run of a request that was given up while it waited", func() {
		Eventually(admit(ctx, "a"), bound).Should(Receive(BeNil()))
		Eventually(admit(ctx, "b"), bound).Should(Receive(BeNil()))
		waiting, giveUp := context.WithCancel(ctx)
		third := admit(waiting, "c")
		Eventually(func() int { return a.Report().Queued }, bound).Should(Equal(1))
		giveUp()
		Eventually(third, bound).Should(Receive(HaveField("Ran", currantwood.NotRun)))
		Expect(a.Report().Queued).To(BeZero())
	})

	It("reports what the engine says, and each cache event once", func() {
		Eventually(func() float64 { return a.Report().Load.TokensPerSec }, bound).Should(BeEquivalentTo(7))
		Eventually(a.TakeEvents, bound).Should(HaveLen(1))
		Expect(a.TakeEvents()).To(BeEmpty())
		Expect(a.Report().EngineUp).To(BeTrue())
	})

	Context("with memory that fills", func() {
		BeforeEach(func() {
			options.MemoryTokens, options.Confidence = 400, 1e-12
		})
		It("pauses a stream at the engine and lets it run on", func() {
			Eventually(admit(ctx, "a"), bound).Should(Receive(BeNil()))
			Eventually(admit(ctx, "b"), bound).Should(Receive(BeNil()))
			for i := range 200 {
				for _, id := range []string{"a", "b"} {
					a.Token(currantwood.RequestID(id), currantwood.TokenIndex(i))
				}
			}
			Eventually(engine.noted, bound).Should(HaveLen(1))
			other := map[string]string{"pause stream-a": "b", "pause stream-b": "a"}[engine.noted()[0]]
			a.Finished(currantwood.RequestID(other))
			Eventually(engine.noted, bound).Should(HaveLen(2))
			Expect(engine.noted()[1]).To(Equal("un" + engine.noted()[0]))
		})
	})
})
