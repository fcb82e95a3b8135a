// Package demonstrator runs a complete system in one process over loopback: stand-ins
// for the platform and the upstreams, a side (the process beside an upstream) for each
// upstream, and entries (the processes that clients connect to) in each region. Here
// each side and entry is a set of goroutines. The package delays the links that entries
// dial as between regions, and can inject faults.
package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/entrystarter"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/sidestarter"
	"github.com/currantwood/currantwood/standin/delayer"
	"github.com/currantwood/currantwood/standin/engine"
	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/service"
	"github.com/currantwood/currantwood/standin/vmlist"
)

// loopbackAddress lets a listener choose a free loopback port.
const loopbackAddress = "127.0.0.1:0"

// vmIDPrefix precedes the name of an entry or side in the id of its VM.
const vmIDPrefix = "vm-"

// Group describes a set of identical upstreams, which are assigned to the regions in
// rotation.
type Group struct {
	Name  currantwood.GroupID
	Kind  currantwood.UpstreamKind
	Model currantwood.ModelID
	Count int
}

// Options configures a Demonstrator.
type Options struct {
	// Name is the name of the system. The package does not use it.
	Name    string
	Regions []currantwood.RegionID
	Groups  []Group
	// EntriesPerRegion is the number of entries in each region, at least 1.
	EntriesPerRegion int
	// RegionDelay and ZoneDelay are the one-way delays between regions and within
	// an availability zone. Each region has one zone.
	RegionDelay, ZoneDelay time.Duration
	// Rules is the text of the rules that are published before any entry or side
	// starts; empty publishes none.
	Rules string
	// Engine, if not nil, modifies the options of each engine before it starts.
	Engine func(*engine.Options)
	// Settings, if not nil, modifies the settings of each entry and side before
	// it starts.
	Settings func(*settingsreader.Settings)
	Logger   *zap.Logger
}

// Upstream is one upstream stand-in with its side.
type Upstream struct {
	ID     currantwood.UpstreamID
	Region currantwood.RegionID
	Group  Group
	// Exactly one of Engine and Service is set.
	Engine  *engine.Engine
	Service *service.Service

	server *httptest.Server
	// Side is the current side; StartSide replaces it.
	Side *sidestarter.Side
}

// Entry is one entry with its region and VM.
type Entry struct {
	*entrystarter.Entry
	Region currantwood.RegionID
	VM     currantwood.VMID
}

// Demonstrator is a running system.
type Demonstrator struct {
	options Options
	// Log and VMs are the stand-ins for the platform's services.
	Log *logservice.Service
	VMs *vmlist.List
	// Upstreams and Entries keep their elements after New. Replacing a side or an
	// entry changes the element's Side or Entry.
	Upstreams []*Upstream
	Entries   []*Entry

	// platformServers serves Log, VMs, and then, for each region, the log as the
	// region's entries and sides reach it.
	platformServers []*httptest.Server
	mu              sync.Mutex
	// conns holds the last maxConns connections that entries dialed, the newest
	// last. Closed connections are not removed.
	conns []connection
	// partitioned holds the regions that can reach neither other regions nor the
	// log.
	partitioned map[currantwood.RegionID]bool
	// logAddresses holds, for each region, the base URL at which its entries and
	// sides reach the log.
	logAddresses map[currantwood.RegionID]string
	// regionByAddress holds the region of each entry and side by its link address.
	regionByAddress map[string]currantwood.RegionID
}

// New starts a system, which runs until Close.
func New(options Options) (*Demonstrator, error) {
	d := &Demonstrator{
		options:         options,
		Log:             logservice.New(),
		VMs:             vmlist.New(),
		regionByAddress: make(map[string]currantwood.RegionID),
		partitioned:     make(map[currantwood.RegionID]bool),
		logAddresses:    make(map[currantwood.RegionID]string),
	}
	for _, handler := range []http.Handler{d.Log, d.VMs} {
		d.platformServers = append(d.platformServers, httptest.NewServer(handler))
	}
	for _, region := range options.Regions {
		server := httptest.NewServer(d.logHandler(region))
		d.platformServers = append(d.platformServers, server)
		d.logAddresses[region] = server.URL
	}
	if err := d.publishRules(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startUpstreams(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startEntries(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// LogAddress returns the base URL of the log service, which stays reachable during
// partitions.
func (d *Demonstrator) LogAddress() string { return d.platformServers[0].URL }

// VMListAddress returns the base URL of the VM list.
func (d *Demonstrator) VMListAddress() string { return d.platformServers[1].URL }

// readyPollInterval is the interval at which WaitReady checks the entries.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every entry is ready and linked to all sides. It returns an
// error if ctx is done first.
func (d *Demonstrator) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		pending := d.pending()
		if pending == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "demonstrator: wait for %s", pending)
		case <-ticker.C:
		}
	}
}

// pending describes the first entry that is not ready, or returns "" if all are.
func (d *Demonstrator) pending() string {
	for _, entry := range d.Entries {
		if err := entry.Ready(); err != nil {
			return fmt.Sprintf("entry %s: %s", entry.VM, err)
		}
		if linked := entry.LinkedSideCount(); linked < len(d.Upstreams) {
			return fmt.Sprintf("entry %s: linked to %d of %d sides", entry.VM, linked, len(d.Upstreams))
		}
	}
	return ""
}

// Preemptions returns the total number of preemptions of all engine stand-ins.
func (d *Demonstrator) Preemptions() uint64 {
	var sum uint64
	for _, u := range d.Upstreams {
		if u.Engine != nil {
			sum += uint64(u.Engine.Counts().Preemptions)
		}
	}
	return sum
}

// RepeatedRuns counts, for each operation key, the runs beyond the first at all
// plain service stand-ins together, and returns the sum over the keys.
func (d *Demonstrator) RepeatedRuns() uint64 {
	runs := make(map[string]int)
	for _, u := range d.Upstreams {
		if u.Service == nil {
			continue
		}
		for _, key := range u.Service.Counts().RunsByKey {
			if key.Key != "" {
				runs[key.Key] += key.Runs
			}
		}
	}
	var repeated uint64
	for _, n := range runs {
		repeated += uint64(max(0, n-1))
	}
	return repeated
}

// CountRan counts, for each of the operation keys, the plain service stand-ins that ran
// it, and returns the sum.
func (d *Demonstrator) CountRan(keys []string) uint64 {
	var ran uint64
	for _, key := range keys {
		for _, u := range d.Upstreams {
			if u.Service != nil && u.Service.Runs(key) > 0 {
				ran++
			}
		}
	}
	return ran
}

// Close stops the stand-ins and everything in Upstreams and Entries at once, without a
// graceful shutdown. An entry from StartEntry that is not in Entries keeps running.
func (d *Demonstrator) Close() {
	for _, entry := range d.Entries {
		entry.Kill()
	}
	for _, upstream := range d.Upstreams {
		if upstream.Side != nil {
			upstream.Side.Kill()
		}
		if upstream.Engine != nil {
			upstream.Engine.Close()
		}
		upstream.server.CloseClientConnections()
		upstream.server.Close()
	}
	for _, server := range d.platformServers {
		server.CloseClientConnections()
		server.Close()
	}
}

// StartSide starts a side for an upstream and puts it in the VM list. A previous side
// must have ended.
func (d *Demonstrator) StartSide(u *Upstream) error {
	settings := d.processSettings(string(u.ID)+"-side", u.Region)
	settings.Side.Upstream = string(u.ID)
	settings.Side.Group = string(u.Group.Name)
	settings.Side.Kind = u.Group.Kind.String()
	settings.Side.Model = string(u.Group.Model)
	settings.Side.Address = u.server.URL
	side, err := sidestarter.New(settings, d.options.Logger.Named(settings.Process))
	if err != nil {
		return errors.Wrapf(err, "demonstrator: start side of %s", u.ID)
	}
	u.Side = side
	d.setRegion(side.LinkAddress(), u.Region)
	d.VMs.Put(currantwood.VM{
		ID:              currantwood.VMID(settings.VM),
		Role:            currantwood.RoleSide.String(),
		Region:          u.Region,
		Zone:            currantwood.ZoneID(settings.Zone),
		Address:         side.LinkAddress(),
		OperatorAddress: side.OperatorAddress(),
		Upstream:        u.ID,
		Group:           u.Group.Name,
		Model:           u.Group.Model,
	})
	return nil
}

// StartEntry starts an entry in a region and puts it in the VM list. It listens for
// clients on clientAddress. The entry is not added to Entries.
func (d *Demonstrator) StartEntry(name string, region currantwood.RegionID, clientAddress string) (*Entry, error) {
	settings := d.processSettings(name, region)
	settings.Listen.Callers = clientAddress
	entry, err := entrystarter.New(entrystarter.Options{
		Settings: settings,
		Logger:   d.options.Logger.Named(name),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.dial(ctx, region, address)
		},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "demonstrator: start entry %s", name)
	}
	d.setRegion(entry.LinkAddress(), region)
	d.VMs.Put(currantwood.VM{
		ID:              currantwood.VMID(settings.VM),
		Role:            currantwood.RoleEntry.String(),
		Region:          region,
		Zone:            currantwood.ZoneID(settings.Zone),
		Address:         entry.LinkAddress(),
		OperatorAddress: entry.OperatorAddress(),
	})
	return &Entry{Entry: entry, Region: region, VM: currantwood.VMID(settings.VM)}, nil
}

func (d *Demonstrator) startUpstreams() error {
	number := 0
	for _, group := range d.options.Groups {
		for i := range group.Count {
			region := d.options.Regions[number%len(d.options.Regions)]
			number++
			u := d.newUpstream(group, i+1, region)
			d.Upstreams = append(d.Upstreams, u)
			if err := d.StartSide(u); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Demonstrator) newUpstream(group Group, number int, region currantwood.RegionID) *Upstream {
	u := &Upstream{ID: currantwood.UpstreamID(fmt.Sprintf("%s-%d", group.Name, number)), Region: region, Group: group}
	if group.Kind == currantwood.UpstreamService {
		u.Service = service.New()
		u.server = httptest.NewServer(u.Service)
		return u
	}
	options := engine.DefaultOptions()
	options.Model = group.Model
	if d.options.Engine != nil {
		d.options.Engine(&options)
	}
	u.Engine = engine.New(options)
	u.server = httptest.NewServer(u.Engine)
	return u
}

func (d *Demonstrator) startEntries() error {
	for _, region := range d.options.Regions {
		for i := range d.options.EntriesPerRegion {
			entry, err := d.StartEntry(fmt.Sprintf("entry-%s-%d", region, i+1), region, loopbackAddress)
			if err != nil {
				return err
			}
			d.Entries = append(d.Entries, entry)
		}
	}
	return nil
}

// processSettings returns the settings of one entry or side of a region. All listeners
// use free loopback ports.
func (d *Demonstrator) processSettings(process string, region currantwood.RegionID) settingsreader.Settings {
	settings := settingsreader.Defaults()
	settings.Objective = settingsreader.DefaultObjectives()
	settings.Process = process
	settings.VM = vmIDPrefix + process
	settings.Region = string(region)
	settings.Zone = string(region) + "-a"
	settings.Listen = settingsreader.Listen{Callers: loopbackAddress, Links: loopbackAddress, Operators: loopbackAddress}
	settings.Platform.LogService = d.logAddresses[region]
	settings.Platform.VMList = d.platformServers[1].URL
	if d.options.Settings != nil {
		d.options.Settings(&settings)
	}
	return settings
}

func (d *Demonstrator) setRegion(address string, region currantwood.RegionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.regionByAddress[address] = region
}

// dial dials a link address for an entry in the region from. The connection has the
// delay between the two regions, or ZoneDelay within one. Dialing fails if the regions
// differ and either is partitioned.
func (d *Demonstrator) dial(ctx context.Context, from currantwood.RegionID, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	to := d.regionByAddress[address]
	unreachable := from != to && (d.partitioned[from] || d.partitioned[to])
	d.mu.Unlock()
	if unreachable {
		_ = conn.Close()
		return nil, errors.Errorf("demonstrator: regions %s and %s are partitioned from each other", from, to)
	}
	delay := d.options.ZoneDelay
	if to != from {
		delay = d.options.RegionDelay
	}
	delayed := delayer.New(conn, delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, connection{Conn: delayed, from: from, to: to})
	if len(d.conns) > maxConns {
		d.conns = d.conns[1:]
	}
	return delayed, nil
}

// maxConns limits the length of Demonstrator.conns, which would otherwise grow with
// each connection. Faults can't act on older connections.
const maxConns = 512
