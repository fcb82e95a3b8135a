package streams_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/entrystarter"
	"github.com/currantwood/currantwood/gatekeeper"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/sideserver"
	"github.com/currantwood/currantwood/standin/vmlist"
	"github.com/currantwood/currantwood/wire"
)

// The share of one node at the target's peak.
const (
	peakStreams      = 620
	peakTokensPerSec = 20500
)

// benchEngine is an engine without a network: what it costs is not counted to
// the relay.
type benchEngine struct {
	currantwood.Engine
	// each is the time between a stream's tokens; 0 gives them at once.
	each time.Duration
	// count is the length of each stream; a stream stays open after it when
	// idle is set.
	count int
	idle  bool
}

type benchSource struct {
	engine *benchEngine
	next   int
	due    time.Time
	closed chan struct{}
	once   sync.Once
}

func (e *benchEngine) Generate(context.Context, currantwood.GenerationRequest) (currantwood.TokenSource, error) {
	return &benchSource{engine: e, due: time.Now(), closed: make(chan struct{})}, nil
}

// Resume finds no stream: a benchmark in which a link was lost fails.
func (e *benchEngine) Resume(context.Context, currantwood.EngineStreamID, currantwood.TokenIndex) (currantwood.TokenSource, error) {
	return nil, currantwood.ErrStreamUnknown
}

// Load reports room for all.
func (e *benchEngine) Load(context.Context) (currantwood.EngineLoad, error) {
	return currantwood.EngineLoad{MemoryTokens: 1 << 40}, nil
}

func (e *benchEngine) CacheEvents(context.Context, uint64) ([]currantwood.CacheEvent, error) {
	return nil, nil
}

func (e *benchEngine) Cancel(context.Context, currantwood.EngineStreamID) error { return nil }

// Next gives a token whose text is the time at which it was made.
func (s *benchSource) Next() (currantwood.TokenEvent, error) {
	if s.next == s.engine.count {
		if s.engine.idle {
			<-s.closed
			return currantwood.TokenEvent{}, io.EOF
		}
		return currantwood.TokenEvent{Kind: currantwood.EventDone, Index: currantwood.TokenIndex(s.next)}, nil
	}
	text := " summary"
	if s.engine.each > 0 {
		s.due = s.due.Add(s.engine.each)
		time.Sleep(time.Until(s.due))
		text = strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	s.next++
	return currantwood.TokenEvent{Kind: currantwood.EventToken, Index: currantwood.TokenIndex(s.next - 1), Text: text}, nil
}

func (s *benchSource) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// roomForAll lets every stream in at once: admission is not measured here.
func roomForAll() gatekeeper.Options {
	options := gatekeeper.DefaultOptions()
	options.MemoryTokens = 1 << 40
	options.MaxRunning = 1 << 20
	options.MaxPrefill = 1 << 40
	return options
}

// startRelay runs one side and one entry and returns the entry's address.
func startRelay(b *testing.B, engine currantwood.Engine) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	side := sideserver.New(sideserver.Options{
		Hello: &wire.Hello{
			Process: "side", Role: currantwood.RoleSide.String(), Region: "kingston", Upstream: "w", Group: group, Model: model,
		},
		Listener: listener, Engine: engine, Gatekeeper: roomForAll(), Heartbeat: time.Second, Silence: 10 * time.Second,
		Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
	})
	b.Cleanup(side.Close)
	vms := vmlist.New()
	vms.Put(currantwood.VM{
		ID: "vm-side", Role: currantwood.RoleSide.String(), Region: "kingston", Address: listener.Addr().String(),
		Upstream: "w", Group: group, Model: model,
	})
	list := httptest.NewServer(vms)
	b.Cleanup(list.Close)
	w := &world{vms: vms, list: list}
	settings := w.settings("entry")
	settings.Links.Silence = settingsreader.Duration(10 * time.Second)
	entry, err := entrystarter.New(entrystarter.Options{Settings: settings, Logger: zap.NewNop()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(entry.Kill)
	entry.SetRules(rules)
	for entry.Sides() == 0 {
		time.Sleep(time.Millisecond)
	}
	return entry.CallerAddress()
}

// openStream sends a request over a plain connection and reads no answer.
func openStream(b *testing.B, address string, i int) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	text := body(true, fmt.Sprint("stream ", i), 1)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		key("chambers"), len(text), text)
	if err != nil {
		b.Fatal(err)
	}
	return conn
}

var (
	doneMark  = []byte("data: [DONE]")
	textMark  = []byte(`"text":"`)
	eventMark = []byte("data: {")
)

// drainStream reads a stream to its end and returns the number of events.
func drainStream(conn net.Conn, seen func(chunk []byte)) int {
	buffer := make([]byte, 64<<10)
	kept, events := 0, 0
	for {
		n, err := conn.Read(buffer[kept:])
		if err != nil {
			return events
		}
		chunk := buffer[:kept+n]
		whole := bytes.LastIndexByte(chunk, '\n') + 1
		events += bytes.Count(chunk[:whole], eventMark)
		if seen != nil {
			seen(chunk[:whole])
		}
		if bytes.Contains(chunk[:whole], doneMark) {
			return events
		}
		kept = copy(buffer, chunk[whole:])
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// relayAll reads 620 streams to their end and returns the tokens counted.
func relayAll(b *testing.B, address string, seen func(chunk []byte)) int64 {
	var total atomic.Int64
	var wait sync.WaitGroup
	for i := range peakStreams {
		conn := openStream(b, address, i)
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { _ = conn.Close() }()
			total.Add(int64(drainStream(conn, seen)) - 1)
		}()
	}
	wait.Wait()
	return total.Load()
}

// BenchmarkRelayThroughput relays from the side to the caller as fast as it
// goes. The processor time includes the callers that read.
func BenchmarkRelayThroughput(b *testing.B) {
	const perStream = 2000
	address := startRelay(b, &benchEngine{count: perStream})
	b.ResetTimer()
	before, started := cpuTime(), time.Now()
	var tokens int64
	for range b.N {
		tokens += relayAll(b, address, nil)
	}
	if tokens != int64(b.N)*peakStreams*perStream {
		b.Fatalf("%d tokens of %d", tokens, int64(b.N)*peakStreams*perStream)
	}
	b.ReportMetric(float64(tokens)/(cpuTime()-before).Seconds(), "tokens/cpu-s")
	b.ReportMetric(float64(tokens)/time.Since(started).Seconds(), "tokens/s")
}

// BenchmarkRelayDelay relays 20,500 tokens a second in 620 streams and reports
// the time from the engine's token to the caller's event.
func BenchmarkRelayDelay(b *testing.B) {
	const perStream = 150
	each := time.Second * peakStreams / peakTokensPerSec
	address := startRelay(b, &benchEngine{count: perStream, each: each})
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	seen := func(chunk []byte) {
		now := time.Now().UnixNano()
		mu.Lock()
		defer mu.Unlock()
		for {
			at := bytes.Index(chunk, textMark)
			if at < 0 {
				return
			}
			chunk = chunk[at+len(textMark):]
			made, err := strconv.ParseInt(string(chunk[:max(bytes.IndexByte(chunk, '"'), 0)]), 10, 64)
			if err == nil {
				_ = histogram.RecordValue((now - made) / int64(time.Microsecond))
			}
		}
	}
	b.ResetTimer()
	before := cpuTime()
	var tokens int64
	for range b.N {
		tokens += relayAll(b, address, seen)
	}
	b.ReportMetric(float64(tokens)/(cpuTime()-before).Seconds(), "tokens/cpu-s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkIdleStream reports the memory of one stream that waits for its next
// token, in the entry and the side together.
func BenchmarkIdleStream(b *testing.B) {
	const streams = 4000
	address := startRelay(b, &benchEngine{count: 1, idle: true})
	before := heldMemory()
	var stats runtime.MemStats
	for range b.N {
		conns := make([]net.Conn, streams)
		for i := range conns {
			conns[i] = openStream(b, address, i)
		}
		for _, conn := range conns {
			var buffer [2048]byte
			if _, err := conn.Read(buffer[:]); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heldMemory()-before)/streams, "B/stream")
		runtime.ReadMemStats(&stats)
		b.ReportMetric(float64(stats.StackInuse)/streams, "stack-B/stream")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

func heldMemory() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
