package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/currantwood/currantwood"
)

// BenchmarkMemoryPerOperation reports the heap bytes per operation that is kept,
// for different numbers of keys and sizes of response bodies.
func BenchmarkMemoryPerOperation(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 100_000, 400_000} {
		for _, size := range []int{0, 256} {
			b.Run(fmt.Sprintf("keys=%d/answer=%d", keys, size), func(b *testing.B) {
				for range b.N {
					before := heapBytes()
					l := newLoadedLedger(keys, size)
					b.ReportMetric(float64(heapBytes()-before)/float64(keys), "B/key")
					runtime.KeepAlive(l)
				}
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// newLoadedLedger returns a ledger that has read the given number of operations
// from the log.
func newLoadedLedger(keys, size int) *Ledger {
	l := New()
	at := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	l.ApplyPage(at, Page{})
	for n := range keys {
		l.ApplyPage(at, operationPage(at, n, size))
	}
	return l
}

func operationPage(at time.Time, n, size int) Page {
	scope := Scope{Customer: "kingston-registry", Rule: "payments", Key: currantwood.OperationKey(fmt.Sprintf("filing-%08d", n))}
	attempt := currantwood.AttemptID(fmt.Sprintf("8b5ff0a3-60a3-4d6a-9a5d-1d6b3f0c1c11-%d.1", n))
	answer := currantwood.ServiceResponse{Status: 200, Body: make([]byte, size)}
	offset := currantwood.Offset(n)
	return Page{Next: offset + 1, Entries: []LogEntry{{Offset: offset, Batch: Batch{At: at, Seen: offset, Records: []Record{
		{Kind: RecordIntent, Scope: scope, Attempt: attempt, At: at, Window: 24 * time.Hour, Fingerprint: 7},
		{Kind: RecordOutcome, Scope: scope, Attempt: attempt, At: at, Fingerprint: 7, Outcome: &Outcome{Response: answer}},
	}}}}}
}

// BenchmarkApply reports the time to apply one operation's records from the log.
func BenchmarkApply(b *testing.B) {
	l := New()
	at := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	l.ApplyPage(at, Page{})
	for n := range b.N {
		l.ApplyPage(at, operationPage(at, n, 256))
	}
}
