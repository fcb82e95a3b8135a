package peermessenger

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
	"github.com/currantwood/currantwood/ratekeeper"
	"github.com/currantwood/currantwood/streamkeeper"
)

// idleGateway is a Gateway without state.
type idleGateway struct{}

func (idleGateway) OwnLoads() balancer.Loads                             { return nil }
func (idleGateway) SetPeerLoads(time.Time, balancer.Loads)               {}
func (idleGateway) RetryUsage(time.Time) budgeter.GroupUsage             { return nil }
func (idleGateway) Established(time.Time) bool                           { return true }
func (idleGateway) OwnStarts(uint64, int) ([]streamkeeper.Start, uint64) { return nil, 0 }
func (idleGateway) AllStarts(uint64, int) ([]streamkeeper.Start, uint64) { return nil, 0 }
func (idleGateway) LearnStarts(time.Time, []streamkeeper.Start)          {}
func (idleGateway) StartOf(currantwood.Fingerprint) (streamkeeper.Origin, bool) {
	return streamkeeper.Origin{}, false
}
func (idleGateway) HeardNotices(time.Time) noticekeeper.Notices                    { return nil }
func (idleGateway) KnownNotices(time.Time, bool) noticekeeper.Notices              { return nil }
func (idleGateway) LearnNotices(time.Time, currantwood.VMID, noticekeeper.Notices) {}

func (idleGateway) OwnSpeeds(time.Time) speedkeeper.Sums { return nil }

func (idleGateway) AllSpeeds(time.Time) speedkeeper.Sums { return nil }

func (idleGateway) RecentPromises(time.Time, int) []forecaster.SharedPromise  { return nil }
func (idleGateway) LearnPromises(time.Time, []forecaster.SharedPromise)       {}
func (idleGateway) LearnSpeeds(time.Time, currantwood.VMID, speedkeeper.Sums) {}

func (idleGateway) OwnLoadLevels(time.Time) limitkeeper.Sums { return nil }

func (idleGateway) LearnLoadLevels(time.Time, currantwood.VMID, limitkeeper.Sums) {}

func (idleGateway) AllLimits(time.Time) limitkeeper.Limits { return nil }

func (idleGateway) LearnLimits(time.Time, limitkeeper.Limits) {}

func (idleGateway) Evacuations(time.Time) (evacuationkeeper.Set, bool) {
	return evacuationkeeper.Set{}, false
}

func (idleGateway) LearnEvacuations(time.Time, currantwood.VMID, evacuationkeeper.Set) {}

func (idleGateway) OwnRates(time.Time) ratekeeper.Rates            { return nil }
func (idleGateway) SetFleetRates(time.Time, ratekeeper.Rates, int) {}
func (idleGateway) OwnWarmUpRates(time.Time) ratekeeper.Rates {
	return nil
}
func (idleGateway) SetFleetWarmUpRates(time.Time, ratekeeper.Rates, int) {}
func (idleGateway) SetBudgetPeers(time.Time, budgeter.Peers)             {}
func (idleGateway) RecentCrashes(time.Time, int) ([]crashkeeper.AgedCrash, []crashkeeper.AgedCompletion) {
	return nil, nil
}
func (idleGateway) SetCollects(bool)          {}
func (idleGateway) CrashSum(time.Time) uint64 { return 0 }
func (idleGateway) RecordCrashes(time.Time, currantwood.VMID, []crashkeeper.AgedCrash, []crashkeeper.AgedCompletion) {
}
func (idleGateway) RecurrentCrashes(time.Time, currantwood.Suspect, int) ([]crashkeeper.AgedCrash, currantwood.Suspect) {
	return nil, currantwood.Suspect{}
}

// idleTopic is a Topic of which nothing is known.
type idleTopic struct{}

func (idleTopic) Era() currantwood.StoreEra    { return 0 }
func (idleTopic) Position() currantwood.Offset { return 0 }
func (idleTopic) Age(time.Time) time.Duration  { return 0 }
func (idleTopic) Kick()                        {}
func (idleTopic) Reachable() bool              { return false }
func (idleTopic) FailedAt() time.Time          { return time.Time{} }
func (idleTopic) ApplyPeerRecords(time.Time, currantwood.PeerRead) bool {
	return false
}

// bootSeconds returns the time so many seconds after the VM's boot.
func bootSeconds(s float64) time.Time { return time.Unix(0, int64(s*float64(time.Second))) }

// A VM's clock begins anew at a boot. An echo of what a process before the boot sent
// must not make the configuration look confirmed at that time of the new clock, or a
// key that was revoked meanwhile would be accepted.
var _ = DescribeTable("a digest confirms the configuration only if it echoes a state of this process",
	func(echo float64, process uint64, confirmed bool) {
		keeper := configkeeper.New()
		keeper.SetIfNewer(currantwood.Configuration{Version: 3})
		m := &Messenger{
			Options: Options{Logger: zap.NewNop(), Gateway: idleGateway{}, Configuration: keeper, Now: func() time.Time { return bootSeconds(9) }},
			peers:   peerkeeper.New(peerkeeper.Peer{VM: "b"}), process: 7, startedAt: bootSeconds(5),
			configurationTopic: idleTopic{}, directoryTopic: idleTopic{},
		}
		m.receiveDigest(bootSeconds(9), peerkeeper.Peer{VM: "a", Address: "a:1"}, 1, &peerwire.Digest{
			Configuration: 3, ConfigurationAgeUs: 100_000, Echo: bootSeconds(echo).UnixNano(), EchoProcess: process,
		})
		Expect(keeper.Age(bootSeconds(9)) < time.Minute).To(Equal(confirmed))
	},
	Entry("one of this process", 8.0, uint64(7), true),
	Entry("one of a process before the boot, later by its clock than now", 5000.0, uint64(6), false),
	Entry("one of a process before the boot, within the life of this one", 8.0, uint64(6), false),
	Entry("one from a gateway that doesn't name the process, within the life of this one", 8.0, uint64(0), true),
	Entry("one from such a gateway, from before this process", 4.0, uint64(0), false),
	Entry("one from such a gateway, later than now", 5000.0, uint64(0), false),
)
