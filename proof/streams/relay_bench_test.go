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

// One node's share of the load at the target's peak.
const (
	peakStreams         = 620
	peakTokensPerSecond = 20500
)

// benchEngine is an engine that needs no network, so that the benchmarks measure
// the relay and not the engine.
type benchEngine struct {
	currantwood.Engine
	// tokenInterval is the time between a stream's tokens; 0 for no wait.
	tokenInterval time.Duration
	// tokensPerStream is the length of each stream. With staysOpen, a stream stays
	// open after its last token.
	tokensPerStream int
	staysOpen       bool
}

// benchSource is one stream of a benchEngine.
type benchSource struct {
	engine    *benchEngine
	nextIndex int
	nextDue   time.Time
	closed    chan struct{}
	once      sync.Once
}

func (e *benchEngine) Generate(context.Context, currantwood.GenerationRequest) (currantwood.TokenSource, error) {
	return &benchSource{engine: e, nextDue: time.Now(), closed: make(chan struct{})}, nil
}

// Resume returns ErrStreamUnknown, so that a benchmark in which a link is lost
// fails.
func (e *benchEngine) Resume(context.Context, currantwood.EngineStreamID, currantwood.TokenIndex) (currantwood.TokenSource, error) {
	return nil, currantwood.ErrStreamUnknown
}

// Load reports an unused engine with more memory than the benchmarks need.
func (e *benchEngine) Load(context.Context) (currantwood.EngineLoad, error) {
	return currantwood.EngineLoad{MemoryTokens: 1 << 40}, nil
}

func (e *benchEngine) CacheEvents(context.Context, uint64) ([]currantwood.CacheEvent, error) {
	return nil, nil
}

func (e *benchEngine) Cancel(context.Context, currantwood.EngineStreamID) error { return nil }

// Next returns the next token. With a tokenInterval, its text is the time at which
// it was made, in ns since 1970.
func (s *benchSource) Next() (currantwood.TokenEvent, error) {
	if s.nextIndex == s.engine.tokensPerStream {
		if s.engine.staysOpen {
			<-s.closed
			return currantwood.TokenEvent{}, io.EOF
		}
		return currantwood.TokenEvent{Kind: currantwood.EventDone, Index: currantwood.TokenIndex(s.nextIndex)}, nil
	}
	text := " summary"
	if s.engine.tokenInterval > 0 {
		s.nextDue = s.nextDue.Add(s.engine.tokenInterval)
		time.Sleep(time.Until(s.nextDue))
		text = strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	s.nextIndex++
	return currantwood.TokenEvent{Kind: currantwood.EventToken, Index: currantwood.TokenIndex(s.nextIndex - 1), Text: text}, nil
}

func (s *benchSource) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// unlimitedAdmission returns limits that admit every stream at once, as admission
// is not measured here.
func unlimitedAdmission() gatekeeper.Options {
	options := gatekeeper.DefaultOptions()
	options.MemoryTokens = 1 << 40
	options.MaxRunning = 1 << 20
	options.MaxPrefill = 1 << 40
	return options
}

// startRelay runs one side and one entry until the benchmark ends and returns the
// entry's address for clients.
func startRelay(b *testing.B, engine currantwood.Engine) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	side := sideserver.New(sideserver.Options{
		Hello: &wire.Hello{
			Process: "side", Role: currantwood.RoleSide.String(), Region: "kingston", Upstream: "w", Group: group, Model: model,
		},
		Listener: listener, Engine: engine, Gatekeeper: unlimitedAdmission(), HeartbeatInterval: time.Second, SilenceTimeout: 10 * time.Second,
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
	sys := &system{vms: vms, vmServer: list}
	settings := sys.settings("entry")
	settings.Links.Silence = settingsreader.Duration(10 * time.Second)
	entry, err := entrystarter.New(entrystarter.Options{Settings: settings, Logger: zap.NewNop()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(entry.Kill)
	entry.SetRules(rules)
	for entry.LinkedSideCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	return entry.ClientAddress()
}

// openStream sends a request over a new TCP connection and returns the connection
// without reading the response.
func openStream(b *testing.B, address string, i int) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	text := requestBody(true, fmt.Sprint("stream ", i), 1)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		apiKey("chambers"), len(text), text)
	if err != nil {
		b.Fatal(err)
	}
	return conn
}

var (
	doneMarker  = []byte("data: [DONE]")
	textMarker  = []byte(`"text":"`)
	eventMarker = []byte("data: {")
)

// readToDone reads a stream up to [DONE] and returns the number of JSON events: one
// for each token and one with the finish reason. It calls onChunk, if not nil, with
// each run of complete lines.
func readToDone(conn net.Conn, onChunk func(chunk []byte)) int {
	buffer := make([]byte, 64<<10)
	carried, events := 0, 0
	for {
		n, err := conn.Read(buffer[carried:])
		if err != nil {
			return events
		}
		chunk := buffer[:carried+n]
		complete := bytes.LastIndexByte(chunk, '\n') + 1
		events += bytes.Count(chunk[:complete], eventMarker)
		if onChunk != nil {
			onChunk(chunk[:complete])
		}
		if bytes.Contains(chunk[:complete], doneMarker) {
			return events
		}
		carried = copy(buffer, chunk[complete:])
	}
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// relayStreams reads peakStreams streams to their end and returns the number of
// tokens.
func relayStreams(b *testing.B, address string, onChunk func(chunk []byte)) int64 {
	var total atomic.Int64
	var wait sync.WaitGroup
	for i := range peakStreams {
		conn := openStream(b, address, i)
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { _ = conn.Close() }()
			total.Add(int64(readToDone(conn, onChunk)) - 1)
		}()
	}
	wait.Wait()
	return total.Load()
}

// BenchmarkRelayThroughput relays tokens from the side to the client as fast as
// possible. The processor time includes the clients that read.
func BenchmarkRelayThroughput(b *testing.B) {
	const perStream = 2000
	address := startRelay(b, &benchEngine{tokensPerStream: perStream})
	b.ResetTimer()
	before, started := cpuTime(), time.Now()
	var tokens int64
	for range b.N {
		tokens += relayStreams(b, address, nil)
	}
	if tokens != int64(b.N)*peakStreams*perStream {
		b.Fatalf("%d tokens of %d", tokens, int64(b.N)*peakStreams*perStream)
	}
	b.ReportMetric(float64(tokens)/(cpuTime()-before).Seconds(), "tokens/cpu-s")
	b.ReportMetric(float64(tokens)/time.Since(started).Seconds(), "tokens/s")
}

// BenchmarkRelayDelay relays peakStreams streams that together bring
// peakTokensPerSecond tokens a second, and reports the time from the engine's token
// to the client's event.
func BenchmarkRelayDelay(b *testing.B) {
	const perStream = 150
	interval := time.Second * peakStreams / peakTokensPerSecond
	address := startRelay(b, &benchEngine{tokensPerStream: perStream, tokenInterval: interval})
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	onChunk := func(chunk []byte) {
		now := time.Now().UnixNano()
		mu.Lock()
		defer mu.Unlock()
		for {
			at := bytes.Index(chunk, textMarker)
			if at < 0 {
				return
			}
			chunk = chunk[at+len(textMarker):]
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
		tokens += relayStreams(b, address, onChunk)
	}
	b.ReportMetric(float64(tokens)/(cpuTime()-before).Seconds(), "tokens/cpu-s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkIdleStream reports how much memory a stream that waits for its next token
// adds to the process: entry, side, and the benchmark's own connections and engine.
// stack-B/stream is all stack memory of the process, not only the added.
func BenchmarkIdleStream(b *testing.B) {
	const streams = 4000
	address := startRelay(b, &benchEngine{tokensPerStream: 1, staysOpen: true})
	before := memoryInUse()
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
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		runtime.ReadMemStats(&stats)
		b.ReportMetric(float64(stats.StackInuse)/streams, "stack-B/stream")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// memoryInUse returns the heap and stack in use after a collection, in bytes.
func memoryInUse() uint64 {
	var stats runtime.MemStats
	// A sync.Pool frees its unused objects only in the second collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
