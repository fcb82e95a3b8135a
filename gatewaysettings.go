package currantwood

import (
	"net"
	"reflect"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// GatewaySettings holds the settings of a gateway process on its VM.
type GatewaySettings struct {
	VM   VMID
	IP   string
	Zone ZoneID
	// Regions maps each availability zone to its region.
	Regions map[ZoneID]RegionID
	// ListenClients, ListenReady and ListenOperator are the listen addresses for
	// client traffic, readiness checks and operator requests, as host:port.
	ListenClients  string
	ListenReady    string
	ListenOperator string
	StoreAddress   string
	// UpstreamHeartbeat is about how often an upstream writes its record; 0 if the settings
	// don't say.
	UpstreamHeartbeat time.Duration
	// Seeds are the addresses, host:port, of a few other VMs with which the gateway
	// exchanges state at first. Only the host is used; the port is PeerPort.
	Seeds []string
	// PeerPort is the UDP port on which gateways exchange their state. It is the
	// same on all VMs.
	PeerPort    int
	MemoryBytes int64
	// MaxDescriptors is the number of file descriptors that the process may open; 0 if the
	// settings don't say.
	MaxDescriptors int
	// Cores is the VM's CPU share, in cores.
	Cores float64
	// LinkBitsPerSecond is the bandwidth of the VM's network link, in bits per
	// second.
	LinkBitsPerSecond float64
	Bounds            Bounds
	// ConnectionLimits bounds what clients may take.
	ConnectionLimits ConnectionLimits
	// Flow bounds what is read ahead of clients that read slowly.
	Flow FlowShares
	// FirstStart is whether the whole system starts for the first time, so that no
	// former process of it has done anything.
	FirstStart bool
	// QueueRequests is whether generations that find no room wait for it in the gateway for
	// a part of their route's target time, and are refused by a forecast.
	QueueRequests bool
}

// ChangesFrom returns the names of the fields that differ from those of earlier settings: those
// that a running process applies, and those that wait for its next start, as its listeners, shares
// and bounds were derived from them.
func (s GatewaySettings) ChangesFrom(last GatewaySettings) (applied, waiting []string) {
	now, before := reflect.ValueOf(s), reflect.ValueOf(last)
	for i := range now.NumField() {
		name := now.Type().Field(i).Name
		switch {
		case reflect.DeepEqual(now.Field(i).Interface(), before.Field(i).Interface()):
		case name == "Seeds", name == "StoreAddress":
			applied = append(applied, name)
		default:
			waiting = append(waiting, name)
		}
	}
	return applied, waiting
}

// linkBitsPerCore is the link bandwidth, in bits per second, that counts as much
// as one core.
const linkBitsPerCore = 100e6

// CapacityMillicores returns the VM's capacity in thousandths of a core: the
// smaller of its CPU share and the equivalent of its link bandwidth.
func (s GatewaySettings) CapacityMillicores() uint32 {
	return uint32(1000 * min(s.Cores, s.LinkBitsPerSecond/linkBitsPerCore))
}

// ConnectionLimits bounds what connections of clients may take of the process, at each of its
// listeners. A value of 0 stands for the default (package ingress/apportioner).
type ConnectionLimits struct {
	// Connections bounds the open connections of clients. It can only lower the bound that
	// follows from the VM's memory and descriptors.
	Connections int
	// HeadBytes and HeadFields bound the head of one request.
	HeadBytes, HeadFields int
	// HeadAllowance, BodyAllowance and WriteAllowance are how long a head, a body and a
	// response may be below BytesPerSecond before the connection is closed.
	HeadAllowance, BodyAllowance, WriteAllowance time.Duration
	BytesPerSecond                               int64
}

// check returns an error if a limit is negative.
func (l ConnectionLimits) check() error {
	limits := []struct {
		name  string
		value int64
	}{
		{"connections", int64(l.Connections)},
		{"head bytes", int64(l.HeadBytes)},
		{"head fields", int64(l.HeadFields)},
		{"head allowance", int64(l.HeadAllowance)},
		{"body allowance", int64(l.BodyAllowance)},
		{"write allowance", int64(l.WriteAllowance)},
		{"bytes per second", l.BytesPerSecond},
	}
	for _, limit := range limits {
		if limit.value < 0 {
			return errors.Errorf("client limits: %s is negative", limit.name)
		}
	}
	return nil
}

// FlowShares are the shares of the VM's memory for events that are buffered for clients that
// read more slowly than upstreams generate. A value of 0 stands for the default.
type FlowShares struct {
	// Stream bounds the buffer of one stream, Total those of all streams together.
	Stream, Total Share
}

const (
	defaultStreamShare = 0.01
	defaultTotalShare  = 0.1
	// maxTotalShare leaves room for the shares of client connections with their socket buffers,
	// of heads and of bodies, which are 0.72 of the memory (computed).
	maxTotalShare = 0.25
	// unknownMemoryBytes is assumed if the settings don't state the VM's memory.
	unknownMemoryBytes = 128e6
)

// withDefaults returns the shares with the defaults filled in. A default share of a stream is
// never above that of all.
func (s FlowShares) withDefaults() FlowShares {
	if s.Total == 0 {
		s.Total = defaultTotalShare
	}
	if s.Stream == 0 {
		s.Stream = min(defaultStreamShare, s.Total)
	}
	return s
}

// Bytes returns the limits in bytes on a VM with a memory size.
func (s FlowShares) Bytes(memoryBytes int64) (stream, total int64) {
	if memoryBytes <= 0 {
		memoryBytes = unknownMemoryBytes
	}
	s = s.withDefaults()
	return int64(float64(s.Stream) * float64(memoryBytes)), int64(float64(s.Total) * float64(memoryBytes))
}

// check returns an error if a share is out of range. NaN is.
func (s FlowShares) check() error {
	s = s.withDefaults()
	if !(s.Total > 0 && s.Total <= maxTotalShare) {
		return errors.Errorf("flow: total-share is %v, not between 0 and %v", s.Total, maxTotalShare)
	}
	if !(s.Stream > 0 && s.Stream <= s.Total) {
		return errors.Errorf("flow: stream-share is %v, not between 0 and the total-share, %v", s.Stream, s.Total)
	}
	return nil
}

// Bounds are the limits that the operator sets for the system.
type Bounds struct {
	// DrainTime is how long an upstream may still receive new work after it has
	// announced that it is leaving. It is read from the settings but not used yet.
	DrainTime time.Duration
	// ShutdownGrace is the time from SIGTERM to SIGKILL.
	ShutdownGrace time.Duration
	// ConfigurationApplyTime is the time within which a new configuration must take
	// effect. It is read from the settings but not used yet.
	ConfigurationApplyTime time.Duration
	// RevocationTime is how long an API key may still be accepted after its
	// removal.
	RevocationTime time.Duration
	// FailClosed makes a gateway refuse all API keys while its configuration is so
	// old, as during a store outage, that RevocationTime could be exceeded.
	FailClosed bool
	// RetryShare, RetryWindow and RetryReserve are the retry budget of a group,
	// shared by all gateways: retries may reach RetryShare of the requests within
	// RetryWindow, plus RetryReserve retries.
	RetryShare   Share
	RetryWindow  time.Duration
	RetryReserve float64
	// WarmUpOverage and WarmUpSlack bound the requests that a cold upstream gets within
	// any second, from all gateways together: WarmUpOverage times Group.WarmUpRate, plus
	// WarmUpSlack requests.
	WarmUpOverage float64
	WarmUpSlack   float64
	// EvacuationTime is how long after the order to evacuate an availability zone its
	// upstreams may still receive requests.
	EvacuationTime time.Duration
}

// Check returns an error if the VM, availability zone, an address for clients or
// readiness, or the store's address is empty, if FailClosed is set without a
// RevocationTime, if a share for streams is out of range, or if a limit of clients is
// negative. The error names path, the settings file.
func (s GatewaySettings) Check(path string) error {
	required := []struct{ name, value string }{
		{"VM", string(s.VM)},
		{"availability zone", string(s.Zone)},
		{"address for clients", s.ListenClients},
		{"address for readiness", s.ListenReady},
		{"address of the store", s.StoreAddress},
	}
	for _, r := range required {
		if r.value == "" {
			return errors.Errorf("settings %s: %s is missing", path, r.name)
		}
	}
	if s.Bounds.FailClosed && s.Bounds.RevocationTime <= 0 {
		return errors.Errorf("settings %s: API keys are refused without the store (fail closed), but the revocation time is missing", path)
	}
	if err := s.Flow.check(); err != nil {
		return errors.Wrapf(err, "settings %s", path)
	}
	return errors.Wrapf(s.ConnectionLimits.check(), "settings %s", path)
}

// maxSeeds is the number of seeds that the settings name at most.
const maxSeeds = 3

// MinGateways returns the least number of gateways that there are, this one included. Up to
// maxSeeds it is all of them: a larger fleet has maxSeeds seeds, one of which may be this VM.
func (s GatewaySettings) MinGateways() int {
	if len(s.Seeds) >= maxSeeds {
		return maxSeeds + 1
	}
	return s.NamedGateways()
}

// PeerAddress returns the address, host:port, at which other gateways reach this one.
func (s GatewaySettings) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
}

// NamedGateways returns the number of gateways that the settings name, this one included.
func (s GatewaySettings) NamedGateways() int {
	others, _ := s.OtherSeeds()
	return 1 + len(others)
}

// OtherSeeds returns the hosts of Seeds but the VM's own, and the seeds that aren't
// host:port.
func (s GatewaySettings) OtherSeeds() (hosts, invalid []string) {
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			invalid = append(invalid, seed)
		} else if host != s.IP {
			hosts = append(hosts, host)
		}
	}
	return hosts, invalid
}
