package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
	"github.com/currantwood/currantwood/platform/storeclient"
)

// world holds the stand-ins and the processes of one case.
type world struct {
	began  time.Time
	store  *store.Store
	folder string
	record *os.File

	mu       sync.Mutex
	workers  []*worker
	gateways []*gateway
	version  int
	requests int
}

// newWorld starts the store. The record goes to record.txt in the folder of the case.
func newWorld(caseFolder string) *world {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		unable("create the record: %v", err)
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		unable("create a temporary folder: %v", err)
	}
	s, err := store.New()
	if err != nil {
		unable("start the store: %v", err)
	}
	return &world{began: time.Now(), store: s, folder: folder, record: record}
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) { w.noteAt(time.Now(), format, args...) }

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", at.Sub(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, k := range w.workers {
		k.end(false)
	}
	_ = w.store.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", w.folder)
		return
	}
	_ = os.RemoveAll(w.folder)
}

// route describes a route of the configuration.
type route struct {
	prefix, kind, service string
	attempts              int
	resumes               bool
}

// publish writes the next version of the configuration, which holds these keys of one tenant,
// and returns its text. The store acknowledges it at once.
func (w *world) publish(routes []route, keys ...string) []byte {
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.mu.Unlock()
	var rows []any
	services := map[string]bool{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": "r" + r.prefix, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": 39000, "targetLatencyMs": 500,
			"priority": 1, "service": r.service, "maxAttempts": r.attempts, "allowAnonymous": false, "stickySessions": false,
			"resumeStreams": r.resumes, "gapAimMs": 180,
		})
		services[r.service] = true
	}
	var list []any
	for name := range services {
		service := map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 242, "protocol": "h1", "tls": false}
		if name == "writers" {
			service["engine"] = map[string]any{
				"slots": 24, "kvCapacityTokens": 34319, "kvTokenBytes": 163840, "linkMbps": 24000.0, "moves": true, "backups": true,
				"stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
			}
		}
		list = append(list, service)
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": rows, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "ada", "apiKeys": keys, "priority": 1}},
	})
	if err != nil {
		unable("encode a configuration: %v", err)
	}
	w.putConfiguration(text)
	w.note("operator: the store has acknowledged configuration %d, keys %v", version, keys)
	return text
}

func (w *world) putConfiguration(text []byte) {
	w.store.Put(storeclient.ConfigurationTopic, storeclient.ConfigurationKey, text)
}
