package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/standin/engine"
	"github.com/currantwood/currantwood/standin/sites"
)

// BenchmarkSlopeStreamBytes measures the memory of a stream of one token per second.
// Client, entry, side and engine stand-in all run in this process, so the result is an
// upper bound for the entry.
func BenchmarkSlopeStreamBytes(b *testing.B) {
	site := sites.Harbourline()
	reportSlope(b, "B/stream", []int{80, 160, 320, 640}, func(size int) float64 {
		system, err := demonstrator.New(demonstrator.Options{
			Name: site.Name, Regions: site.Regions[:1], EntriesPerRegion: 1, Rules: site.Rules, Logger: zap.NewNop(),
			Groups: []demonstrator.Group{{Name: "summary-writers", Kind: 1, Model: "court-summary", Count: 8}},
			Engine: func(o *engine.Options) { o.Faults.TokensPerSecond = 1; o.Batch.MemoryTokens *= 100 },
		})
		if err != nil {
			b.Fatal(err)
		}
		defer system.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if err := system.WaitReady(ctx); err != nil {
			b.Fatal(err)
		}
		return retainedBytes(func() any { return openStreams(b, system, size, site.Keys) })
	})
}

// openStreams opens each stream over its own connection and reads its status line,
// which is sent with the first token.
func openStreams(b *testing.B, system *demonstrator.Demonstrator, count int, keys []sites.CustomerKey) []net.Conn {
	conns := make([]net.Conn, count)
	for i := range conns {
		conn, err := net.Dial("tcp", system.Entries[0].ClientAddress())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close() })
		body := fmt.Sprintf(`{"model":"court-summary","prompt":"%d","stream":true,"standin-tokens":1000}`, i)
		_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", keys[i%len(keys)].Key, len(body), body)
		conns[i] = conn
	}
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		status, err := bufio.NewReaderSize(conn, 16).ReadString('\n')
		if err != nil || status != "HTTP/1.1 200 OK\r\n" {
			b.Fatalf("status %q: %v", status, err)
		}
	}
	return conns
}
