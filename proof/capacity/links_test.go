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
	// reportInterval is the time between the load reports of a side.
	// slowReportInterval is the one planned for an installation of full size.
	reportInterval     = 250 * time.Millisecond
	slowReportInterval = time.Second
	heartbeatInterval  = time.Second
	silenceTimeout     = time.Minute
)

// linkEnds holds both ends of links over the loopback interface.
type linkEnds struct {
	dialed, accepted []*linker.Link
}

func (e *linkEnds) close() {
	for _, link := range append(e.dialed, e.accepted...) {
		link.Close()
	}
}

// connectLinks opens links over the loopback interface. Both ends call onFrame for
// each frame that they receive.
func connectLinks(b *testing.B, count int, onFrame func(*linker.Link, *wire.Frame)) *linkEnds {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	e := &linkEnds{}
	for range count {
		var wait sync.WaitGroup
		wait.Add(1)
		go func() {
			defer wait.Done()
			conn, err := listener.Accept()
			if err == nil {
				e.accepted = append(e.accepted, newLink(b, conn, false, onFrame))
			}
		}()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		e.dialed = append(e.dialed, newLink(b, conn, true, onFrame))
		wait.Wait()
	}
	return e
}

func newLink(b *testing.B, conn net.Conn, dialed bool, onFrame func(*linker.Link, *wire.Frame)) *linker.Link {
	link, err := linker.New(conn, linker.Options{
		Dialed: dialed, Hello: &wire.Hello{Process: "p"}, HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout,
		OnFrame: onFrame, OnClosed: func(*linker.Link, error) {},
	})
	if err != nil {
		b.Error(err)
	}
	return link
}

func ignoreFrame(*linker.Link, *wire.Frame) {}

var linkCounts = []int{50, 100, 200, 400}

// BenchmarkSlopeLinkBytes measures the memory of one end of an idle link.
func BenchmarkSlopeLinkBytes(b *testing.B) {
	reportSlope(b, "B/link-end", linkCounts, func(size int) float64 {
		var e *linkEnds
		retained := retainedBytes(func() any {
			e = connectLinks(b, size, ignoreFrame)
			return e
		})
		e.close()
		return retained / 2
	})
}

// BenchmarkSlopeLinkIdle measures the processor time per second of both ends of a
// link that carries only heartbeats and load reports.
func BenchmarkSlopeLinkIdle(b *testing.B) { measureIdleLinks(b, reportInterval) }

// BenchmarkSlopeLinkIdleSlow is BenchmarkSlopeLinkIdle at slowReportInterval.
func BenchmarkSlopeLinkIdleSlow(b *testing.B) { measureIdleLinks(b, slowReportInterval) }

func measureIdleLinks(b *testing.B, interval time.Duration) {
	const window = 4 * time.Second
	reportSlope(b, "us/link/s", linkCounts, func(size int) float64 {
		e := connectLinks(b, size, ignoreFrame)
		defer e.close()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		before, until := cpuTime(), time.Now().Add(window)
		for time.Now().Before(until) {
			<-ticker.C
			for _, link := range e.accepted {
				_ = link.Send(loadFrame())
			}
		}
		return float64((cpuTime() - before).Microseconds()) / window.Seconds()
	})
}

// BenchmarkSlopeTokens measures the processor time of both ends of one link, shared
// by 620 streams, per token. Each token is sent in a frame of its own and passed to
// the relayer of its stream.
func BenchmarkSlopeTokens(b *testing.B) {
	const streams = 620
	reportSlope(b, "us/token", []int{50_000, 100_000, 200_000, 400_000}, func(size int) float64 {
		relayers := make(map[string]*relayer.Relayer, streams)
		for i := range streams {
			id := fmt.Sprint(i)
			relayers[id] = relayer.New(currantwood.RequestID(id), "customer", relayer.Options{ResumeAfter: time.Second, LostAfter: time.Minute, FirstTokenLostAfter: time.Minute, AckEvery: 64})
			relayers[id].SetGeneration(startTime, "generation", 0)
		}
		var delivered atomic.Int64
		done := make(chan struct{})
		e := connectLinks(b, 1, func(_ *linker.Link, frame *wire.Frame) {
			tokens := frame.GetTokens()
			if tokens == nil {
				return
			}
			actions := relayers[tokens.RequestId].HandleTokens(startTime, tokens)
			if delivered.Add(int64(len(actions.Deliver))) == int64(size) {
				close(done)
			}
		})
		defer e.close()
		before := cpuTime()
		for i := range size {
			// Limit the tokens that are sent but not delivered.
			for i-int(delivered.Load()) > 20_000 {
				time.Sleep(time.Millisecond)
			}
			_ = e.accepted[0].Send(tokenFrame(fmt.Sprint(i%streams), i/streams))
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

// BenchmarkSlopeLoadBytes measures the encoded size of a load report per cached
// prefix.
func BenchmarkSlopeLoadBytes(b *testing.B) {
	reportSlope(b, "B/prefix", []int{1, 4, 16, 64}, func(size int) float64 {
		frame := loadFrame()
		for i := range size {
			frame.GetLoad().Cached = append(frame.GetLoad().Cached, &wire.Cached{Prefix: 1 << 63, Tokens: int64(1000 + i)})
		}
		return float64(proto.Size(frame))
	})
}

// BenchmarkSlopeUsageBytes measures the encoded size of a usage report per customer.
func BenchmarkSlopeUsageBytes(b *testing.B) {
	reportSlope(b, "B/customer", customerCounts, func(size int) float64 {
		usage := &wire.Usage{Process: "entry-000123"}
		for i := range size {
			usage.Customers = append(usage.Customers, &wire.CustomerUsage{
				Customer: fmt.Sprintf("customer-%d", i), InFlight: 3, TokenSecondsPerSecond: 1234.5,
			})
		}
		return float64(proto.Size(&wire.Frame{Body: &wire.Frame_Usage{Usage: usage}}))
	})
}

// BenchmarkSlopeCrashFrame measures the encoded size of a crash report per request
// in flight.
func BenchmarkSlopeCrashFrame(b *testing.B) {
	reportSlope(b, "B/request", []int{15, 30, 60, 120}, func(size int) float64 {
		crash := quarantiner.Crash{ID: "01234567-0123-0123-0123-012345678901", Upstream: "engine-012345", At: startTime}
		for i := range size {
			crash.InFlight = append(crash.InFlight, 1<<63+currantwood.Fingerprint(i))
		}
		return float64(proto.Size(crash.Frame(startTime)))
	})
}
