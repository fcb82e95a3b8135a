package demonstrator

import (
	"context"
	"strings"
)

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
