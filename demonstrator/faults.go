package demonstrator

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/delayer"
)

// connection is a delayed connection that an entry dialed, with the regions of both
// ends.
type connection struct {
	*delayer.Conn
	from, to currantwood.RegionID
}

// Partition simulates a network partition that separates a region from the other regions
// and from the log service. Of the last maxConns connections that entries dialed,
// those between the region and others stay open but carry no data. New ones fail. The
// VM list stays reachable.
func (d *Demonstrator) Partition(region currantwood.RegionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitioned[region] = true
	for _, c := range d.conns {
		if c.from != c.to && (c.from == region || c.to == region) {
			c.Silence()
		}
	}
}

// Heal ends the partition of a region. Connections that the partition silenced stay
// silent, because delayer.Conn can't undo Silence.
func (d *Demonstrator) Heal(region currantwood.RegionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.partitioned, region)
}

// logHandler serves the log service to the entries and sides of a region. During a
// partition, requests don't reach the log. If one starts while the log handles a
// request, the response is dropped. In both cases the status is 504.
func (d *Demonstrator) logHandler(region currantwood.RegionID) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response := httptest.NewRecorder()
		if !d.isPartitioned(region) {
			d.Log.ServeHTTP(response, r)
		}
		if d.isPartitioned(region) {
			http.Error(w, "the region is cut off", http.StatusGatewayTimeout)
			return
		}
		maps.Copy(w.Header(), response.Header())
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	}
}

func (d *Demonstrator) isPartitioned(region currantwood.RegionID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.partitioned[region]
}

// ReplaceSide stops the side of an upstream, at once if kill is set, else with a
// graceful shutdown, and starts a new one.
func (d *Demonstrator) ReplaceSide(ctx context.Context, u *Upstream, kill bool) error {
	if kill {
		u.Side.Kill()
	} else if err := u.Side.Shutdown(ctx); err != nil {
		return err
	}
	return d.StartSide(u)
}

// ReplaceEntry stops an entry, at once if kill is set, else with a graceful shutdown,
// and starts a new one at the same client address.
func (d *Demonstrator) ReplaceEntry(ctx context.Context, e *Entry, kill bool) error {
	clientAddress := e.ClientAddress()
	if kill {
		e.Kill()
	} else if err := e.Shutdown(ctx); err != nil {
		return err
	}
	name := strings.TrimPrefix(string(e.VM), vmIDPrefix)
	replacement, err := d.StartEntry(name, e.Region, clientAddress)
	if err != nil {
		return err
	}
	e.Entry = replacement.Entry
	return nil
}

// SilenceConnection makes a connection that an entry dialed discard all bytes but stay open. n
// counts back from the newest of the last maxConns connections, modulo their number.
// The connection may be closed already.
func (d *Demonstrator) SilenceConnection(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) > 0 {
		d.conns[len(d.conns)-1-n%len(d.conns)].Silence()
	}
}

// CloseConnection closes a connection that an entry dialed. n counts back from the newest of the
// last maxConns connections, modulo their number. The connection may be closed
// already.
func (d *Demonstrator) CloseConnection(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) > 0 {
		_ = d.conns[len(d.conns)-1-n%len(d.conns)].Close()
	}
}
