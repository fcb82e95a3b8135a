// Package registrar keeps a process's list of VMs. It merges the platform's VM
// list, which lags, with the peers' own messages, which are fresh but come from
// linked peers only.
//
// A peer's notice that it leaves takes effect at once and is not undone by the
// VM list. A peer that is linked or responds stays, whatever the VM list says. A VM list that
// lacks a large share of the listed VMs while some of the missing ones respond is
// taken for faulty and removes none; neither does an empty one.
package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// Defaults of Options.
const (
	// DefaultSilenceTimeout is how long after its last recorded frame a peer still
	// counts as responding. A side reports its load every 250 ms.
	DefaultSilenceTimeout = 2 * time.Second
	// DefaultMaxRemovedShare is the share of the listed VMs that one VM list may
	// remove although some of the removed ones respond. An empty list removes none.
	DefaultMaxRemovedShare = currantwood.Share(0.25)
)

// maxPastIncarnations bounds the earlier incarnations that are kept per VM. A late
// link of an even earlier one is taken for one of a new incarnation.
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
	options  Options
	knownVMs map[currantwood.VMID]*knownVM
	// version is the result of Version.
	version uint64
}

// knownVM is a VM that is listed, linked or responding.
type knownVM struct {
	vm currantwood.VM
	// listed is whether the VM is in the VM list. Only a list whose removals are
	// accepted resets it.
	listed bool
	// listedLeaving is whether the VM list last showed the VM as leaving.
	listedLeaving bool
	linked        bool
	// lastSeen is when the latest link opened or the last frame was recorded; zero
	// before the first link.
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
	return &Registrar{options: options, knownVMs: make(map[currantwood.VMID]*knownVM)}
}

// ApplyList merges the platform's VM list.
func (r *Registrar) ApplyList(now time.Time, vms []currantwood.VM) {
	listedIDs := make(map[currantwood.VMID]bool, len(vms))
	for _, vm := range vms {
		listedIDs[vm.ID] = true
	}
	removalsAccepted := r.acceptsRemovals(now, listedIDs)
	for id, known := range r.knownVMs {
		if removalsAccepted && known.listed && !listedIDs[id] {
			known.listed = false
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
	known := r.knownVMs[vm.ID]
	if known == nil {
		known = &knownVM{vm: vm}
		r.knownVMs[vm.ID] = known
		r.version++
	}
	previous := known.view()
	known.listed = true
	known.listedLeaving = vm.Leaving
	if !known.linked {
		known.vm = vm
	}
	known.vm.Address = vm.Address
	known.vm.OperatorAddress = vm.OperatorAddress
	if known.view() != previous {
		r.version++
	}
}

// acceptsRemovals reports whether VMs that are missing in a VM list with the
// ids in listedIDs lose their listed mark. An empty list removes none.
func (r *Registrar) acceptsRemovals(now time.Time, listedIDs map[currantwood.VMID]bool) bool {
	listed, missing, respondingCount := 0, 0, 0
	for id, known := range r.knownVMs {
		if !known.listed {
			continue
		}
		listed++
		if listedIDs[id] {
			continue
		}
		missing++
		if r.responding(now, known) && !known.leaving() {
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
	known := r.knownVMs[peer.VM.ID]
	if known == nil {
		known = &knownVM{}
		r.knownVMs[peer.VM.ID] = known
	}
	if slices.Contains(known.pastIncarnations, peer.Incarnation) {
		return false
	}
	if known.incarnation != 0 && known.incarnation != peer.Incarnation {
		known.pastIncarnations = append(known.pastIncarnations, known.incarnation)
		known.pastIncarnations = known.pastIncarnations[max(0, len(known.pastIncarnations)-maxPastIncarnations):]
	}
	previous := known.vm
	known.vm = peer.VM
	known.vm.Address = cmp.Or(peer.VM.Address, previous.Address)
	known.vm.OperatorAddress = cmp.Or(peer.VM.OperatorAddress, previous.OperatorAddress)
	known.incarnation = peer.Incarnation
	known.linked = true
	known.lastSeen = now
	r.version++
	return true
}

// FrameReceived records that a frame arrived from a peer, which shows that the peer
// responds. A frame of another incarnation is ignored.
func (r *Registrar) FrameReceived(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	if known := r.knownVMs[id]; known != nil && known.incarnation == incarnation {
		known.lastSeen = now
	}
}

// PeerLeaving records a peer's notice that it takes no new work.
func (r *Registrar) PeerLeaving(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	known := r.knownVMs[id]
	if known == nil || known.incarnation != incarnation || known.leavingIncarnation == incarnation {
		return
	}
	known.leavingIncarnation = incarnation
	known.lastSeen = now
	r.version++
}

// LinkClosed records the end of the last link to a peer. A VM that isn't listed is
// removed after the silence timeout.
func (r *Registrar) LinkClosed(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	known := r.knownVMs[id]
	if known == nil || known.incarnation != incarnation {
		return
	}
	known.linked = false
	r.removeStale(now)
}

// Usable reports whether new work may be sent to a peer: it is linked, responds,
// and is not leaving by its own notice or the VM list.
func (r *Registrar) Usable(now time.Time, id currantwood.VMID) bool {
	known := r.knownVMs[id]
	return known != nil && known.linked && r.responding(now, known) && !known.leaving()
}

// Incarnation returns the incarnation of the latest link to a VM, 0 if none.
func (r *Registrar) Incarnation(id currantwood.VMID) currantwood.Incarnation {
	if known := r.knownVMs[id]; known != nil {
		return known.incarnation
	}
	return 0
}

// Version returns a number that increases when the result of VMs changes, so that
// its user need not compare lists. A VM that is removed because its silence timeout
// has passed counts from the next call of List, VMs or LinkClosed.
func (r *Registrar) Version() uint64 {
	return r.version
}

// VMs returns the merged VM list in ascending order of id.
func (r *Registrar) VMs(now time.Time) []currantwood.VM {
	r.removeStale(now)
	vms := make([]currantwood.VM, 0, len(r.knownVMs))
	for _, known := range r.knownVMs {
		vms = append(vms, known.view())
	}
	slices.SortFunc(vms, func(a, b currantwood.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// removeStale removes VMs that are neither listed, linked nor responding.
func (r *Registrar) removeStale(now time.Time) {
	for id, known := range r.knownVMs {
		if known.listed || known.linked || r.responding(now, known) {
			continue
		}
		delete(r.knownVMs, id)
		r.version++
	}
}

func (r *Registrar) responding(now time.Time, known *knownVM) bool {
	return !known.lastSeen.IsZero() && now.Sub(known.lastSeen) <= r.options.SilenceTimeout
}

// view returns the VM as VMs does, with the merged leaving mark.
func (k *knownVM) view() currantwood.VM {
	vm := k.vm
	vm.Leaving = k.leaving()
	return vm
}

// leaving reports whether the VM takes no new work. The VM list's mark applies
// to the VM, the peer's notice to one incarnation only.
func (k *knownVM) leaving() bool {
	return k.listedLeaving || (k.leavingIncarnation != 0 && k.leavingIncarnation == k.incarnation)
}
