package peermessenger

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configasker"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

const (
	// maxSentConfigurationBytes bounds a compressed configuration in a datagram.
	maxSentConfigurationBytes = 48 << 10
	// maxConfigurationBytes bounds a decompressed configuration.
	maxConfigurationBytes = 8 << 20
	// sendShare is the share of the VM's link that configurations for other gateways may
	// take, and sendBurst the time for which unused share is saved.
	sendShare = 0.2
	sendBurst = 400 * time.Millisecond
)

// retainedConfiguration is the record of the configuration that this gateway holds, for
// other gateways. It isn't modified after its creation.
type retainedConfiguration struct {
	version currantwood.ConfigurationVersion
	record  currantwood.KeyedRecord
	// compressed returns the value, compressed at the first call.
	compressed func() []byte
}

// newConfigurationLimiter returns a limiter of bytes for a link. A link of unknown
// bandwidth, 0, isn't limited.
func newConfigurationLimiter(linkBitsPerSecond float64) *rate.Limiter {
	if linkBitsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	bytesPerSecond := sendShare * linkBitsPerSecond / 8
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(maxSentConfigurationBytes, int(bytesPerSecond*sendBurst.Seconds())))
}

// heldConfiguration is the newest version that this gateway has held, and since when.
type heldConfiguration struct {
	version currantwood.ConfigurationVersion
	since   time.Time
}

// configurationHeld returns for how long this gateway has held the version that it holds, in
// microseconds; nil if it isn't known.
func (m *Messenger) configurationHeld(now time.Time) *int64 {
	held := m.held.Load()
	if held == nil || held.version != m.Configuration.Version() {
		return nil
	}
	return proto.Int64(now.Sub(held.since).Microseconds())
}

// RetainConfiguration keeps the record of the configuration that this gateway holds, for
// gateways that ask for it.
func (m *Messenger) RetainConfiguration(version currantwood.ConfigurationVersion, record currantwood.KeyedRecord) {
	if held := m.held.Load(); held == nil || held.version < version {
		m.held.Store(&heldConfiguration{version, m.Now()})
	}
	m.configuration.Store(&retainedConfiguration{
		version:    version,
		record:     record,
		compressed: sync.OnceValue(func() []byte { return compress(record.Value) }),
	})
}

// ForgetConfiguration drops the record, whose offset counts only in the era of the store
// in which it was read.
func (m *Messenger) ForgetConfiguration() { m.configuration.Store(nil) }

// obtainConfiguration asks the collector for a version that this gateway lacks, or
// requests a read of the store.
func (m *Messenger) obtainConfiguration(now time.Time, collector peerkeeper.Peer, version currantwood.ConfigurationVersion) {
	m.mu.Lock()
	action := m.configurationAsker.Next(now, version)
	m.mu.Unlock()
	switch action {
	case configasker.ActionAsk:
		m.Logger.Info("asking the collector for a configuration", zap.Uint64("version", uint64(version)), zap.String("collector", string(collector.VM)))
		m.send(collector.Address, &peerwire.Datagram{Body: &peerwire.Datagram_ConfigurationQuestion{
			ConfigurationQuestion: &peerwire.ConfigurationQuestion{Version: uint64(version)},
		}})
	case configasker.ActionRead:
		m.configurationTopic.Kick()
	case configasker.ActionWait:
	}
}

// receiveConfigurationQuestion answers with the configuration that this gateway holds. It
// declines if the configuration is older than asked for or too long, or if others have
// just been sent as many as the VM's link may carry.
func (m *Messenger) receiveConfigurationQuestion(now time.Time, from peerkeeper.Peer, q *peerwire.ConfigurationQuestion) {
	answer := &peerwire.ConfigurationAnswer{Version: q.GetVersion()}
	held := m.configuration.Load()
	if held != nil && uint64(held.version) >= q.GetVersion() {
		value := held.compressed()
		if len(value) <= maxSentConfigurationBytes && m.configurationLimiter.AllowN(now, len(value)) {
			answer.Version, answer.Value = uint64(held.version), value
			answer.Key, answer.Offset = held.record.Key, uint64(held.record.Offset)
			answer.StoreEra = uint64(m.configurationTopic.Era())
		}
	}
	m.send(from.Address, &peerwire.Datagram{Body: &peerwire.Datagram_ConfigurationAnswer{ConfigurationAnswer: answer}})
}

// receiveConfigurationAnswer takes a configuration that the collector has read. How old it
// may be isn't known from the answer: only digests and reads of its own confirm it.
func (m *Messenger) receiveConfigurationAnswer(now time.Time, from peerkeeper.Peer, a *peerwire.ConfigurationAnswer) {
	version := currantwood.ConfigurationVersion(a.GetVersion())
	if version <= m.Configuration.Version() {
		return
	}
	if err := m.applyConfigurationAnswer(now, a); err != nil {
		m.Logger.Info("the collector sent no usable configuration, reading the store", zap.Uint64("version", a.GetVersion()), zap.String("collector", string(from.VM)), zap.Error(err))
		m.mu.Lock()
		m.configurationAsker.Decline(version)
		m.mu.Unlock()
		m.configurationTopic.Kick()
	}
}

func (m *Messenger) applyConfigurationAnswer(now time.Time, a *peerwire.ConfigurationAnswer) error {
	if len(a.GetValue()) == 0 {
		return errors.New("the collector declined to send it")
	}
	value, err := decompress(a.GetValue())
	if err != nil {
		return err
	}
	offset := currantwood.Offset(a.GetOffset())
	record := currantwood.KeyedRecord{Offset: offset, Key: a.GetKey(), Value: value}
	// The newest record of the key replaces all before it, so the range may begin anywhere.
	applied := m.configurationTopic.ApplyPeerRecords(now, currantwood.PeerRead{Era: currantwood.StoreEra(a.GetStoreEra()), Next: offset + 1, Records: []currantwood.KeyedRecord{record}})
	if !applied {
		return errors.Errorf("record of era %d, offset %d doesn't follow what is known", a.GetStoreEra(), offset)
	}
	return nil
}

// compress returns a value compressed with gzip, whose checksum protects it on the way.
func compress(value []byte) []byte {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	_, _ = writer.Write(value) // a bytes.Buffer takes all writes
	_ = writer.Close()
	return out.Bytes()
}

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(value) > maxConfigurationBytes {
		return nil, errors.Errorf("decompressed configuration exceeds %d bytes", maxConfigurationBytes)
	}
	return value, nil
}
