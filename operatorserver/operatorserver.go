// Package operatorserver serves the operators' address of a process: health,
// readiness, metrics, profiles and the pages that the process's role adds, such as
// the rules head.
package operatorserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rcrowley/go-metrics"
)

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 5 * time.Second

// Options configures a Server.
type Options struct {
	Listener net.Listener
	// Ready returns nil if the process accepts requests, or the reason why it
	// doesn't.
	Ready func() error
	// Metrics holds the metrics that /metrics serves as JSON.
	Metrics metrics.Registry
	// Pages are served in addition to the built-in pages.
	Pages []Page
}

// Page is an HTTP handler and its path.
type Page struct {
	Path    string
	Handler http.HandlerFunc
}

// Server serves HTTP at an operators' address.
type Server struct {
	server *http.Server
}

// New starts a Server, which serves until Close.
func New(options Options) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { writeReady(w, options.Ready()) })
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, options.Metrics) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	for _, page := range options.Pages {
		mux.HandleFunc(page.Path, page.Handler)
	}
	s := &Server{server: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}
	go func() { _ = s.server.Serve(options.Listener) }()
	return s
}

// Close stops accepting requests and waits for those in flight. It returns an error
// if ctx ends first.
func (s *Server) Close(ctx context.Context) error { return s.server.Shutdown(ctx) }

// WriteJSON writes value as a JSON response. Errors are ignored.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeReady(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
