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
	eventTimeout = 20 * time.Second
	crashMarker  = "poison"
)

// fixture is a watcher of an engine stand-in. It records what the watcher reports.
type fixture struct {
	engine  *engine.Engine
	watcher *Watcher

	mu      sync.Mutex
	crashes []quarantiner.Crash
	cleared []currantwood.Fingerprint
}

func newFixture(faults engine.Faults) *fixture {
	options := engine.DefaultOptions()
	options.Faults = faults
	f := &fixture{engine: engine.New(options)}
	server := httptest.NewServer(f.engine)
	DeferCleanup(func() {
		f.engine.SetFaults(engine.Faults{})
		server.CloseClientConnections()
		server.Close()
		f.engine.Close()
	})
	f.watcher = New(Options{
		Engine:   engineclient.New(&http.Client{}, server.URL),
		Upstream: "worker",
		OnCrash: func(crash quarantiner.Crash) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.crashes = append(f.crashes, crash)
		},
		OnCleared: func(_ time.Time, fingerprint currantwood.Fingerprint) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cleared = append(f.cleared, fingerprint)
		},
	})
	return f
}

func (f *fixture) reported() []quarantiner.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]quarantiner.Crash(nil), f.crashes...)
}

// run starts a stream and reads it to its end in the background. The channel
// receives the error, or nil for a complete stream.
func (f *fixture) run(ctx context.Context, id, text string, tokens int) <-chan error {
	ended := make(chan error, 1)
	go func() {
		source, err := f.watcher.Generate(ctx, currantwood.GenerationRequest{
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

// slowChecks is an engine whose checks are slow, so that it has restarted by the time
// that a call fails.
type slowChecks struct{ currantwood.Engine }

func (e slowChecks) Load(ctx context.Context) (currantwood.EngineLoad, error) {
	time.Sleep(50 * time.Millisecond)
	return e.Engine.Load(ctx)
}

func (e slowChecks) Resume(ctx context.Context, stream currantwood.EngineStreamID, from currantwood.TokenIndex) (currantwood.TokenSource, error) {
	time.Sleep(150 * time.Millisecond)
	return e.Engine.Resume(ctx, stream, from)
}

func bodyOf(text string, tokens int) []byte {
	return fmt.Appendf(nil, `{"prompt": %q, "standin-tokens": %d}`, text, tokens)
}

// startedStreams returns the number of streams that the engine has started so far.
func (f *fixture) startedStreams() int64 { return f.engine.Counts().Streams }

var _ = Describe("Watcher", func() {
	ctx := context.Background()

	DescribeTable("reports each crash with all requests in flight, and reports nothing if the engine did not crash",
		func(faults engine.Faults, event func(f *fixture), wantCrashes, wantInFlight int) {
			faults.RestartMs = 200
			f := newFixture(faults)
			long := f.run(ctx, "long", "long", 100000)
			Eventually(f.startedStreams).WithTimeout(eventTimeout).Should(BeEquivalentTo(1))
			event(f)
			if wantCrashes == 0 {
				// The engine still runs the stream, so end it.
				Expect(f.watcher.Cancel(ctx, "long")).To(Succeed())
			}
			var err error
			Eventually(long).WithTimeout(eventTimeout).Should(Receive(&err))
			Expect(err).To(HaveOccurred())
			reports := f.reported()
			Expect(reports).To(HaveLen(wantCrashes))
			for _, report := range reports {
				Expect(report.InFlight).To(HaveLen(wantInFlight))
				Expect(report.InFlight).To(ContainElement(FingerprintOf(bodyOf("long", 100000))))
			}
		},
		Entry("if Cancel is called for a stream", engine.Faults{}, func(*fixture) {}, 0, 0),
		Entry("if a request crashes the engine", engine.Faults{CrashOn: crashMarker}, func(f *fixture) {
			Eventually(f.run(ctx, "short", crashMarker, 1)).WithTimeout(eventTimeout).Should(Receive(HaveOccurred()))
		}, 1, 2),
		Entry("if the engine crashes shortly after the context of another stream is canceled", engine.Faults{}, func(f *fixture) {
			clientCtx, cancel := context.WithCancel(ctx)
			ended := f.run(clientCtx, "given-up", "z", 100000)
			Eventually(f.startedStreams).WithTimeout(eventTimeout).Should(BeEquivalentTo(2))
			cancel()
			Eventually(ended).WithTimeout(eventTimeout).Should(Receive(HaveOccurred()))
			f.engine.Crash()
		}, 1, 2),
		Entry("if the engine crashes on its own", engine.Faults{}, func(f *fixture) {
			f.engine.Crash()
		}, 1, 1),
		Entry("if the engine answers a start with status 503", engine.Faults{}, func(f *fixture) {
			f.engine.SetFaults(engine.Faults{Reject: true})
			Eventually(f.run(ctx, "refused", "x", 1)).WithTimeout(eventTimeout).Should(Receive(HaveOccurred()))
		}, 0, 0),
		Entry("if the engine answers a start with status 400", engine.Faults{}, func(f *fixture) {
			// An empty stream ID is invalid.
			Eventually(f.run(ctx, "", "x", 1)).WithTimeout(eventTimeout).Should(Receive(HaveOccurred()))
		}, 0, 0),
		Entry("if a connection is interrupted", engine.Faults{CutAfterTokens: 5}, func(f *fixture) {
			Eventually(f.run(ctx, "cut", "y", 50)).WithTimeout(eventTimeout).Should(Receive(MatchError(io.EOF)))
		}, 0, 0),
		Entry("if the context of a stream is canceled", engine.Faults{}, func(f *fixture) {
			clientCtx, cancel := context.WithCancel(ctx)
			ended := f.run(clientCtx, "given-up", "z", 100000)
			Eventually(f.startedStreams).WithTimeout(eventTimeout).Should(BeEquivalentTo(2))
			cancel()
			Eventually(ended).WithTimeout(eventTimeout).Should(Receive(HaveOccurred()))
		}, 0, 0),
	)

	// Guards against the request that crashed an engine left out of the report, since the
	// engine responds again when its start has failed.
	It("reports a request that failed to start as in flight, if the engine has restarted by then", func() {
		f := newFixture(engine.Faults{CrashOn: crashMarker, RestartMs: 1})
		f.watcher.Engine = slowChecks{f.watcher.Engine}
		long := f.run(ctx, "long", "long", 100000)
		Eventually(f.startedStreams).WithTimeout(eventTimeout).Should(BeEquivalentTo(1))
		Eventually(f.run(ctx, "short", crashMarker, 1)).WithTimeout(eventTimeout).Should(Receive(HaveOccurred()))
		Eventually(long).WithTimeout(eventTimeout).Should(Receive(HaveOccurred()))
		Expect(f.reported()).To(HaveLen(1))
		Expect(f.reported()[0].InFlight).To(ConsistOf(FingerprintOf(bodyOf("long", 100000)), FingerprintOf(bodyOf(crashMarker, 1))))
	})

	It("refuses streams while the engine is still down and reports no further crash", func() {
		f := newFixture(engine.Faults{CrashOn: crashMarker, RestartMs: 100000})
		Eventually(f.run(ctx, "a", crashMarker, 1)).WithTimeout(eventTimeout).Should(Receive(HaveOccurred()))
		for i := range 3 {
			Eventually(f.run(ctx, fmt.Sprint(i), "innocent", 1)).WithTimeout(eventTimeout).
				Should(Receive(MatchError(currantwood.ErrNotDispatched)))
		}
		Expect(f.reported()).To(HaveLen(1))
	})

	It("does not start a stream if the engine crashed between isEngineUp and admit", func() {
		f := newFixture(engine.Faults{})
		Expect(f.watcher.isEngineUp(ctx)).To(BeTrue())
		Expect(f.watcher.admit(ctx, "lost", 1)).To(Succeed())
		f.watcher.reportCrash("lost")
		Expect(f.watcher.admit(ctx, "late", 2)).To(MatchError(currantwood.ErrNotDispatched))
		f.watcher.reportCrash("late")
		Expect(f.reported()).To(HaveLen(1))
	})

	It("runs suspects one at a time and other requests concurrently, and clears each suspect that completes", func() {
		f := newFixture(engine.Faults{})
		for _, text := range []string{"first", "second"} {
			f.watcher.AddSuspect(FingerprintOf(bodyOf(text, 60)))
		}
		first := f.run(ctx, "1", "first", 60)
		Eventually(f.startedStreams).WithTimeout(eventTimeout).Should(BeEquivalentTo(1))
		second := f.run(ctx, "2", "second", 60)
		clientCtx, cancel := context.WithCancel(ctx)
		givenUp := f.run(clientCtx, "3", "second", 60)
		Eventually(f.run(ctx, "4", "other", 1)).WithTimeout(eventTimeout).Should(Receive(BeNil()))
		Expect(f.startedStreams()).To(BeEquivalentTo(2), "the first suspect and the request that is no suspect")
		cancel()
		Eventually(givenUp).WithTimeout(eventTimeout).Should(Receive(MatchError(currantwood.ErrNotDispatched)))
		Eventually(first).WithTimeout(eventTimeout).Should(Receive(BeNil()))
		Eventually(second).WithTimeout(eventTimeout).Should(Receive(BeNil()))
		Expect(f.cleared).To(ConsistOf(FingerprintOf(bodyOf("first", 60)), FingerprintOf(bodyOf("second", 60))))
		Expect(f.reported()).To(BeEmpty())
	})
})
