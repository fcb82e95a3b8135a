package currantwood

import (
	"time"

	"github.com/pkg/errors"
)

// GatewaySettings is what a gateway process learns from its VM's settings.
type GatewaySettings struct {
	VM   VMID
	IP   string
	Zone ZoneID
	// Regions finds the region of each availability zone.
	Regions map[ZoneID]RegionID
	// ListenClients, ListenReady and ListenOperator are host:port.
	ListenClients  string
	ListenReady    string
	ListenOperator string
	StoreAddress   string
	// Seeds are the operator addresses of a few other VMs, host:port.
	Seeds []string
	// PeerPort is where gateways tell each other what they see, over UDP. It is
	// the same on all VMs.
	PeerPort    int
	MemoryBytes int64
	// Cores is the VM's part of a processor, LinkBits what its link carries a
	// second.
	Cores    float64
	LinkBits float64
	Bounds   Bounds
}

// bitsPerCore is the speed of the link that goes with a whole core.
const bitsPerCore = 100e6

// Strength is what the VM can bear, in thousandths of a core: its processor or,
// if that is less, its link.
func (s GatewaySettings) Strength() uint32 {
	return uint32(1000 * min(s.Cores, s.LinkBits/bitsPerCore))
}

// Bounds are the times and shares that the operator holds the system to.
type Bounds struct {
	// Drain is how long after its announcement a leaving upstream may still
	// be sent new work.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ConfigurationApply is the time in which a new configuration is in force.
	ConfigurationApply time.Duration
	// Revocation is how long after its removal a key may still be used, where
	// FailClosed is true also by a process that has lost the store.
	Revocation time.Duration
	FailClosed bool
	// RetryShare, RetryWindow and RetryReserve bound repeated sends to a group
	// by all gateways together: the share of the requests in the window, and
	// the reserve besides.
	RetryShare   Share
	RetryWindow  time.Duration
	RetryReserve float64
}

// Check reports the first setting without which a gateway can't serve.
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
	if s.Bounds.FailClosed && s.Bounds.Revocation <= 0 {
		return errors.Errorf("settings %s: keys fail closed, but the time of revocation is missing", path)
	}
	return nil
}
