package gatewaystarter

import (
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// listen opens the listeners and starts to serve them.
func (p *Process) listen() error {
	clients, err := net.Listen("tcp", p.options.Settings.ListenClients)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", p.options.Settings.ListenReady)
	if err != nil {
		_ = clients.Close()
		return errors.Wrap(err, "listen for readiness")
	}
	p.clientServer = &http.Server{
		Handler:                      http.HandlerFunc(p.serveClient),
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     zap.NewStdLog(p.options.Logger.Named("http")),
		ConnState:                    p.arrivals.NoteState,
	}
	p.readyServer = newSinglePathServer("/readyz", p.serveReady)
	p.metricsServer = newSinglePathServer("/metrics", p.serveMetrics)
	clients = p.arrivals.Listen(clients)
	go func() { _ = p.clientServer.Serve(clients) }()
	go func() { _ = p.readyServer.Serve(ready) }()
	p.listenForMetrics()
	return nil
}

// serveClient serves one client request.
func (p *Process) serveClient(w http.ResponseWriter, r *http.Request) {
	p.arrivals.NoteRequest(p.now())
	p.gateway.ServeHTTP(w, r)
}

// listenForMetrics starts to serve the metrics. If the port can't be opened,
// the gateway serves clients without them.
func (p *Process) listenForMetrics() {
	address := net.JoinHostPort(p.options.Settings.IP, strconv.Itoa(MetricsPort))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		p.options.Logger.Warn("metrics are not served", zap.String("address", address), zap.Error(err))
		return
	}
	go func() { _ = p.metricsServer.Serve(listener) }()
}

// newSinglePathServer returns a server that handles GET requests for one path.
func newSinglePathServer(path string, serve http.HandlerFunc) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, serve)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
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
	fmt.Fprintf(w, "requests-in-flight %d\n", p.gateway.InFlight())
	fmt.Fprintf(w, "configuration-age-us %d\n", p.config.Age(p.now()).Microseconds())
}
