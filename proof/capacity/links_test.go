package capacity

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/quarantiner"
	"github.com/currantwood/currantwood/relayer"
	"github.com/currantwood/currantwood/wire"
)

const (
	// reportInterval is the time between a side's reports today, and
	// slowInterval the one that is planned for full size.
	reportInterval = 250 * time.Millisecond
	slowInterval   = time.Second
	heartbeat      = time.Second
	silence        = time.Minute
)

// ends are the two ends of some links over loopback.
type ends struct {
	dialed, taken []*linker.Link
}

func (e *ends) close() {
	for _, link := range append(e.dialed, e.taken...) {
		link.Close()
	}
}

func connect(b *testing.B, count int, frame func(*linker.Link, *wire.Frame)) *ends {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	e := &ends{}
	for range count {
		var wait sync.WaitGroup
		wait.Add(1)
		go func() {
			defer wait.Done()
			conn, err := listener.Accept()
			if err == nil {
				e.taken = append(e.taken, open(b, conn, false, frame))
			}
		}()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		e.dialed = append(e.dialed, open(b, conn, true, frame))
		wait.Wait()
	}
	return e
}

func open(b *testing.B, conn net.Conn, dialed bool, frame func(*linker.Link, *wire.Frame)) *linker.Link {
	link, err := linker.New(conn, linker.Options{
		Dialed: dialed, Hello: &wire.Hello{Process: "p"}, Heartbeat: heartbeat, Silence: silence,
		Frame: frame, Closed: func(*linker.Link, error) {},
	})
	if err != nil {
		b.Error(err)
	}
	return link
}

func ignore(*linker.Link, *wire.Frame) {}

var linkCounts = []int{50, 100, 200, 400}

// BenchmarkSlopeLinkBytes is the memory of one end of an idle link.
func BenchmarkSlopeLinkBytes(b *testing.B) {
	slope(b, "B/link-end", linkCounts, func(size int) float64 {
		var e *ends
		held := heldBytes(func() any {
			e = connect(b, size, ignore)
			return e
		})
		e.close()
		return held / 2
	})
}

// BenchmarkSlopeLinkIdle is the processor time of both ends of a link that
// carries heartbeats and load reports only, over a second.
func BenchmarkSlopeLinkIdle(b *testing.B) { idleLinks(b, reportInterval) }

// BenchmarkSlopeLinkIdleSlow is the same with fewer reports.
func BenchmarkSlopeLinkIdleSlow(b *testing.B) { idleLinks(b, slowInterval) }

func idleLinks(b *testing.B, interval time.Duration) {
	const window = 4 * time.Second
	slope(b, "us/link/s", linkCounts, func(size int) float64 {
		e := connect(b, size, ignore)
		defer e.close()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		before, until := cpuTime(), time.Now().Add(window)
		for time.Now().Before(until) {
			<-ticker.C
			for _, link := range e.taken {
				_ = link.Send(loadFrame())
			}
		}
		return float64((cpuTime() - before).Microseconds()) / window.Seconds()
	})
}

// BenchmarkSlopeTokens is the processor time of both ends of one link for
// tokens that are sent one in a frame and taken in by a relayer, 620 streams
// sharing the link.
func BenchmarkSlopeTokens(b *testing.B) {
	const streams = 620
	slope(b, "us/token", []int{50_000, 100_000, 200_000, 400_000}, func(size int) float64 {
		relayers := make(map[string]*relayer.Relayer, streams)
		for i := range streams {
			id := fmt.Sprint(i)
			relayers[id] = relayer.New(currantwood.RequestID(id), "customer", relayer.Options{ResumeAfter: time.Second, LostAfter: time.Minute, UnseenLostAfter: time.Minute, AckEvery: 64})
			relayers[id].Bind(start, "generation", 0)
		}
		var delivered atomic.Int64
		done := make(chan struct{})
		e := connect(b, 1, func(_ *linker.Link, frame *wire.Frame) {
			tokens := frame.GetTokens()
			if tokens == nil {
				return
			}
			actions := relayers[tokens.RequestId].Tokens(start, tokens)
			if delivered.Add(int64(len(actions.Deliver))) == int64(size) {
				close(done)
			}
		})
		defer e.close()
		before := cpuTime()
		for i := range size {
			for i-int(delivered.Load()) > 20_000 {
				time.Sleep(time.Millisecond)
			}
			_ = e.taken[0].Send(tokenFrame(fmt.Sprint(i%streams), i/streams))
		}
		<-done
		return float64((cpuTime() - before).Microseconds())
	})
}

func tokenFrame(request string, index int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Tokens{Tokens: &wire.Tokens{
		RequestId: request, GenerationId: "generation", FirstIndex: uint64(index), Texts: []string{"word "},
	}}}
}

func loadFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Load{Load: &wire.Load{
		Upstream: "engine-012345", HeadroomTokens: 123456, Running: 60, Queued: 7, PredictedWaitMs: 120,
		EngineUp: true, Model: "model-1", TokensPerSecond: 4500,
	}}}
}

// BenchmarkSlopeLoadBytes is the size of a load report over the number of cached
// prefixes that it names.
func BenchmarkSlopeLoadBytes(b *testing.B) {
	slope(b, "B/prefix", []int{1, 4, 16, 64}, func(size int) float64 {
		frame := loadFrame()
		for i := range size {
			frame.GetLoad().Cached = append(frame.GetLoad().Cached, &wire.Cached{Prefix: 1 << 63, Tokens: int64(1000 + i)})
		}
		return float64(proto.Size(frame))
	})
}

// BenchmarkSlopeUsageBytes is the size of a usage report over the number of
// customers that it names.
func BenchmarkSlopeUsageBytes(b *testing.B) {
	slope(b, "B/customer", customers, func(size int) float64 {
		usage := &wire.Usage{Process: "entry-000123"}
		for i := range size {
			usage.Customers = append(usage.Customers, &wire.CustomerUsage{
				Customer: fmt.Sprintf("customer-%d", i), InFlight: 3, TokenSecondsPerSecond: 1234.5,
			})
		}
		return float64(proto.Size(&wire.Frame{Body: &wire.Frame_Usage{Usage: usage}}))
	})
}

// BenchmarkSlopeCrashFrame is the size of a crash report over the number of
// requests in flight.
func BenchmarkSlopeCrashFrame(b *testing.B) {
	slope(b, "B/request", []int{15, 30, 60, 120}, func(size int) float64 {
		crash := quarantiner.Crash{ID: "01234567-0123-0123-0123-012345678901", Upstream: "engine-012345", At: start}
		for i := range size {
			crash.InFlight = append(crash.InFlight, 1<<63+currantwood.Fingerprint(i))
		}
		return float64(proto.Size(crash.Frame(start)))
	})
}
