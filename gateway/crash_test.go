package gateway

import (
	"encoding/json"
	"math/rand"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// crashTestUpstream is the upstream of the table below, of incarnation 1.
const crashTestUpstream currantwood.UpstreamID = "u"

// newCrashTestGateway returns a gateway that knows crashTestUpstream.
func newCrashTestGateway() *Gateway {
	decode := func(key string, value []byte) (currantwood.UpstreamRecord, error) {
		var record currantwood.UpstreamRecord
		err := json.Unmarshal(value, &record)
		record.ID = currantwood.UpstreamID(key)
		return record, err
	}
	g := New(Options{
		Configuration: configkeeper.New(), Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Decode: decode,
		Connections: connkeeper.New(time.Now, memorykeeper.New(0, MaxResponseBytes, nil)),
		Now:         func() time.Time { return start.Add(10 * time.Second) },
		Settings:    currantwood.GatewaySettings{Bounds: currantwood.Bounds{DrainTime: 2 * time.Second}},
	})
	g.ApplyUpstreamRecords(start, []currantwood.KeyedRecord{upstreamRecord(1, 1, false)})
	return g
}

// removed is the removal of crashTestUpstream's record.
var removed = currantwood.KeyedRecord{Key: string(crashTestUpstream)}

// changed returns a later record of crashTestUpstream.
func changed(incarnation, sequence int64, leaving bool) *currantwood.KeyedRecord {
	record := upstreamRecord(incarnation, sequence, leaving)
	return &record
}

func upstreamRecord(incarnation, sequence int64, leaving bool) currantwood.KeyedRecord {
	value, err := json.Marshal(currantwood.UpstreamRecord{Incarnation: incarnation, Sequence: sequence, Leaving: leaving})
	if err != nil {
		panic(err)
	}
	return currantwood.KeyedRecord{Key: string(crashTestUpstream), Value: value}
}

// A request that crashes an upstream must count whatever became of the upstream
// since; an upstream that ends as announced must not count against the requests
// that it cuts off.
var _ = DescribeTable("the failure of an exchange counts as a crash",
	func(after time.Duration, record *currantwood.KeyedRecord, lastEvent time.Duration, counts bool) {
		g := newCrashTestGateway()
		if record != nil {
			g.ApplyUpstreamRecords(g.Now().Add(-after), []currantwood.KeyedRecord{*record})
		}
		q := &request{g: g, r: httptest.NewRequest("POST", "/", nil), suspects: []currantwood.Suspect{{Fingerprint: 7}}}
		f := failure{view: upstreamkeeper.View{UpstreamRecord: currantwood.UpstreamRecord{ID: crashTestUpstream, Incarnation: 1}}, sentAt: start, broken: true}
		if lastEvent > 0 {
			f.lastEventAt = g.Now().Add(-lastEvent)
		}
		q.recordCrash(f)
		_, learned := g.crashes.RecordFailure(g.Now(), crashkeeper.Failure{Suspect: currantwood.Suspect{Fingerprint: 7}, Upstream: crashTestUpstream, Incarnation: 1, SentAt: start})
		Expect(learned.New).To(Equal(!counts))
	},
	Entry("at an upstream that is ready", time.Duration(0), nil, time.Duration(0), true),
	Entry("at one that has restarted since", time.Second, changed(2, 1, false), time.Duration(0), true),
	Entry("at one that announced its leaving just now", 500*time.Millisecond, changed(1, 2, true), time.Duration(0), true),
	Entry("not at one that announced its leaving and is due to end", 2*time.Second, changed(1, 2, true), time.Duration(0), false),
	Entry("at one whose record was removed, and that was silent since before", 2*time.Second, &removed, 3*time.Second, true),
	Entry("not at one whose record was removed, and that served on", 2*time.Second, &removed, time.Second, false),
)

// Guards against requests that come again and aren't known again.
var _ = DescribeTable("two requests have the same fingerprint if path, customer and body are the same",
	func(changed *request, target, host string, same bool) {
		first := request{r: httptest.NewRequest("POST", "/book/1?page=2", nil), customer: "ada", body: []byte("body")}
		changed.r = httptest.NewRequest("POST", target, nil)
		changed.r.Host = host
		Expect(changed.findSuspects()[0] == first.findSuspects()[0]).To(Equal(same))
	},
	Entry("the same", &request{customer: "ada", body: []byte("body")}, "/book/1?page=2", "a.example", true),
	Entry("another host", &request{customer: "ada", body: []byte("body")}, "/book/1?page=2", "b.example", true),
	Entry("another query", &request{customer: "ada", body: []byte("body")}, "/book/1?page=3", "a.example", true),
	Entry("another path", &request{customer: "ada", body: []byte("body")}, "/book/2?page=2", "a.example", false),
	Entry("another customer", &request{customer: "bob", body: []byte("body")}, "/book/1?page=2", "a.example", false),
	Entry("another body", &request{customer: "ada", body: []byte("bodi")}, "/book/1?page=2", "a.example", false),
	Entry("no body", &request{customer: "ada"}, "/book/1?page=2", "a.example", false),
)

var _ = It("requests without a body have different fingerprints if their queries differ, and their path in common", func() {
	first := request{r: httptest.NewRequest("GET", "/view/1?page=2", nil)}
	second := request{r: httptest.NewRequest("GET", "/view/1?page=3", nil)}
	again := request{r: httptest.NewRequest("GET", "/view/1?page=2", nil)}
	Expect(first.findSuspects()[0]).NotTo(Equal(second.findSuspects()[0]))
	Expect(first.findSuspects()[1]).To(Equal(second.findSuspects()[1]))
	Expect(first.findSuspects()).To(Equal(again.findSuspects()))
})

// Many requests may share a path without a body. If upstreams hang they time out at
// several, and must not be blocked for that; if the upstreams have crashed, they must.
var _ = DescribeTable("a run without a body that timed out counts once its upstream turns out to have ended",
	func(record *currantwood.KeyedRecord, counted int) {
		g := newCrashTestGateway()
		q := &request{g: g, r: httptest.NewRequest("GET", "/", nil), suspects: []currantwood.Suspect{{Fingerprint: 7}}}
		q.recordCrash(failure{view: upstreamkeeper.View{UpstreamRecord: currantwood.UpstreamRecord{ID: crashTestUpstream, Incarnation: 1}}, sentAt: start})
		Expect(g.instruments.crashesRecorded.Count()).To(BeZero())
		if record != nil {
			g.ApplyUpstreamRecords(g.Now(), []currantwood.KeyedRecord{*record})
		}
		Expect(g.instruments.crashesRecorded.Count()).To(BeEquivalentTo(counted))
	},
	Entry("it goes on", nil, 0),
	Entry("it restarts", changed(2, 1, false), 1),
	Entry("its record is removed", &removed, 1),
	Entry("it announces its leaving", changed(1, 2, true), 0),
)
