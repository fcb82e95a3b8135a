// Command memory measures what a gateway's process takes of memory while some workers send bytes
// without end in streams.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood/review/rig"
)

const (
	// workers, slots and memoryMB are those of the sheet; troubled of the workers send bytes
	// without end.
	workers  = 14
	troubled = 7
	slots    = 24
	memoryMB = 134
	streams  = 320
	// counts is the X-Token-Counts of the example of a request.
	counts   = "1460,80"
	events   = 40
	interval = 170 * time.Millisecond
	// patience is how long a client waits for the first event: four times the objective.
	patience = 7200 * time.Millisecond
	// fast is what a troubled worker sends at once, slow how long it waits before each of
	// the bytes after that.
	fast     = 1_040_000
	slow     = 100 * time.Millisecond
	chunk    = 10_000
	megabyte = 1e6
	samples  = 20 * time.Millisecond
)

func main() { os.Exit(rig.Main(play)) }

func publish(r *rig.Rig) error {
	return r.Publish([]rig.Route{{
		"name": "matter-brief", "host": rig.Host, "pathPrefix": "/matter-brief/", "kind": "streaming", "service": "brief-writers",
		"timeoutMs": 39000, "targetLatencyMs": 1800, "priority": 1, "maxAttempts": 1, "gapAimMs": 180, "stickySessions": true,
	}}, []any{map[string]any{"name": "brief-writers", "maxConnections": 242, "engine": map[string]any{
		"slots": slots, "kvCapacityTokens": 34319, "kvTokenBytes": 327680, "linkMbps": 47000, "moves": true, "stride": 4,
	}}})
}

func play(r *rig.Rig, trouble bool) (int, error) {
	if err := publish(r); err != nil {
		return 0, err
	}
	all := make([]*worker, workers)
	for i := range all {
		w := &worker{id: fmt.Sprintf("i-%d", i), endless: trouble && i < troubled, born: time.Now().UnixMilli()}
		if err := w.start(r); err != nil {
			return 0, err
		}
		all[i] = w
	}
	g, err := r.AddGateway("edge-1", 1, memoryMB, r.Store.Address(), nil)
	if err != nil {
		return 0, err
	}
	r.Log("edge-1 has %.1f MB of its own at rest", float64(anonymous(g.PID()))/megabyte)
	var peak atomic.Int64
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(samples):
				peak.Store(max(peak.Load(), anonymous(g.PID())))
			}
		}
	})
	send(r, g)
	close(stop)
	sampler.Wait()
	for _, w := range all {
		r.Log("worker %s: %d runs, without end: %v, %d bytes sent", w.id, w.ran.Load(), w.endless, w.sent.Load())
	}
	r.Log("edge-1 had at most %.1f MB of its own, memoryMb is %d; ended: %v", float64(peak.Load())/megabyte, memoryMB, g.Ended())
	if peak.Load() > memoryMB*megabyte || g.Ended() {
		return 1, nil
	}
	return 0, nil
}

// send sends the streams and waits for their ends.
func send(r *rig.Rig, g *rig.Gateway) {
	var wg sync.WaitGroup
	var whole, failed, refused atomic.Int64
	for i := range streams {
		wg.Go(func() {
			a := g.Send(rig.Request{ID: fmt.Sprintf("r%03d", i), Path: "/matter-brief/1", Key: rig.Key, Counts: counts, Deadline: patience})
			switch {
			case a.Status == http.StatusOK && a.Complete:
				whole.Add(1)
			case a.Status == http.StatusServiceUnavailable:
				refused.Add(1)
			default:
				failed.Add(1)
			}
		})
		time.Sleep(interval / 34)
	}
	wg.Wait()
	r.Log("client: %d streams whole, %d refused, %d without an event or broken off", whole.Load(), refused.Load(), failed.Load())
}

// anonymous returns the memory of a process without the pages of its files.
func anonymous(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// worker is a model worker that may be in trouble.
type worker struct {
	id      string
	endless bool
	born    int64
	running atomic.Int64
	ran     atomic.Int64
	sent    atomic.Int64
}

func (w *worker) start(r *rig.Rig) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, w) }()
	return r.Register(w.id, map[string]any{
		"service": "brief-writers", "address": l.Addr().String(), "zone": "kingston-a", "version": "v1", "slots": slots,
		"state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": w.born,
	})
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		_, _ = fmt.Fprintf(out, `{"state":"ready","born":%d,"runs":[]}`, w.born)
		return
	}
	out.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	defer w.running.Add(-1)
	if w.running.Add(1) > slots {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.ran.Add(1)
	out.Header().Set("X-Response-Seal", "seal-"+w.id)
	out.Header().Set("Content-Type", "text/event-stream")
	if w.endless {
		w.sendWithoutEnd(out, r)
		return
	}
	for event := 1; event <= events; event++ {
		time.Sleep(interval)
		_, _ = fmt.Fprintf(out, "id: %d\ndata: word\n\n", event)
		_ = http.NewResponseController(out).Flush()
	}
}

// sendWithoutEnd sends bytes that are no event until the connection is closed.
func (w *worker) sendWithoutEnd(out http.ResponseWriter, r *http.Request) {
	block := strings.Repeat("x", chunk)
	for sent := 0; r.Context().Err() == nil; sent += len(block) {
		if sent >= fast {
			block = "x"
			time.Sleep(slow)
		}
		n, err := io.WriteString(out, block)
		w.sent.Add(int64(n))
		if err != nil || http.NewResponseController(out).Flush() != nil {
			return
		}
	}
}
