package recorder_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/recorder"
	"github.com/currantwood/currantwood/wire"
)

// benchLog keeps streams in memory. Each append takes latency.
type benchLog struct {
	latency time.Duration

	mu      sync.Mutex
	streams map[currantwood.StreamName][]currantwood.Record
	appends int
}

func (l *benchLog) Append(_ context.Context, stream currantwood.StreamName, data []byte) (currantwood.Offset, error) {
	time.Sleep(l.latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	offset := currantwood.Offset(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], currantwood.Record{Offset: offset, Data: data})
	return offset, nil
}

func (l *benchLog) Read(_ context.Context, stream currantwood.StreamName, from currantwood.Offset, limit int) (currantwood.RecordBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := l.streams[stream]
	batch := currantwood.RecordBatch{End: currantwood.Offset(len(records))}
	if int(from) < len(records) {
		batch.Records = records[from:min(len(records), int(from)+limit)]
	}
	return batch, nil
}

type benchService struct{}

func (benchService) Call(context.Context, currantwood.ServiceCall) (currantwood.ServiceResponse, error) {
	return currantwood.ServiceResponse{Status: 200, Body: []byte(`{"receipt":"4711"}`)}, nil
}

// BenchmarkGroupCommit measures how the recorder batches the records of concurrent
// callers into appends (group commit), at most DefaultAppendsPerSecond of them per
// second. Each operation writes two records; appends/op is the number of appends to
// the log per operation.
func BenchmarkGroupCommit(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512, 2048} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			log := &benchLog{latency: 5 * time.Millisecond, streams: map[currantwood.StreamName][]currantwood.Record{}}
			r := recorder.New(recorder.Options{Log: log, Service: benchService{}, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
			defer r.Close()
			warmUp(b, r)
			log.mu.Lock()
			log.appends = 0
			log.mu.Unlock()
			var next atomic.Int64
			var wait sync.WaitGroup
			b.ResetTimer()
			for range callers {
				wait.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						if answer := r.Call(context.Background(), payment(fmt.Sprint(n))); answer.Refusal != nil {
							b.Error(answer.Refusal)
						}
					}
				})
			}
			wait.Wait()
			b.StopTimer()
			_ = r.Drain(context.Background())
			log.mu.Lock()
			defer log.mu.Unlock()
			b.ReportMetric(float64(log.appends)/float64(b.N), "appends/op")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "ops/s")
			b.ReportMetric(float64(log.appends)/b.Elapsed().Seconds(), "appends/s")
		})
	}
}

// warmUp makes calls until one is not refused, about 1000 at most.
func warmUp(b *testing.B, r *recorder.Recorder) {
	for n := 0; ; n++ {
		answer := r.Call(context.Background(), payment(fmt.Sprint("warm-up-", n)))
		if answer.Refusal == nil {
			return
		}
		if n > 1000 {
			b.Fatal(answer.Refusal)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func payment(key string) *wire.Call {
	return &wire.Call{
		Customer: "kingston-registry", Rule: "payments", OperationKey: key, Fingerprint: 7,
		DeadlineMs: 30_000, WindowMs: 24 * 3600 * 1000, Method: "POST", Path: "/payments", Body: []byte(`{"case":12,"amount":4500}`),
	}
}
