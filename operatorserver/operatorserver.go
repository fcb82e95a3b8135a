// Package operatorserver serves one process's operators' address: health,
// readiness, metrics, profiles, the rules head and whatever a role adds.
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

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// Options says what an operators' address serves.
type Options struct {
	Listener net.Listener
	// Ready says nil when new requests may be sent to this process, else why not.
	Ready func() error
	// Metrics holds the process's metrics.
	Metrics metrics.Registry
	// Pages are further pages by path.
	Pages []Page
}

// Page is one further page.
type Page struct {
	Path    string
	Handler http.HandlerFunc
}

// Server is one running operators' address.
type Server struct {
	server *http.Server
}

// New starts serving.
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

// Close stops serving once the requests in flight have ended or ctx is done.
func (s *Server) Close(ctx context.Context) error { return s.server.Shutdown(ctx) }

// WriteJSON answers with a value as JSON.
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
