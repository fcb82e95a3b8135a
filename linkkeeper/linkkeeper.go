// Package linkkeeper keeps an entry linked to the right peers: it follows the
// VM list, merges it with what the peers say and chooses whom to dial.
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

// Options says what a keeper needs.
type Options struct {
	// Self is this entry.
	Self currantwood.VM
	VMs  currantwood.VMList
	// Interval is the time between two reads of the list.
	Interval time.Duration
	// Subset sizes the set of sides that are linked to for good.
	Subset subsetter.Options
	// Dial replaces the set of addresses to be linked to.
	Dial func(addresses []string)
	// Busy reports whether this entry has work in flight at an upstream.
	Busy func(upstream currantwood.UpstreamID) bool
	// Leaving is called for a link to a side that the list shows as leaving.
	Leaving func(link *linker.Link)
	Logger  *zap.Logger
}

// Keeper is a distributor.Handler that takes no frame for itself, so it stands
// before the others. It is safe for concurrent use.
type Keeper struct {
	options   Options
	subsetter *subsetter.Subsetter
	chooser   *chooser.Chooser

	mu        sync.Mutex
	registrar *registrar.Registrar
	// links holds the newest link to each VM.
	links map[currantwood.VMID]*linker.Link
	// reached holds the sides outside of the subset that a caller came back
	// for, and until when a link to each is wanted.
	reached map[currantwood.UpstreamID]time.Time
	// wake tells Follow that reached has changed.
	wake chan struct{}
	// alone says that the last list showed no other entry.
	alone bool
}

// New makes a keeper that knows no peers.
func New(options Options) *Keeper {
	return &Keeper{
		options:   options,
		subsetter: subsetter.New(options.Subset),
		chooser:   chooser.New(chooser.DefaultCount),
		registrar: registrar.New(registrar.Options{}),
		links:     make(map[currantwood.VMID]*linker.Link),
		reached:   make(map[currantwood.UpstreamID]time.Time),
		wake:      make(chan struct{}, 1),
	}
}

// Alone reports whether the list has been read and shows no other entry.
func (k *Keeper) Alone() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.alone
}

// VMs returns the merged member list.
func (k *Keeper) VMs() []currantwood.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registrar.VMs(time.Now())
}

// Up takes in a new link. One of an earlier incarnation of its VM is closed.
func (k *Keeper) Up(link *linker.Link) {
	peer := peerOf(link.Peer())
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.registrar.LinkOpened(time.Now(), peer) {
		go func() { link.Close() }()
		return
	}
	k.links[peer.VM.ID] = link
}

// Frame notes that a peer answers, and its notice that it leaves.
func (k *Keeper) Frame(link *linker.Link, frame *wire.Frame) bool {
	peer := peerOf(link.Peer())
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

// Down takes a closed link out, unless a newer one has replaced it.
func (k *Keeper) Down(link *linker.Link, _ error) {
	peer := peerOf(link.Peer())
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.links[peer.VM.ID] == link {
		delete(k.links, peer.VM.ID)
		k.registrar.LinkClosed(time.Now(), peer.VM.ID, peer.Incarnation)
	}
}

// reachFor is how long a link to a side outside of the subset is wanted before
// work in flight keeps it.
const reachFor = 10 * time.Second

// Reach asks for a link to the side of an upstream that may be outside of the
// subset, since a caller comes back for a generation that it holds. It doesn't
// wait for the link.
func (k *Keeper) Reach(now time.Time, upstream currantwood.UpstreamID) {
	k.mu.Lock()
	k.reached[upstream] = now.Add(reachFor)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Follow reads the list again and again until ctx is done. While it can't be
// read the links stay as they are.
func (k *Keeper) Follow(ctx context.Context) {
	ticker := time.NewTicker(k.options.Interval)
	defer ticker.Stop()
	k.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.read(ctx)
		case <-k.wake:
			k.options.Dial(k.addresses(time.Now()))
		}
	}
}

// read takes in the list and links to what it shows.
func (k *Keeper) read(ctx context.Context) {
	vms, err := k.options.VMs.VMs(ctx)
	switch {
	case err == nil:
		k.merge(time.Now(), vms)
		k.options.Dial(k.addresses(time.Now()))
	case ctx.Err() == nil:
		k.options.Logger.Warn("VM list not read", zap.Error(err))
	}
}

// merge takes in a list.
func (k *Keeper) merge(now time.Time, vms []currantwood.VM) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registrar.List(now, vms)
	k.alone = true
	for _, vm := range k.registrar.VMs(now) {
		if vm.Role == currantwood.RoleEntry.String() && vm.ID != k.options.Self.ID {
			k.alone = false
		}
		if link := k.links[vm.ID]; vm.Leaving && link != nil {
			k.options.Leaving(link)
		}
	}
}

// addresses returns the addresses to be linked to.
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
	maps.DeleteFunc(k.reached, func(_ currantwood.UpstreamID, until time.Time) bool { return now.After(until) })
	var addresses []string
	for _, vm := range known {
		_, reached := k.reached[vm.Upstream]
		if vm.Address != "" && (wanted[vm.ID] || reached || k.keeps(vm)) {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// keeps reports whether a link to a side outside of the subset stays: one with
// work in flight. A side that leaves closes its links itself.
func (k *Keeper) keeps(vm currantwood.VM) bool {
	if vm.Role != currantwood.RoleSide.String() || k.links[vm.ID] == nil {
		return false
	}
	return vm.Leaving || k.options.Busy(vm.Upstream)
}

// peerOf is what a process says of itself. One that doesn't name its VM is
// known by its process.
func peerOf(hello *wire.Hello) registrar.Peer {
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
