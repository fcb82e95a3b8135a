package engineclient_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/engineclient"
	"github.com/currantwood/currantwood/standin/engine"
)

// generation returns a request for a stream of the given number of tokens.
func generation(id string, tokens int, text string) currantwood.GenerationRequest {
	return currantwood.GenerationRequest{
		Stream:       currantwood.EngineStreamID(id),
		Prompt:       fmt.Appendf(nil, `{"standin-tokens": %d, "prompt": %q}`, tokens, text),
		PromptTokens: 20,
		Prefix:       7,
	}
}

// read reads source to its end. It returns the token indexes and whether the
// stream ended with EventDone.
func read(source currantwood.TokenSource) (indexes []int, complete bool) {
	defer func() { _ = source.Close() }()
	for {
		event, err := source.Next()
		if err != nil {
			Expect(err).To(Equal(io.EOF))
			return indexes, false
		}
		if event.Kind == currantwood.EventDone {
			Expect(event.Index).To(BeEquivalentTo(indexes[len(indexes)-1] + 1))
			return indexes, true
		}
		Expect(event.Text).To(HavePrefix(fmt.Sprintf("%d:", event.Index)))
		indexes = append(indexes, int(event.Index))
	}
}

// indexRange returns the integers from first to last, inclusive.
func indexRange(first, last int) (all []int) {
	for i := first; i <= last; i++ {
		all = append(all, i)
	}
	return all
}

var _ = Describe("Client with the engine stand-in", func() {
	var (
		ctx     context.Context
		options engine.Options
		server  *httptest.Server
		client  *engineclient.Client
	)
	BeforeEach(func() {
		options = engine.DefaultOptions()
		options.Faults = engine.Faults{TokensPerSecond: 500, RestartMs: 50}
	})
	JustBeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
		standin := engine.New(options)
		server = httptest.NewServer(standin)
		DeferCleanup(func() {
			standin.Close()
			server.Close()
		})
		client = engineclient.New(&http.Client{}, server.URL)
	})
	setFaults := func(body string) {
		response, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	start := func(id string, tokens int) currantwood.TokenSource {
		source, err := client.Generate(ctx, generation(id, tokens, "summary"))
		Expect(err).NotTo(HaveOccurred())
		return source
	}

	It("reads a complete stream", func() {
		indexes, complete := read(start("a", 40))
		Expect(complete).To(BeTrue())
		Expect(indexes).To(Equal(indexRange(0, 39)))
		events, err := client.CacheEvents(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		// The engine stand-in takes 75% of the 20 prompt tokens for the prefix.
		Expect(events).To(Equal([]currantwood.CacheEvent{{Seq: 1, Prefix: 7, Tokens: 15}}))
	})

	It("resumes an interrupted stream at a given index", func() {
		setFaults(`{"tokens-per-second": 500, "cut-after-tokens": 10}`)
		indexes, complete := read(start("a", 40))
		Expect(complete).To(BeFalse())
		Expect(indexes).To(Equal(indexRange(0, 9)))
		setFaults(`{"tokens-per-second": 500}`)
		source, err := client.Resume(ctx, "a", 10)
		Expect(err).NotTo(HaveOccurred())
		indexes, complete = read(source)
		Expect(complete).To(BeTrue())
		Expect(indexes).To(Equal(indexRange(10, 39)))
	})

	It("pauses and unpauses a stream", func() {
		source := start("a", 40)
		_, err := source.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Pause(ctx, "a")).To(Succeed())
		Eventually(func() (currantwood.EngineLoad, error) { return client.Load(ctx) }).
			WithTimeout(5 * time.Second).
			Should(And(HaveField("Paused", 1), HaveField("UsedTokens", BeZero())))
		Expect(client.Unpause(ctx, "a")).To(Succeed())
		indexes, complete := read(source)
		Expect(complete).To(BeTrue())
		Expect(indexes).To(Equal(indexRange(1, 39)))
	})

	It("does not report a canceled stream as complete", func() {
		source := start("a", 2000)
		Expect(client.Cancel(ctx, "a")).To(Succeed())
		_, complete := read(source)
		Expect(complete).To(BeFalse())
		Expect(client.Cancel(ctx, "a")).To(Succeed())
		_, err := client.Resume(ctx, "a", 0)
		Expect(err).To(MatchError(currantwood.ErrStreamUnknown))
	})

	It("reports all streams as unknown after the engine crashes and restarts", func() {
		setFaults(`{"tokens-per-second": 500, "crash-on": "poison", "restart-ms": 50}`)
		source := start("innocent", 2000)
		_, err := client.Generate(ctx, generation("guilty", 5, "poison"))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(currantwood.ErrNotDispatched))
		_, complete := read(source)
		Expect(complete).To(BeFalse())
		Eventually(func() error {
			_, err := client.Resume(ctx, "innocent", 0)
			return err
		}).WithTimeout(10 * time.Second).Should(MatchError(currantwood.ErrStreamUnknown))
	})

	It("returns neither ErrStaleFencing nor ErrNotDispatched for a stream that exists already", func() {
		start("a", 2000)
		_, err := client.Generate(ctx, generation("a", 5, ""))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(currantwood.ErrStaleFencing))
		Expect(err).NotTo(MatchError(currantwood.ErrNotDispatched))
	})

	It("returns ErrNotDispatched if the engine refuses a stream or is unreachable", func() {
		setFaults(`{"reject": true}`)
		_, err := client.Generate(ctx, generation("a", 5, ""))
		Expect(err).To(MatchError(currantwood.ErrNotDispatched))
		server.Close()
		_, err = client.Generate(ctx, generation("a", 5, ""))
		Expect(err).To(MatchError(currantwood.ErrNotDispatched))
	})

	It("times out while the engine is frozen and works again afterwards", func() {
		setFaults(`{"tokens-per-second": 500, "freeze": true}`)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := client.Load(short)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		setFaults(`{"tokens-per-second": 500}`)
		_, complete := read(start("a", 5))
		Expect(complete).To(BeTrue())
	})

	DescribeTable("an order with an old fencing number",
		func(check bool, want error) {
			setFaults(fmt.Sprintf(`{"check-fencing": %t}`, check))
			order := currantwood.EngineOrder{Kind: currantwood.OrderLoadModel, Model: "m", Fencing: 5}
			Expect(client.Order(ctx, order)).To(Succeed())
			order.Fencing = 4
			err := client.Order(ctx, order)
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(want))
		},
		Entry("is refused if the engine checks fencing numbers", true, currantwood.ErrStaleFencing),
		Entry("is accepted if the engine does not check them", false, nil),
	)

	Context("with a short limit for streams without a reader", func() {
		BeforeEach(func() { options.AbandonAfter = 100 * time.Millisecond })
		It("reports a stream without a reader as unknown after the limit", func() {
			Expect(start("a", 2000).Close()).To(Succeed())
			// Each successful Resume is a reader and restarts the limit, so the
			// polling interval must be longer than the limit.
			Eventually(func() error {
				source, err := client.Resume(ctx, "a", 0)
				if err == nil {
					_ = source.Close()
				}
				return err
			}).WithPolling(500 * time.Millisecond).WithTimeout(10 * time.Second).
				Should(MatchError(currantwood.ErrStreamUnknown))
		})
	})
})

// BenchmarkNext measures parsing one token event.
func BenchmarkNext(b *testing.B) {
	event := "id: 12345\ndata: {\"text\": \"12345:3fa9 \"}\n\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := strings.Repeat(event, 1000)
		for {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	source, err := engineclient.New(&http.Client{}, server.URL).Generate(context.Background(), currantwood.GenerationRequest{})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := source.Next(); err != nil {
			b.Fatal(err)
		}
	}
	_ = source.Close()
}
