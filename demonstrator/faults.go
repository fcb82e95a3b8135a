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

// connection is one connection between processes, with the regions of its ends.
type connection struct {
	*delayer.Conn
	from, to currantwood.RegionID
}

// Part cuts a region off from the other regions and from the log service. Its
// connections stay open and carry nothing.
func (d *Demonstrator) Part(region currantwood.RegionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parted[region] = true
	for _, c := range d.conns {
		if c.from != c.to && (c.from == region || c.to == region) {
			c.Silence()
		}
	}
}

// Join ends what Part began.
func (d *Demonstrator) Join(region currantwood.RegionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.parted, region)
}

// logOf serves the log service to the processes of a region. An answer that
// comes after the region was cut off is kept back.
func (d *Demonstrator) logOf(region currantwood.RegionID) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		if !d.isParted(region) {
			d.Log.ServeHTTP(answer, r)
		}
		if d.isParted(region) {
			http.Error(w, "the region is cut off", http.StatusGatewayTimeout)
			return
		}
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}
}

func (d *Demonstrator) isParted(region currantwood.RegionID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.parted[region]
}

// ReplaceSide ends the side of an upstream and starts a new one. A kill ends it
// at once, else it shuts down gracefully first.
func (d *Demonstrator) ReplaceSide(ctx context.Context, u *Upstream, kill bool) error {
	if kill {
		u.Side.Kill()
	} else if err := u.Side.Shutdown(ctx); err != nil {
		return err
	}
	return d.StartSide(u)
}

// ReplaceEntry ends an entry and starts a new one at the same address for
// callers. A kill ends it at once, else it shuts down gracefully first.
func (d *Demonstrator) ReplaceEntry(ctx context.Context, e *Entry, kill bool) error {
	callers := e.CallerAddress()
	if kill {
		e.Kill()
	} else if err := e.Shutdown(ctx); err != nil {
		return err
	}
	name := strings.TrimPrefix(string(e.VM), vmPrefix)
	next, err := d.StartEntry(name, e.Region, callers)
	if err != nil {
		return err
	}
	e.Entry = next.Entry
	return nil
}

// Silence makes the n-th of the live connections between processes, counted
// from the newest, swallow all bytes without closing.
func (d *Demonstrator) Silence(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) > 0 {
		d.conns[len(d.conns)-1-n%len(d.conns)].Silence()
	}
}

// Cut closes the n-th of the connections between processes.
func (d *Demonstrator) Cut(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) > 0 {
		_ = d.conns[len(d.conns)-1-n%len(d.conns)].Close()
	}
}
