// Package registrar keeps the list of VMs that a process works with. It merges
// the platform's VM list, which lags, with what the peers say on their links,
// which is fresh but covers linked peers only.
//
// A peer's own notice that it leaves counts at once and is not undone by the
// list. A peer that answers stays, whatever the list says. A list that drops a
// large part of the VMs while some of these answer is wrong or lost and removes
// none.
package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// Defaults of Options.
const (
	// DefaultSilence is how long a peer may be silent and still count as
	// answering.
	DefaultSilence = 2 * time.Second
	// DefaultMaxDrop is the share of VMs that one list may remove although
	// some of them answer.
	DefaultMaxDrop = currantwood.Share(0.25)
)

// maxPast bounds the earlier incarnations that are remembered of one VM.
const maxPast = 4

// Options sets the registrar's bounds. A zero value takes the default.
type Options struct {
	Silence time.Duration
	MaxDrop currantwood.Share
}

// Peer is what a process says of itself when a link opens. Addresses may be
// empty; those of the list then stay.
type Peer struct {
	VM          currantwood.VM
	Incarnation currantwood.Incarnation
}

// Registrar is the merged list. It is not safe for concurrent use.
type Registrar struct {
	options Options
	members map[currantwood.VMID]*member
	// version grows whenever VMs would return something else.
	version uint64
}

// member is one VM. At least one of listed, linked and a recent heard holds.
type member struct {
	vm currantwood.VM
	// listed is whether the last believed list shows the VM.
	listed        bool
	listedLeaving bool
	linked        bool
	heard         time.Time
	// current is the incarnation of the newest link; 0 before the first.
	current currantwood.Incarnation
	// left is the incarnation that said it leaves; 0 when none did.
	left currantwood.Incarnation
	// past holds earlier incarnations, the newest last.
	past []currantwood.Incarnation
}

// New returns an empty registrar.
func New(options Options) *Registrar {
	options.Silence = cmp.Or(options.Silence, DefaultSilence)
	options.MaxDrop = cmp.Or(options.MaxDrop, DefaultMaxDrop)
	return &Registrar{options: options, members: make(map[currantwood.VMID]*member)}
}

// List takes in the platform's list.
func (r *Registrar) List(now time.Time, vms []currantwood.VM) {
	shown := make(map[currantwood.VMID]bool, len(vms))
	for _, vm := range vms {
		shown[vm.ID] = true
	}
	believed := r.believes(now, shown)
	for id, m := range r.members {
		if believed && m.listed && !shown[id] {
			m.listed = false
			r.version++
		}
	}
	for _, vm := range vms {
		r.show(vm)
	}
	r.forget(now)
}

// show takes in one VM of a list. The peer's own word on what it is goes before
// the list's while it is linked.
func (r *Registrar) show(vm currantwood.VM) {
	m := r.members[vm.ID]
	if m == nil {
		m = &member{vm: vm}
		r.members[vm.ID] = m
		r.version++
	}
	before := m.shown()
	m.listed = true
	m.listedLeaving = vm.Leaving
	if !m.linked {
		m.vm = vm
	}
	m.vm.Address = vm.Address
	m.vm.OperatorAddress = vm.OperatorAddress
	if m.shown() != before {
		r.version++
	}
}

// believes reports whether the VMs that a list lacks are to be removed.
func (r *Registrar) believes(now time.Time, shown map[currantwood.VMID]bool) bool {
	listed, dropped, answering := 0, 0, 0
	for id, m := range r.members {
		if !m.listed {
			continue
		}
		listed++
		if shown[id] {
			continue
		}
		dropped++
		if r.answers(now, m) && !m.leaving() {
			answering++
		}
	}
	if len(shown) == 0 {
		return false
	}
	large := float64(dropped) > float64(listed)*float64(r.options.MaxDrop)
	return !large || answering == 0
}

// Connected takes in the first message of a link. It returns false when the
// peer is an earlier incarnation of a VM that has been replaced, so that the
// link is to be closed.
func (r *Registrar) Connected(now time.Time, peer Peer) bool {
	m := r.members[peer.VM.ID]
	if m == nil {
		m = &member{}
		r.members[peer.VM.ID] = m
	}
	if slices.Contains(m.past, peer.Incarnation) {
		return false
	}
	if m.current != 0 && m.current != peer.Incarnation {
		m.past = append(m.past, m.current)
		m.past = m.past[max(0, len(m.past)-maxPast):]
	}
	known := m.vm
	m.vm = peer.VM
	m.vm.Address = cmp.Or(peer.VM.Address, known.Address)
	m.vm.OperatorAddress = cmp.Or(peer.VM.OperatorAddress, known.OperatorAddress)
	m.current = peer.Incarnation
	m.linked = true
	m.heard = now
	r.version++
	return true
}

// Heard notes any frame from a peer. One of another incarnation is ignored.
func (r *Registrar) Heard(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	if m := r.members[id]; m != nil && m.current == incarnation {
		m.heard = now
	}
}

// Left notes a peer's notice that it takes no new work.
func (r *Registrar) Left(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	m := r.members[id]
	if m == nil || m.current != incarnation || m.left == incarnation {
		return
	}
	m.left = incarnation
	m.heard = now
	r.version++
}

// Disconnected notes the end of the last link to a peer. A VM that the list
// doesn't show is removed once it has been silent.
func (r *Registrar) Disconnected(now time.Time, id currantwood.VMID, incarnation currantwood.Incarnation) {
	m := r.members[id]
	if m == nil || m.current != incarnation {
		return
	}
	m.linked = false
	r.forget(now)
}

// Usable reports whether new work may go to a peer: it is linked, was heard
// lately, and neither it nor the list says that it leaves.
func (r *Registrar) Usable(now time.Time, id currantwood.VMID) bool {
	m := r.members[id]
	return m != nil && m.linked && r.answers(now, m) && !m.leaving()
}

// Incarnation returns the incarnation of the newest link to a VM, 0 if none.
func (r *Registrar) Incarnation(id currantwood.VMID) currantwood.Incarnation {
	if m := r.members[id]; m != nil {
		return m.current
	}
	return 0
}

// Version grows whenever VMs would return another list, so that a caller need
// not compare lists.
func (r *Registrar) Version() uint64 {
	return r.version
}

// VMs returns the merged list in ascending order of id.
func (r *Registrar) VMs(now time.Time) []currantwood.VM {
	r.forget(now)
	vms := make([]currantwood.VM, 0, len(r.members))
	for _, m := range r.members {
		vms = append(vms, m.shown())
	}
	slices.SortFunc(vms, func(a, b currantwood.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// forget removes VMs that neither the list nor a link shows.
func (r *Registrar) forget(now time.Time) {
	for id, m := range r.members {
		if m.listed || m.linked || r.answers(now, m) {
			continue
		}
		delete(r.members, id)
		r.version++
	}
}

func (r *Registrar) answers(now time.Time, m *member) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) <= r.options.Silence
}

// shown is the VM as callers see it.
func (m *member) shown() currantwood.VM {
	vm := m.vm
	vm.Leaving = m.leaving()
	return vm
}

// leaving reports whether the VM takes no new work. The list's mark is about
// the VM; the peer's notice about one incarnation.
func (m *member) leaving() bool {
	return m.listedLeaving || (m.left != 0 && m.left == m.current)
}
