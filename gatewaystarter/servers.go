package gatewaystarter

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood/ingress/apportioner"
	"github.com/currantwood/currantwood/ingress/connlimiter"
)

// listen opens the listeners and starts to serve them.
func (p *Process) listen() error {
	clients, err := p.clientLimiter.Open(p.options.Settings.ListenClients)
	if err != nil {
		return err
	}
	readyLimiter := p.newLimiter("readiness", p.shares.Side())
	ready, err := readyLimiter.Open(p.options.Settings.ListenReady)
	if err != nil {
		_ = clients.Close()
		return err
	}
	p.clientServer = &http.Server{
		Handler:                      p.clientLimiter.Handler(http.HandlerFunc(p.serveClient)),
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               p.clientLimiter.MaxHeadBytes(),
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     zap.NewStdLog(p.options.Logger.Named("http")),
		ConnContext:                  p.clientLimiter.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			p.arrivals.NoteState(c, state)
			p.clientLimiter.NoteState(c, state)
		},
	}
	p.readyServer = newSinglePathServer("/readyz", p.serveReady, readyLimiter)
	clients = p.arrivals.Listen(clients)
	go func() { _ = p.clientServer.Serve(clients) }()
	go func() { _ = p.readyServer.Serve(ready) }()
	p.listenForMetrics()
	return nil
}

// newLimiter returns the limiter of a listener.
func (p *Process) newLimiter(name string, shares apportioner.Shares) *connlimiter.Limiter {
	l := connlimiter.New(connlimiter.Options{Name: name, Shares: shares, Now: time.Now, Logger: p.options.Logger, Metrics: p.metrics})
	p.limiters = append(p.limiters, l)
	return l
}

// serveClient serves one client request.
func (p *Process) serveClient(w http.ResponseWriter, r *http.Request) {
	p.arrivals.NoteRequest(p.now())
	p.gateway.ServeHTTP(w, r)
}

// listenForMetrics starts to serve the metrics. If the port can't be opened,
// the gateway serves clients without them.
func (p *Process) listenForMetrics() {
	limiter := p.newLimiter("metrics", p.shares.Side())
	p.metricsServer = newSinglePathServer("/metrics", p.serveMetrics, limiter)
	address := net.JoinHostPort(p.options.Settings.IP, strconv.Itoa(MetricsPort))
	listener, err := limiter.Open(address)
	if err != nil {
		p.options.Logger.Warn("metrics are not served", zap.String("address", address), zap.Error(err))
		return
	}
	go func() { _ = p.metricsServer.Serve(listener) }()
}

// newSinglePathServer returns a server that handles GET requests for one path.
func newSinglePathServer(path string, serve http.HandlerFunc, limiter *connlimiter.Limiter) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, serve)
	return &http.Server{
		Handler:           limiter.Handler(mux),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limiter.MaxHeadBytes(),
		ConnContext:       limiter.ConnContext,
		ConnState:         limiter.NoteState,
	}
}

// serveReady answers 200 if clients should be sent to this gateway, else 503.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.gateway.Ready(p.now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics writes one value per line, after its name. A histogram has its
// count and three percentiles.
func (p *Process) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	p.metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Histogram:
			h := m.Snapshot()
			percentiles := h.Percentiles([]float64{0.5, 0.95, 0.99})
			fmt.Fprintf(w, "%s-count %d\n%s-p50 %.0f\n%s-p95 %.0f\n%s-p99 %.0f\n", name, h.Count(), name, percentiles[0], name, percentiles[1], name, percentiles[2])
		}
	})
	fmt.Fprintf(w, "zones-evacuated %d\n", p.gateway.EvacuatedZones(p.now()))
	fmt.Fprintf(w, "stream-buffer-bytes %d\n", p.gateway.StreamBufferBytes())
	fmt.Fprintf(w, "upstreams-limited %d\n", p.gateway.LimitedUpstreams(p.now()))
	fmt.Fprintf(w, "suspects-forgotten %d\n", p.gateway.ForgottenSuspects())
	fmt.Fprintf(w, "gateways-heard %d\n", p.peers.GatewaysHeard(p.now()))
	fmt.Fprintf(w, "requests-in-flight %d\n", p.gateway.InFlight())
	fmt.Fprintf(w, "configuration-age-us %d\n", p.config.Age(p.now()).Microseconds())
}
