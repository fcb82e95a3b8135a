package gatewaystarter

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood/sleeper"
)

const (
	// loadBalancerLag is how long clients are still sent to a gateway after it
	// has reported that it isn't ready.
	loadBalancerLag = 3500 * time.Millisecond
	// exitMargin is how long before the end of the grace period Shutdown stops
	// waiting for requests.
	exitMargin = 300 * time.Millisecond
)

// Shutdown reports that the gateway isn't ready, serves the requests that still
// arrive and those in flight, and then stops. It returns an error if requests
// were still running exitMargin before the end of the grace period or when ctx
// ended; they are cut off when the process exits.
func (p *Process) Shutdown(ctx context.Context) error {
	p.options.Logger.Info("stopping", zap.Int64("in-flight", p.gateway.InFlight()))
	grace := p.options.Settings.Bounds.ShutdownGrace - exitMargin
	now := p.now()
	p.gateway.Stop(now, now.Add(grace))
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	sleeper.Sleep(ctx, min(loadBalancerLag, grace/2))
	p.arrivals.Wait(ctx, p.now)
	err := p.clientServer.Shutdown(ctx)
	p.crashes.SaveAll(context.WithoutCancel(ctx))
	p.starts.Save(context.WithoutCancel(ctx))
	p.logCalls()
	p.gateway.LogCutOff()
	p.options.Logger.Info("stopped", zap.Int64("cut-off", p.gateway.InFlight()))
	_ = p.readyServer.Close()
	_ = p.metricsServer.Close()
	p.cancel()
	return errors.Wrap(err, "requests still running at the end of shutdown")
}

// logCalls logs the calls to the store since the last such line.
func (p *Process) logCalls() {
	if fields := p.calls.LogFields(); len(fields) > 0 {
		collects := zap.Bool("collects", p.peers.Collects(p.now()))
		p.options.Logger.Info("calls to the store", append(fields, collects)...)
	}
}

// Close stops the gateway at once and cuts off the requests in flight.
func (p *Process) Close() {
	p.cancel()
	_ = p.clientServer.Close()
	_ = p.readyServer.Close()
	_ = p.metricsServer.Close()
}
