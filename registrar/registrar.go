// Package registrar keeps a process's list of VMs. It merges the platform's VM
// list, which lags, with the peers' own messages, which are fresh but come from
// linked peers only.
//
// A peer's notice that it leaves takes effect at once and is not undone by the
// VM list. A peer that responds stays, whatever the VM list says. A VM list that
// lacks a large share of the known VMs while some of these respond is taken for
// faulty and removes none.
package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// Defaults of Options.
const (
	// DefaultSilenceTimeout is how long a peer may be silent and still counts
	// as responding.
	DefaultSilenceTimeout = 2 * time.Second
	// DefaultMaxRemovedShare is the share of VMs that one VM list may remove
	// although some of them respond.
	DefaultMaxRemovedShare = currantwood.Share(0.25)
)

// maxPastIncarnations bounds the earlier incarnations that are kept per VM.
const maxPastIncarnations = 4

// Options configures a Registrar. A zero field takes its default.
type Options struct {
	SilenceTimeout  time.Duration
	MaxRemovedShare currantwood.Share
}

// Peer is a process's description of itself when a link opens. Its addresses may
// be empty; those of the VM list are kept then.
type Peer struct {
	VM          currantwood.VM
	Incarnation currantwood.Incarnation
}

// Registrar holds the merged VM list. It is not safe for concurrent use.
type Registrar struct {
	options Options
	members map[currantwood.VMID]*member
	// version increases whenever the result of VMs changes.
	version uint64
}

// member is a VM that is listed, linked or responding.
type member struct {
	vm currantwood.VM
	// listed is whether the VM is in the VM list. Only a list whose removals are
	// accepted resets it.
	listed bool
	// listedLeaving is whether the VM list last showed the VM as leaving.
	listedLeaving bool
	linked        bool
	// lastSeen is when a frame last arrived; zero before the first.
	lastSeen time.Time
	// incarnation is that of the latest link; 0 before the first.
	incarnation currantwood.Incarnation
	// leavingIncarnation is the incarnation that sent the leaving notice; 0 if none.
	leavingIncarnation currantwood.Incarnation
	// pastIncarnations holds earlier incarnations, oldest first.
	pastIncarnations []currantwood.Incarnation
}

// New returns an empty registrar.
func New(options Options) *Registrar {
	options.SilenceTimeout = cmp.Or(options.SilenceTimeout, DefaultSilenceTimeout)
	options.MaxRemovedShare = cmp.Or(options.MaxRemovedShare, DefaultMaxRemovedShare)
	return &Registrar{options: options, members: make(map[currantwood.VMID]*member)}
}

// List merges the platform's VM list.
func (r *Registrar) List(now time.Time, vms []currantwood.VM) {
	listedIDs := make(map[currantwood.VMID]bool, len(vms))
	for _, vm := range vms {
		listedIDs[vm.ID] = true
	}
	removalsAccepted := r.acceptsRemovals(now, listedIDs)
	for id, m := range r.members {
		if removalsAccepted && m.listed && !listedIDs[id] {
			m.listed = false
			r.version++
		}
	}
	for _, vm := range vms {
		r.applyListed(vm)
	}
	r.removeStale(now)
}

// applyListed merges one VM of a VM list. While the VM is linked, only the
// addresses and the leaving mark are taken; the rest comes from its hello.
func (r *Registrar) applyListed(vm currantwood.VM) {
	m := r.members[vm.ID]
	if m == nil {
		m = &member{vm: vm}
		r.members[vm.ID] = m
		r.version++
	}
	previous := m.view()
	m.listed = true
	m.listedLeaving = vm.Leaving
	if !m.linked {
		m.vm = vm
	}
	m.vm.Address = vm.Address
	m.vm.OperatorAddress = vm.OperatorAddress
	if m.view() != previous {
		r.version++
	}
}

// acceptsRemovals reports whether VMs that are missing in a VM list with the
// ids in listedIDs lose their listed mark.
func (r *Registrar) acceptsRemovals(now time.Time, listedIDs map[currantwood.VMID]bool) bool {
	listed, missing, respondingCount := 0, 0, 0
	for id, m := range r.members {
		if !m.listed {
			continue
		}
		listed++
		if listedIDs[id] {
			continue
		}
		missing++
		if r.responding(now, m) && !m.leaving() {
			respondingCount++
		}
	}
	if len(listedIDs) == 0 {
		return false
	}
	large := float64(missing) > float64(listed)*float64(r.options.MaxRemovedShare)
	return !large || respondingCount == 0
}

// LinkOpened records a new link and the peer's description. It returns false when
// the peer is an earlier incarnation of its VM; the link must be closed then.
func (r *Registrar) LinkOpened(now time.Time, peer Peer) bool {
	m := r.members[peer.VM.ID]
	if m == nil {
		m = &member{}
		r.members[peer.VM.ID] = m
	}
	if slices.Contains(m.pastIncarnations, peer.Incarnation) {
		return false
	}
	if m.incarnation != 0 && m.incarnation != peer.Incarnation {
		m.pastIncarnations = append(m.pastIncarnations, m.incarnation)
		m.pastIncarnations = m.pastIncarnations[max(0, len(m.pastIncarnations)-maxPastIncarnations):]
	}
	known := m.vm
	m.vm = peer.VM
	m.vm.Address = cmp.Or(peer.VM.Address, known.Address)
	m.vm.OperatorAddress = cmp.Or(peer.VM.OperatorAddress, known.OperatorAddress)
	m.incarnation = peer.Incarnation
	m.linked = true
	m.lastSeen = now
	r.version++
	return true
}

// FrameReceived records a frame from a peer. A frame of another incarnation is
// ignored.
func (r *Registrar) FrameReceived(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	if m := r.members[id]; m != nil && m.incarnation == incarnation {
		m.lastSeen = now
	}
}

// PeerLeaving records a peer's notice that it takes no new work.
func (r *Registrar) PeerLeaving(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	m := r.members[id]
	if m == nil || m.incarnation != incarnation || m.leavingIncarnation == incarnation {
		return
	}
	m.leavingIncarnation = incarnation
	m.lastSeen = now
	r.version++
}

// LinkClosed records the end of the last link to a peer. A VM that isn't listed is
// removed after the silence timeout.
func (r *Registrar) LinkClosed(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	m := r.members[id]
	if m == nil || m.incarnation != incarnation {
		return
	}
	m.linked = false
	r.removeStale(now)
}

// Usable reports whether new work may be sent to a peer: it is linked, responds,
// and is not leaving by its own notice or the VM list.
func (r *Registrar) Usable(now time.Time, id currantwood.VMID) bool {
	m := r.members[id]
	return m != nil && m.linked && r.responding(now, m) && !m.leaving()
}

// Incarnation returns the incarnation of the latest link to a VM, 0 if none.
func (r *Registrar) Incarnation(id currantwood.VMID) currantwood.Incarnation {
	if m := r.members[id]; m != nil {
		return m.incarnation
	}
	return 0
}

// Version returns a number that increases whenever the result of VMs changes, so
// that its user need not compare lists.
func (r *Registrar) Version() uint64 {
	return r.version
}

// VMs returns the merged VM list in ascending order of id.
func (r *Registrar) VMs(now time.Time) []currantwood.VM {
	r.removeStale(now)
	vms := make([]currantwood.VM, 0, len(r.members))
	for _, m := range r.members {
		vms = append(vms, m.view())
	}
	slices.SortFunc(vms, func(a, b currantwood.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// removeStale removes VMs that are neither listed, linked nor responding.
func (r *Registrar) removeStale(now time.Time) {
	for id, m := range r.members {
		if m.listed || m.linked || r.responding(now, m) {
			continue
		}
		delete(r.members, id)
		r.version++
	}
}

func (r *Registrar) responding(now time.Time, m *member) bool {
	return !m.lastSeen.IsZero() && now.Sub(m.lastSeen) <= r.options.SilenceTimeout
}

// view returns the VM as VMs does, with the merged leaving mark.
func (m *member) view() currantwood.VM {
	vm := m.vm
	vm.Leaving = m.leaving()
	return vm
}

// leaving reports whether the VM takes no new work. The VM list's mark applies
// to the VM, the peer's notice to one incarnation only.
func (m *member) leaving() bool {
	return m.listedLeaving || (m.leavingIncarnation != 0 && m.leavingIncarnation == m.incarnation)
}
