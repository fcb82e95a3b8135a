package watcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/engineclient"
	"github.com/currantwood/currantwood/quarantiner"
	"github.com/currantwood/currantwood/standin/engine"
)

const (
	patience = 20 * time.Second
	marker   = "poison"
)

// bench is a watcher before an engine stand-in, with what it reported.
type bench struct {
	engine  *engine.Engine
	watcher *Watcher

	mu      sync.Mutex
	crashes []quarantiner.Crash
	cleared []currantwood.Fingerprint
}

func newBench(faults engine.Faults) *bench {
	options := engine.DefaultOptions()
	options.Faults = faults
	b := &bench{engine: engine.New(options)}
	server := httptest.NewServer(b.engine)
	DeferCleanup(func() {
		b.engine.SetFaults(engine.Faults{})
		server.CloseClientConnections()
		server.Close()
		b.engine.Close()
	})
	b.watcher = New(Options{
		Engine:   engineclient.New(&http.Client{}, server.URL),
		Upstream: "worker",
		Crashed: func(crash quarantiner.Crash) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.crashes = append(b.crashes, crash)
		},
		Cleared: func(_ time.Time, fingerprint currantwood.Fingerprint) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.cleared = append(b.cleared, fingerprint)
		},
	})
	return b
}

func (b *bench) reported() []quarantiner.Crash {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]quarantiner.Crash(nil), b.crashes...)
}

// run starts a stream with a body and reads it to its end in the background.
func (b *bench) run(ctx context.Context, id, text string, tokens int) <-chan error {
	ended := make(chan error, 1)
	go func() {
		source, err := b.watcher.Generate(ctx, currantwood.GenerationRequest{
			Stream: currantwood.EngineStreamID(id),
			Prompt: bodyOf(text, tokens),
		})
		for err == nil {
			var event currantwood.TokenEvent
			event, err = source.Next()
			if err == nil && event.Kind == currantwood.EventDone {
				break
			}
		}
		ended <- err
	}()
	return ended
}

func bodyOf(text string, tokens int) []byte {
	return fmt.Appendf(nil, `{"prompt": %q, "standin-tokens": %d}`, text, tokens)
}

func (b *bench) streams() int64 { return b.engine.Counts().Streams }

var _ = Describe("Watcher", func() {
	ctx := context.Background()

	DescribeTable("reports a crash with all that was in flight, and nothing else as a crash",
		func(faults engine.Faults, event func(b *bench), wantCrashes, wantInFlight int) {
			faults.RestartMs = 200
			b := newBench(faults)
			long := b.run(ctx, "long", "long", 100000)
			Eventually(b.streams).WithTimeout(patience).Should(BeEquivalentTo(1))
			event(b)
			if wantCrashes == 0 {
				Expect(b.watcher.Cancel(ctx, "long")).To(Succeed())
			}
			var err error
			Eventually(long).WithTimeout(patience).Should(Receive(&err))
			Expect(err).To(HaveOccurred())
			reports := b.reported()
			Expect(reports).To(HaveLen(wantCrashes))
			for _, report := range reports {
				Expect(report.InFlight).To(HaveLen(wantInFlight))
				Expect(report.InFlight).To(ContainElement(FingerprintOf(bodyOf("long", 100000))))
			}
		},
		Entry("cancelled", engine.Faults{}, func(*bench) {}, 0, 0),
		Entry("a request that crashes the engine", engine.Faults{CrashOn: marker}, func(b *bench) {
			Eventually(b.run(ctx, "short", marker, 1)).WithTimeout(patience).Should(Receive(HaveOccurred()))
		}, 1, 2),
		Entry("the engine dies while one more stream is given up", engine.Faults{}, func(b *bench) {
			given, cancel := context.WithCancel(ctx)
			ended := b.run(given, "given-up", "z", 100000)
			Eventually(b.streams).WithTimeout(patience).Should(BeEquivalentTo(2))
			cancel()
			Eventually(ended).WithTimeout(patience).Should(Receive(HaveOccurred()))
			b.engine.Crash()
		}, 1, 2),
		Entry("the engine dies on its own", engine.Faults{}, func(b *bench) {
			b.engine.Crash()
		}, 1, 1),
		Entry("a stream that the engine refuses", engine.Faults{}, func(b *bench) {
			b.engine.SetFaults(engine.Faults{Reject: true})
			Eventually(b.run(ctx, "refused", "x", 1)).WithTimeout(patience).Should(Receive(HaveOccurred()))
		}, 0, 0),
		Entry("a request that the engine doesn't understand", engine.Faults{}, func(b *bench) {
			Eventually(b.run(ctx, "", "x", 1)).WithTimeout(patience).Should(Receive(HaveOccurred()))
		}, 0, 0),
		Entry("a connection that is cut", engine.Faults{CutAfterTokens: 5}, func(b *bench) {
			Eventually(b.run(ctx, "cut", "y", 50)).WithTimeout(patience).Should(Receive(MatchError(io.EOF)))
		}, 0, 0),
		Entry("a stream that its caller gave up", engine.Faults{}, func(b *bench) {
			given, cancel := context.WithCancel(ctx)
			ended := b.run(given, "given-up", "z", 100000)
			Eventually(b.streams).WithTimeout(patience).Should(BeEquivalentTo(2))
			cancel()
			Eventually(ended).WithTimeout(patience).Should(Receive(HaveOccurred()))
		}, 0, 0),
	)

	It("holds no stream that meets the engine still down against it", func() {
		b := newBench(engine.Faults{CrashOn: marker, RestartMs: 100000})
		Eventually(b.run(ctx, "a", marker, 1)).WithTimeout(patience).Should(Receive(HaveOccurred()))
		for i := range 3 {
			Eventually(b.run(ctx, fmt.Sprint(i), "innocent", 1)).WithTimeout(patience).
				Should(Receive(MatchError(currantwood.ErrNotDispatched)))
		}
		Expect(b.reported()).To(HaveLen(1))
	})

	It("starts no stream whose look at the engine was overtaken by a crash", func() {
		b := newBench(engine.Faults{})
		Expect(b.watcher.isUp(ctx)).To(BeTrue())
		Expect(b.watcher.enter(ctx, "lost", 1)).To(Succeed())
		b.watcher.crashed("lost")
		Expect(b.watcher.enter(ctx, "late", 2)).To(MatchError(currantwood.ErrNotDispatched))
		b.watcher.crashed("late")
		Expect(b.reported()).To(HaveLen(1))
	})

	It("runs suspects one at a time, others beside them, and clears each that ends", func() {
		b := newBench(engine.Faults{})
		for _, text := range []string{"first", "second"} {
			b.watcher.Suspect(FingerprintOf(bodyOf(text, 60)))
		}
		first := b.run(ctx, "1", "first", 60)
		Eventually(b.streams).WithTimeout(patience).Should(BeEquivalentTo(1))
		second := b.run(ctx, "2", "second", 60)
		given, cancel := context.WithCancel(ctx)
		givenUp := b.run(given, "3", "second", 60)
		Eventually(b.run(ctx, "4", "other", 1)).WithTimeout(patience).Should(Receive(BeNil()))
		Expect(b.streams()).To(BeEquivalentTo(2), "the first suspect and the other")
		cancel()
		Eventually(givenUp).WithTimeout(patience).Should(Receive(MatchError(currantwood.ErrNotDispatched)))
		Eventually(first).WithTimeout(patience).Should(Receive(BeNil()))
		Eventually(second).WithTimeout(patience).Should(Receive(BeNil()))
		Expect(b.cleared).To(ConsistOf(FingerprintOf(bodyOf("first", 60)), FingerprintOf(bodyOf("second", 60))))
		Expect(b.reported()).To(BeEmpty())
	})
})
