// Package linkkeeper decides to which entries and sides an entry keeps links. It
// polls the VM list, merges it with the peers' own notices and selects the
// addresses to dial.
package linkkeeper

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/chooser"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/registrar"
	"github.com/currantwood/currantwood/subsetter"
	"github.com/currantwood/currantwood/wire"
)

// Options configures a Keeper.
type Options struct {
	// Self is the VM of this entry.
	Self currantwood.VM
	// VMs reads the platform's VM list.
	VMs currantwood.VMList
	// PollInterval is the time between two reads of the VM list.
	PollInterval time.Duration
	// Subset sizes the set of sides with permanent links.
	Subset subsetter.Options
	// SetAddresses replaces the set of addresses to keep links to.
	SetAddresses func(addresses []string)
	// HasInFlight reports whether this entry has requests in flight at an upstream. It is
	// called with the keeper's lock held and must not call the keeper.
	HasInFlight func(upstream currantwood.UpstreamID) bool
	// OnLeaving is called at each successful read of the VM list for each linked VM
	// that is leaving, so that no new work is sent over the link. It is called with
	// the keeper's lock held and must not call the keeper.
	OnLeaving func(link *linker.Link)
	Logger    *zap.Logger
}

// Keeper is a distributor.Handler. Its Frame method never consumes a frame, so
// it must precede the other handlers to see all of them. It is safe for
// concurrent use.
type Keeper struct {
	options   Options
	subsetter *subsetter.Subsetter
	chooser   *chooser.Chooser

	mu        sync.Mutex
	registrar *registrar.Registrar
	// links holds the latest link to each VM.
	links map[currantwood.VMID]*linker.Link
	// requestedUntil holds, by upstream, until when a requested link to its side
	// is kept.
	requestedUntil map[currantwood.UpstreamID]time.Time
	// wake signals the poll loop that requestedUntil has changed.
	wake chan struct{}
	// soleEntry is whether the merged list had no other entry at the last read of
	// the VM list; false before the first.
	soleEntry bool
}

// New returns a keeper without peers.
func New(options Options) *Keeper {
	return &Keeper{
		options:        options,
		subsetter:      subsetter.New(options.Subset),
		chooser:        chooser.New(chooser.DefaultCount),
		registrar:      registrar.New(registrar.Options{}),
		links:          make(map[currantwood.VMID]*linker.Link),
		requestedUntil: make(map[currantwood.UpstreamID]time.Time),
		wake:           make(chan struct{}, 1),
	}
}

// IsOnlyEntry reports whether the merged list had no other entry at the last read of the
// VM list; false before the first.
func (k *Keeper) IsOnlyEntry() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.soleEntry
}

// VMs returns the VM list merged with the peers' notices, in ascending order of
// id.
func (k *Keeper) VMs() []currantwood.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registrar.VMs(time.Now())
}

// Up registers a new link. If the link is of an earlier incarnation than the VM's
// latest, it is closed instead.
func (k *Keeper) Up(link *linker.Link) {
	peer := peerFromHello(link.Peer())
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.registrar.LinkOpened(time.Now(), peer) {
		go func() { link.Close() }()
		return
	}
	k.links[peer.VM.ID] = link
}

// Frame records from load reports that a peer responds, and from its notice that
// it leaves. It returns false, so that the other handlers get the frame too.
func (k *Keeper) Frame(link *linker.Link, frame *wire.Frame) bool {
	peer := peerFromHello(link.Peer())
	switch frame.Body.(type) {
	case *wire.Frame_Load:
		k.mu.Lock()
		defer k.mu.Unlock()
		k.registrar.FrameReceived(time.Now(), peer.VM.ID, peer.Incarnation)
	case *wire.Frame_Leaving:
		k.mu.Lock()
		defer k.mu.Unlock()
		k.registrar.PeerLeaving(time.Now(), peer.VM.ID, peer.Incarnation)
	}
	return false
}

// Down removes a closed link, unless a newer one has replaced it.
func (k *Keeper) Down(link *linker.Link, _ error) {
	peer := peerFromHello(link.Peer())
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.links[peer.VM.ID] == link {
		delete(k.links, peer.VM.ID)
		k.registrar.LinkClosed(time.Now(), peer.VM.ID, peer.Incarnation)
	}
}

// requestedLinkTTL is how long after the last request for a link it is kept even
// without requests in flight at its upstream.
const requestedLinkTTL = 10 * time.Second

// RequestLink requests a link, for a limited time, to the side of an upstream that may
// be outside of the subset, because a client reconnects to a generation that
// the side holds. It doesn't wait for the link.
func (k *Keeper) RequestLink(now time.Time, upstream currantwood.UpstreamID) {
	k.mu.Lock()
	k.requestedUntil[upstream] = now.Add(requestedLinkTTL)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run polls the VM list and dials requested links until ctx is done. When a
// read fails, the links stay as they are.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.options.PollInterval)
	defer ticker.Stop()
	k.refresh(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.refresh(ctx)
		case <-k.wake:
			k.options.SetAddresses(k.addresses(time.Now()))
		}
	}
}

// refresh reads the VM list, applies it and updates the set of addresses to dial.
func (k *Keeper) refresh(ctx context.Context) {
	vms, err := k.options.VMs.VMs(ctx)
	switch {
	case err == nil:
		k.applyList(time.Now(), vms)
		k.options.SetAddresses(k.addresses(time.Now()))
	case ctx.Err() == nil:
		k.options.Logger.Warn("failed to read the VM list", zap.Error(err))
	}
}

// applyList merges a VM list.
func (k *Keeper) applyList(now time.Time, vms []currantwood.VM) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registrar.ApplyList(now, vms)
	k.soleEntry = true
	for _, vm := range k.registrar.VMs(now) {
		if vm.Role == currantwood.RoleEntry.String() && vm.ID != k.options.Self.ID {
			k.soleEntry = false
		}
		if link := k.links[vm.ID]; vm.Leaving && link != nil {
			k.options.OnLeaving(link)
		}
	}
}

// addresses returns the addresses to keep links to.
func (k *Keeper) addresses(now time.Time) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.registrar.VMs(now)
	wanted := make(map[currantwood.VMID]bool)
	for _, side := range k.subsetter.Subset(k.options.Self, known) {
		wanted[side.ID] = true
	}
	for _, id := range k.chooser.Peers(k.options.Self, known) {
		wanted[id] = true
	}
	maps.DeleteFunc(k.requestedUntil, func(_ currantwood.UpstreamID, until time.Time) bool { return now.After(until) })
	var addresses []string
	for _, vm := range known {
		_, requested := k.requestedUntil[vm.Upstream]
		if vm.Address != "" && (wanted[vm.ID] || requested || k.keepsLink(vm)) {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// keepsLink reports whether a link to a side outside of the subset is kept: one
// with requests in flight at its upstream, or to a leaving side, which closes its
// links itself.
func (k *Keeper) keepsLink(vm currantwood.VM) bool {
	if vm.Role != currantwood.RoleSide.String() || k.links[vm.ID] == nil {
		return false
	}
	return vm.Leaving || k.options.HasInFlight(vm.Upstream)
}

// peerFromHello returns the peer that a hello describes. A hello without a VM id
// takes its process id instead.
func peerFromHello(hello *wire.Hello) registrar.Peer {
	id := hello.Vm
	if id == "" {
		id = hello.Process
	}
	return registrar.Peer{
		Incarnation: currantwood.Incarnation(hello.Incarnation),
		VM: currantwood.VM{
			ID:       currantwood.VMID(id),
			Role:     hello.Role,
			Region:   currantwood.RegionID(hello.Region),
			Zone:     currantwood.ZoneID(hello.Zone),
			Upstream: currantwood.UpstreamID(hello.Upstream),
			Group:    currantwood.GroupID(hello.Group),
			Model:    currantwood.ModelID(hello.Model),
		},
	}
}
