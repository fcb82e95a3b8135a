// Package vmlist is the stand-in for the platform's VM list, for tests and
// demonstrations. docs/PROTOCOLS.md describes its API and faults.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/switcher"
)

// Faults are the fault settings of the list. The zero value means no faults.
type Faults struct {
	// Down answers 503 to reads.
	Down bool `json:"down"`
	// LagMS is the time in milliseconds until a change becomes visible.
	LagMS int64 `json:"lag-ms"`
	// DelayMS delays each read, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
}

// Counts are totals since the list was created.
type Counts struct {
	// Reads counts the reads that returned the list.
	Reads int `json:"reads"`
	// Changes counts puts and deletes.
	Changes int `json:"changes"`
}

// List is the VM list stand-in. It is an http.Handler.
type List struct {
	mux    *http.ServeMux
	faults *switcher.Switcher[Faults]

	mu     sync.Mutex
	core   core
	counts Counts
}

// New returns an empty list without faults.
func New() *List {
	l := &List{
		mux:    http.NewServeMux(),
		faults: switcher.New[Faults](nil),
		core:   core{visible: make(map[currantwood.VMID]currantwood.VM)},
	}
	l.mux.Handle("POST /faults", l.faults)
	l.mux.HandleFunc("GET /counts", l.serveCounts)
	l.mux.HandleFunc("GET /vms", l.serveVMs)
	l.mux.HandleFunc("PUT /vms/{id}", l.servePut)
	l.mux.HandleFunc("DELETE /vms/{id}", l.serveDelete)
	return l
}

// ServeHTTP serves the API of the list.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults, as POST /faults does.
func (l *List) SetFaults(faults Faults) {
	l.faults.Set(faults)
}

// Put adds or replaces a VM.
func (l *List) Put(vm currantwood.VM) {
	l.addChange(change{at: time.Now(), vm: vm})
}

// Delete removes a VM.
func (l *List) Delete(id currantwood.VMID) {
	l.addChange(change{at: time.Now(), vm: currantwood.VM{ID: id}, deleted: true})
}

func (l *List) addChange(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Changes++
	l.core.pending = append(l.core.pending, c)
}

func (l *List) serveCounts(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	counts := l.counts
	l.mu.Unlock()
	writeJSON(w, counts)
}

func (l *List) serveVMs(w http.ResponseWriter, _ *http.Request) {
	faults := l.faults.Faults()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.Down {
		http.Error(w, "the VM list is down", http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	l.counts.Reads++
	vms := l.core.vms(time.Now().Add(-time.Duration(faults.LagMS) * time.Millisecond))
	l.mu.Unlock()
	writeJSON(w, vms)
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var vm currantwood.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = currantwood.VMID(r.PathValue("id"))
	l.Put(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveDelete(w http.ResponseWriter, r *http.Request) {
	l.Delete(currantwood.VMID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

// change is one change of the list.
type change struct {
	at time.Time
	// vm has only its id set when deleted is true.
	vm      currantwood.VM
	deleted bool
}

// core is the state of the list. It uses no clock and no network.
type core struct {
	visible map[currantwood.VMID]currantwood.VM
	// pending are the changes not visible yet, in order of arrival.
	pending []change
}

// vms applies the pending changes up to the given time and returns the list,
// ordered by id. A change that was visible once stays visible, also when the lag
// grows.
func (c *core) vms(until time.Time) []currantwood.VM {
	for len(c.pending) > 0 && !c.pending[0].at.After(until) {
		next := c.pending[0]
		c.pending = c.pending[1:]
		if next.deleted {
			delete(c.visible, next.vm.ID)
			continue
		}
		c.visible[next.vm.ID] = next.vm
	}
	vms := make([]currantwood.VM, 0, len(c.visible))
	for _, vm := range c.visible {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b currantwood.VM) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return vms
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that has disconnected needs no response.
	_ = json.NewEncoder(w).Encode(body)
}
