package peermessenger

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

// recordingTopic is the topic of the configuration at a gateway that knows it up to offset
// 5 in era 2.
type recordingTopic struct {
	idleTopic
	applied []currantwood.KeyedRecord
	readAt  time.Time
	reads   int
}

func (t *recordingTopic) Kick() { t.reads++ }

func (t *recordingTopic) ApplyPeerRecords(_ time.Time, read currantwood.PeerRead) bool {
	if read.Era != 2 {
		return false
	}
	t.applied, t.readAt = append(t.applied, read.Records...), read.ReadAt
	return true
}

var _ = DescribeTable("a configuration from the collector",
	func(answer *peerwire.ConfigurationAnswer, applied, reads int) {
		topic := &recordingTopic{}
		keeper := configkeeper.New()
		keeper.SetIfNewer(currantwood.Configuration{Version: 3})
		m := &Messenger{
			Options: Options{Logger: zap.NewNop(), Gateway: idleGateway{}, Configuration: keeper},
			peers:   peerkeeper.New(peerkeeper.Peer{VM: "b"}), configurationTopic: topic,
		}
		m.receiveConfigurationAnswer(bootSeconds(9), peerkeeper.Peer{VM: "a", Address: "a:1"}, answer)
		Expect(topic.applied).To(HaveLen(applied))
		Expect(topic.reads).To(Equal(reads))
		// Only a digest or an own read confirms that keys are still valid.
		Expect(topic.readAt).To(BeZero())
		Expect(keeper.Age(bootSeconds(9))).To(BeNumerically(">", time.Hour))
	},
	Entry("is applied if it is newer", &peerwire.ConfigurationAnswer{Version: 4, StoreEra: 2, Offset: 7, Key: "k", Value: compress([]byte("v"))}, 1, 0),
	Entry("is ignored if it is no newer", &peerwire.ConfigurationAnswer{Version: 3, StoreEra: 2, Offset: 7, Key: "k", Value: compress([]byte("v"))}, 0, 0),
	Entry("is read from the store if the collector declines", &peerwire.ConfigurationAnswer{Version: 4}, 0, 1),
	Entry("is read from the store if its offset is of another era", &peerwire.ConfigurationAnswer{Version: 4, StoreEra: 1, Offset: 7, Key: "k", Value: compress([]byte("v"))}, 0, 1),
	Entry("is read from the store if it arrives damaged", &peerwire.ConfigurationAnswer{Version: 4, StoreEra: 2, Offset: 7, Key: "k", Value: compress([]byte("v"))[:12]}, 0, 1),
	Entry("is read from the store if it isn't compressed", &peerwire.ConfigurationAnswer{Version: 4, StoreEra: 2, Offset: 7, Key: "k", Value: []byte("v")}, 0, 1),
)
