package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
)

const (
	configurationTopic = "keyed.op"
	configurationKey   = "config"
	workerTopic        = "keyed.servers"
)

// world holds what a case has started.
type world struct {
	repository string
	// trouble is whether the disruption of the case is played.
	trouble bool
	began   time.Time
	folder  string
	store   *store.Store
	// storeAway is whether the store takes no writes of workers.
	storeAway atomic.Bool
	gateways  []*gateway
	workers   []*worker
	requests  atomic.Int64

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
}

func newWorld(repository, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	absolute, err := filepath.Abs(repository)
	if err != nil {
		return nil, err
	}
	s, err := store.New()
	if err != nil {
		return nil, err
	}
	w := &world{
		repository: absolute, trouble: os.Getenv(troubleInEnv) != troubleOff, began: time.Now(),
		folder: folder, store: s, file: file, record: bufio.NewWriter(file),
	}
	w.note("disruption played: %v", w.trouble)
	return w, nil
}

// note adds a line to the record, with the time since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// report writes the verdict to the record and returns the exit code.
func (w *world) report(v verdict) int {
	code := exitHeld
	switch {
	case v.failed != "":
		w.note("NOT RUN: %s", v.failed)
		code = exitNotRun
	case v.broken:
		w.note("BROKEN: %s", v.seen)
		code = exitBroken
	default:
		w.note("HELD: %s", v.seen)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	return code
}

// close ends what the case has started.
func (w *world) close() {
	for _, g := range w.gateways {
		g.end()
	}
	for _, worker := range w.workers {
		worker.stop()
	}
	_ = w.store.Close()
	_ = os.RemoveAll(w.folder)
}

// newRequestID returns an id that no other attempt of a client has.
func (w *world) newRequestID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+w.requests.Add(1))
}

// service is a service of the configuration.
type service struct {
	name   string
	engine bool
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, targetMs         int
	attempts                    int
	resume                      bool
}

// tenant is a tenant of the configuration with its API keys.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

const host = "ficu95.example"

// publish writes a version of the configuration as the operator does.
func (w *world) publish(version int, services []service, routes []route, tenants []tenant) {
	var shownServices, shownRoutes []map[string]any
	for _, s := range services {
		shown := map[string]any{"name": s.name, "healthPath": "/healthz", "maxConnections": 242, "protocol": "h1", "tls": false}
		if s.engine {
			shown["engine"] = map[string]any{
				"slots": 24, "kvCapacityTokens": 34319, "kvTokenBytes": 163840, "linkMbps": 24000.0, "moves": true,
				"backups": true, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
				"models": []map[string]any{{"name": "m"}},
			}
		}
		shownServices = append(shownServices, shown)
	}
	for _, r := range routes {
		shown := map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs, "priority": 1, "maxAttempts": max(1, r.attempts),
			"allowAnonymous": false,
		}
		if r.kind == "streaming" {
			shown["stickySessions"], shown["resumeStreams"], shown["gapAimMs"] = true, r.resume, 180
		}
		shownRoutes = append(shownRoutes, shown)
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": shownRoutes, "services": shownServices, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	w.store.Put(configurationTopic, configurationKey, value)
	w.note("operator: configuration %d acknowledged, tenants %+v", version, tenants)
}

// freeAddress returns an unused address of an IP.
func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// runsByID returns how often workers ran each request.
func (w *world) runsByID() map[string]int {
	ran := make(map[string]int)
	for _, k := range w.workers {
		for _, e := range k.ran() {
			ran[e.id]++
		}
	}
	return ran
}

// runs returns how often workers ran a request.
func (w *world) runs(id string) int { return w.runsByID()[id] }
