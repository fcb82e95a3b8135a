// Package demonstrator runs a whole system over loopback in one process: the
// platform and the upstreams as stand-ins, a side beside each upstream and the
// entries of each region, with the delays between regions.
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

// loopback makes a listener choose a free port.
const loopback = "127.0.0.1:0"

// vmPrefix and a process's name make its VM's name.
const vmPrefix = "vm-"

// Group is a set of equal upstreams, spread over the regions in turn.
type Group struct {
	Name  currantwood.GroupID
	Kind  currantwood.UpstreamKind
	Model currantwood.ModelID
	Count int
}

// Options say what to run.
type Options struct {
	Name    string
	Regions []currantwood.RegionID
	Groups  []Group
	// EntriesPerRegion is at least 1.
	EntriesPerRegion int
	// RegionDelay and ZoneDelay are the one-way delays between regions and
	// within one.
	RegionDelay, ZoneDelay time.Duration
	// Rules is published before any process starts; empty publishes nothing.
	Rules string
	// Engine changes the options of each engine; nil changes nothing.
	Engine func(*engine.Options)
	// Settings changes the settings of each process; nil changes nothing.
	Settings func(*settingsreader.Settings)
	Logger   *zap.Logger
}

// Upstream is one upstream with its side.
type Upstream struct {
	ID     currantwood.UpstreamID
	Region currantwood.RegionID
	Group  Group
	// Exactly one of Engine and Service is set.
	Engine  *engine.Engine
	Service *service.Service

	server *httptest.Server
	// Side is the side that runs now.
	Side *sidestarter.Side
}

// Entry is one entry and its region.
type Entry struct {
	*entrystarter.Entry
	Region currantwood.RegionID
	VM     currantwood.VMID
}

// Demonstrator is one running system.
type Demonstrator struct {
	options Options
	// Log and VMs are the platform's stand-ins.
	Log *logservice.Service
	VMs *vmlist.List
	// Upstreams and Entries are not changed after New.
	Upstreams []*Upstream
	Entries   []*Entry

	platform []*httptest.Server
	mu       sync.Mutex
	// conns holds the newest delayed connections between processes.
	conns []connection
	// parted are the regions that reach neither the others nor the log.
	parted map[currantwood.RegionID]bool
	// logs are the addresses at which each region reaches the log.
	logs map[currantwood.RegionID]string
	// regions says where the listener of an address stands.
	regions map[string]currantwood.RegionID
}

// New starts a system. Close ends it.
func New(options Options) (*Demonstrator, error) {
	d := &Demonstrator{
		options: options,
		Log:     logservice.New(),
		VMs:     vmlist.New(),
		regions: make(map[string]currantwood.RegionID),
		parted:  make(map[currantwood.RegionID]bool),
		logs:    make(map[currantwood.RegionID]string),
	}
	for _, handler := range []http.Handler{d.Log, d.VMs} {
		d.platform = append(d.platform, httptest.NewServer(handler))
	}
	for _, region := range options.Regions {
		server := httptest.NewServer(d.logOf(region))
		d.platform = append(d.platform, server)
		d.logs[region] = server.URL
	}
	if err := d.publish(); err != nil {
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

// LogAddress is the base address of the log service.
func (d *Demonstrator) LogAddress() string { return d.platform[0].URL }

// VMListAddress is the base address of the VM list.
func (d *Demonstrator) VMListAddress() string { return d.platform[1].URL }

// readyPoll is the time between two looks at the entries.
const readyPoll = 20 * time.Millisecond

// WaitReady returns when every entry is ready and linked to all sides.
func (d *Demonstrator) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
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

// pending names what is not ready yet; empty when all is.
func (d *Demonstrator) pending() string {
	for _, entry := range d.Entries {
		if err := entry.Ready(); err != nil {
			return fmt.Sprintf("entry %s: %s", entry.VM, err)
		}
		if linked := entry.Sides(); linked < len(d.Upstreams) {
			return fmt.Sprintf("entry %s: linked to %d of %d sides", entry.VM, linked, len(d.Upstreams))
		}
	}
	return ""
}

// Preemptions adds up what the engine stand-ins counted.
func (d *Demonstrator) Preemptions() uint64 {
	var sum uint64
	for _, u := range d.Upstreams {
		if u.Engine != nil {
			sum += uint64(u.Engine.Counts().Preemptions)
		}
	}
	return sum
}

// RepeatedOperations counts the runs beyond the first of each operation key, over
// all plain service stand-ins together.
func (d *Demonstrator) RepeatedOperations() uint64 {
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

// Ran counts those of the operation keys that some plain service stand-in ran.
func (d *Demonstrator) Ran(keys []string) uint64 {
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

// Close ends everything at once.
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
	for _, server := range d.platform {
		server.CloseClientConnections()
		server.Close()
	}
}

// StartSide starts a side beside an upstream, in place of one that ended.
func (d *Demonstrator) StartSide(u *Upstream) error {
	settings := d.settings(string(u.ID)+"-side", u.Region)
	settings.Side.Upstream = string(u.ID)
	settings.Side.Group = string(u.Group.Name)
	settings.Side.Kind = u.Group.Kind.String()
	settings.Side.Model = string(u.Group.Model)
	settings.Side.Address = u.server.URL
	side, err := sidestarter.New(settings, d.options.Logger.Named(settings.Process))
	if err != nil {
		return errors.Wrapf(err, "demonstrator: side of %s", u.ID)
	}
	u.Side = side
	d.place(side.LinkAddress(), u.Region)
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

// StartEntry starts an entry in a region, at an address for callers.
func (d *Demonstrator) StartEntry(name string, region currantwood.RegionID, callers string) (*Entry, error) {
	settings := d.settings(name, region)
	settings.Listen.Callers = callers
	entry, err := entrystarter.New(entrystarter.Options{
		Settings: settings,
		Logger:   d.options.Logger.Named(name),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.dial(ctx, region, address)
		},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "demonstrator: entry %s", name)
	}
	d.place(entry.LinkAddress(), region)
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
			entry, err := d.StartEntry(fmt.Sprintf("entry-%s-%d", region, i+1), region, loopback)
			if err != nil {
				return err
			}
			d.Entries = append(d.Entries, entry)
		}
	}
	return nil
}

func (d *Demonstrator) settings(process string, region currantwood.RegionID) settingsreader.Settings {
	settings := settingsreader.Defaults()
	settings.Objective = settingsreader.DefaultObjectives()
	settings.Process = process
	settings.VM = vmPrefix + process
	settings.Region = string(region)
	settings.Zone = string(region) + "-a"
	settings.Listen = settingsreader.Listen{Callers: loopback, Links: loopback, Operators: loopback}
	settings.Platform.LogService = d.logs[region]
	settings.Platform.VMList = d.platform[1].URL
	if d.options.Settings != nil {
		d.options.Settings(&settings)
	}
	return settings
}

func (d *Demonstrator) place(address string, region currantwood.RegionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.regions[address] = region
}

func (d *Demonstrator) dial(ctx context.Context, from currantwood.RegionID, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	to := d.regions[address]
	apart := from != to && (d.parted[from] || d.parted[to])
	d.mu.Unlock()
	if apart {
		_ = conn.Close()
		return nil, errors.Errorf("demonstrator: %s and %s are parted", from, to)
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

// maxConns bounds the connections that faults can choose from.
const maxConns = 512
