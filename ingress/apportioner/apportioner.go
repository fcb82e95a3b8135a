// Package apportioner divides a VM's memory and file descriptors among the connections of
// clients, and fills in the limits that the settings leave open.
package apportioner

import (
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// connectionBytes is what an open connection takes without a request: two buffers of
	// 4 KB, a goroutine's stack and the records of net/http and of the limits.
	connectionBytes = 20_000
	// connectionShare and headShare are the shares of the VM's memory for connections and
	// for the heads of requests that arrive or run. Request bodies and response bodies have
	// an eighth each (package gateway). The rest is for the process itself and for what
	// the garbage collector hasn't freed yet.
	connectionShare = 1.0 / 6
	headShare       = 1.0 / 10
	// sideHeadShare is headShare of a listener for readiness or metrics.
	sideHeadShare = 1.0 / 50
	// socketShare is the share of the memory for the buffers that the kernel keeps for the
	// connections of clients, and wideShare the one for wide buffers beside them.
	socketShare = 0.19
	wideShare   = 0.05
	// unknownMemoryBytes is assumed if the settings don't state the VM's memory.
	unknownMemoryBytes = 128e6
	// fileDescriptors is how many of the VM's descriptors are for files.
	fileDescriptors = 200
	// clientDescriptorShare is the share of the other descriptors that clients may take. Each
	// request may need a connection to an upstream beside it, and the store, peers and idle
	// connections to upstreams need the rest.
	clientDescriptorShare = 0.4
	// sideDescriptorShare is clientDescriptorShare of a listener for readiness or metrics.
	sideDescriptorShare = 0.05
	// maxSideConnections bounds the connections of such a listener, which serves a few
	// checkers.
	maxSideConnections = 64
	// minConnections is the least bound on the connections of a listener.
	minConnections = 8
)

// The defaults of currantwood.ConnectionLimits. Well-behaved clients send heads of up to 16,384
// bytes within 3 s. A field has at least 3 bytes, so such a head has 5,461 fields at most.
const (
	defaultHeadBytes      = 64 << 10
	defaultHeadFields     = 6000
	defaultHeadAllowance  = 10 * time.Second
	defaultBodyAllowance  = 15 * time.Second
	defaultWriteAllowance = 30 * time.Second
	defaultBytesPerSecond = 256
)

// Buffers are the sizes of a socket's buffers, as the kernel counts them: with its bookkeeping,
// which may be half.
type Buffers struct{ Receive, Send int }

// Bytes returns the memory of both buffers.
func (b Buffers) Bytes() int64 { return int64(b.Receive + b.Send) }

var (
	// buffers hold a head of the longest legal size in a few round trips, and some events.
	buffers = Buffers{Receive: 16 << 10, Send: 24 << 10}
	// wideBuffers are for long bodies: half of the buffer arrives in each round trip, so a
	// body of 4 MB takes 32 of them.
	wideBuffers = Buffers{Receive: 256 << 10, Send: 64 << 10}
)

// Shares is what the connections of one listener may take.
type Shares struct {
	// Connections bounds the open connections, HeadBytes the estimated memory of the heads
	// of their requests.
	Connections int
	HeadBytes   int64
	// Buffers are those of each connection's socket; WideConnections of them may have
	// WideBuffers.
	Buffers, WideBuffers Buffers
	WideConnections      int
	Limits               currantwood.ConnectionLimits
}

// Apportioner divides the VM's resources.
type Apportioner struct{ settings currantwood.GatewaySettings }

// New returns an Apportioner for the settings, which must have passed their check.
func New(settings currantwood.GatewaySettings) Apportioner {
	if settings.MemoryBytes <= 0 {
		settings.MemoryBytes = unknownMemoryBytes
	}
	return Apportioner{settings}
}

// Clients returns the shares of the listener for clients.
func (a Apportioner) Clients() Shares {
	memory := float64(a.settings.MemoryBytes)
	connections := int(min(connectionShare*memory/connectionBytes, socketShare*memory/float64(buffers.Bytes())))
	connections = min(connections, a.descriptors(clientDescriptorShare, connections))
	limits := a.limits()
	if limits.Connections > 0 {
		connections = min(connections, limits.Connections)
	}
	shares := a.shares(max(minConnections, connections), headShare, limits)
	shares.WideConnections = int(wideShare * memory / float64(wideBuffers.Bytes()))
	return shares
}

// Side returns the shares of a listener for readiness or metrics.
func (a Apportioner) Side() Shares {
	connections := max(minConnections, a.descriptors(sideDescriptorShare, maxSideConnections))
	return a.shares(min(maxSideConnections, connections), sideHeadShare, a.limits())
}

func (a Apportioner) shares(connections int, headShare float64, limits currantwood.ConnectionLimits) Shares {
	return Shares{
		Connections: connections, HeadBytes: int64(headShare * float64(a.settings.MemoryBytes)),
		Buffers: buffers, WideBuffers: wideBuffers, Limits: limits,
	}
}

// descriptors returns a share of the descriptors that aren't for files, or unknown if the
// settings don't state their number.
func (a Apportioner) descriptors(share float64, unknown int) int {
	if a.settings.MaxDescriptors <= 0 {
		return unknown
	}
	return int(share * float64(max(0, a.settings.MaxDescriptors-fileDescriptors)))
}

// limits returns the limits of the settings, with defaults.
func (a Apportioner) limits() currantwood.ConnectionLimits {
	l := a.settings.ConnectionLimits
	l.HeadBytes = orDefault(l.HeadBytes, defaultHeadBytes)
	l.HeadFields = orDefault(l.HeadFields, defaultHeadFields)
	l.HeadAllowance = orDefault(l.HeadAllowance, defaultHeadAllowance)
	l.BodyAllowance = orDefault(l.BodyAllowance, defaultBodyAllowance)
	l.WriteAllowance = orDefault(l.WriteAllowance, defaultWriteAllowance)
	l.BytesPerSecond = orDefault(l.BytesPerSecond, defaultBytesPerSecond)
	return l
}

func orDefault[T int | int64 | time.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}
