package peermessenger

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

// switchedTopic is a topic of a store that this gateway reaches or not.
type switchedTopic struct {
	idleTopic
	reachable bool
}

func (t *switchedTopic) Reachable() bool { return t.reachable }

// Retries of gateways that ended together with the collector count until their window has
// passed, or those that go on would exceed the budget of all.
var _ = DescribeTable("a gateway that adds up reports inherits the retries that the last digest reported",
	func(storeReachable ...bool) {
		const group currantwood.GroupID = "desk"
		topic := &switchedTopic{}
		m := &Messenger{
			Options: Options{Logger: zap.NewNop(), Gateway: idleGateway{}, Configuration: configkeeper.New()},
			peers:   peerkeeper.New(peerkeeper.Peer{VM: "b"}), configurationTopic: topic, directoryTopic: topic,
		}
		m.receiveDigest(bootSeconds(9), peerkeeper.Peer{VM: "a", Address: "a:1"}, 1, &peerwire.Digest{
			Gateways: 4, Uses: encodeRetryUsage(budgeter.GroupUsage{group: {Requests: 100, Retries: 60}}),
		})
		m.noteCollector(bootSeconds(9), false)
		// By then the former collector no longer counts as heard from.
		now := bootSeconds(10.6)
		for _, reachable := range storeReachable {
			topic.reachable = reachable
			now = now.Add(100 * time.Millisecond)
			m.noteCollector(now, m.storeReachable())
			Expect(m.peers.TotalUsage(now, 10*time.Second, "", nil)[group].Retries).To(Equal(60))
		}
	},
	Entry("as the collector", true),
	Entry("as the interim collector", false),
	Entry("as the interim collector, then as the collector", false, true),
	Entry("as the collector, then as the interim collector and again as the collector", true, false, true),
)
