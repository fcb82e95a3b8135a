package peermessenger

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

// send encodes a datagram and sends it to an address.
func (m *Messenger) send(address string, datagram *peerwire.Datagram) {
	datagram.Vm, datagram.Strength = string(m.Settings.VM), m.Settings.CapacityMillicores()
	datagram.Established, datagram.Process = m.Gateway.Established(m.Now()), m.process
	data, err := proto.Marshal(datagram)
	if err != nil {
		m.Logger.Error("failed to encode datagram", zap.Error(err))
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		m.Logger.Warn("invalid peer address", zap.String("address", address), zap.Error(err))
		return
	}
	// Other errors are ignored, as a datagram can be lost without one too: the next
	// carries the same information. One that is too long never arrives.
	if _, err := m.conn.WriteTo(data, to); errors.Is(err, syscall.EMSGSIZE) && m.mayLogTooLong(m.Now()) {
		m.Logger.Error("datagram too long to be sent", zap.String("to", address), zap.Int("bytes", len(data)))
	}
}

// tooLongLogInterval is the time between two log lines about datagrams that are too long.
const tooLongLogInterval = 10 * time.Second

// mayLogTooLong reports whether a datagram that is too long is to be logged now.
func (m *Messenger) mayLogTooLong(now time.Time) bool {
	last := m.tooLongAt.Load()
	return (last == 0 || now.UnixNano()-last >= int64(tooLongLogInterval)) && m.tooLongAt.CompareAndSwap(last, now.UnixNano())
}

// receive decodes a datagram and passes it to its handler.
func (m *Messenger) receive(data []byte, address string) {
	var datagram peerwire.Datagram
	if err := proto.Unmarshal(data, &datagram); err != nil {
		m.Logger.Warn("failed to decode datagram", zap.String("from", address), zap.Error(err))
		return
	}
	now := m.Now()
	from := peerkeeper.Peer{VM: currantwood.VMID(datagram.GetVm()), Address: address, Capacity: datagram.GetStrength(), Established: datagram.GetEstablished()}
	switch body := datagram.GetBody().(type) {
	case *peerwire.Datagram_State:
		m.receiveState(now, from, datagram.GetProcess(), body.State)
	case *peerwire.Datagram_Digest:
		m.receiveDigest(now, from, datagram.GetProcess(), body.Digest)
	case *peerwire.Datagram_InterimDigest:
		m.receiveInterimDigest(now, from, body.InterimDigest)
	case *peerwire.Datagram_StartQuestion:
		m.receiveQuestion(now, from, body.StartQuestion)
	case *peerwire.Datagram_StartAnswer:
		m.receiveAnswer(now, body.StartAnswer)
	case *peerwire.Datagram_ConfigurationQuestion:
		m.receiveConfigurationQuestion(now, from, body.ConfigurationQuestion)
	case *peerwire.Datagram_ConfigurationAnswer:
		m.receiveConfigurationAnswer(now, from, body.ConfigurationAnswer)
	case *peerwire.Datagram_Referral:
		m.mu.Lock()
		m.peers.NotePeer(now, peerkeeper.Peer{VM: currantwood.VMID(body.Referral.GetVm()), Address: body.Referral.GetAddress(), Capacity: body.Referral.GetStrength(), Established: body.Referral.GetEstablished()})
		m.mu.Unlock()
	}
}
