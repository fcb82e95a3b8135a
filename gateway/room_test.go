package gateway

import (
	"context"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/capacity/roomkeeper"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// engineView is the only engine of the tests below. It has memory for one generation of
// newGeneration.
var engineView = upstreamkeeper.View{UpstreamRecord: currantwood.UpstreamRecord{ID: "e", Group: "g", Zone: "a", Slots: 8, Incarnation: 1}}

// newRoomGateway returns a gateway with one engine, which is known as running.
func newRoomGateway(queueRequests bool) *Gateway {
	keeper := configkeeper.New()
	keeper.SetIfNewer(currantwood.Configuration{Version: 1, Groups: map[currantwood.GroupID]currantwood.Group{
		"g": {ID: "g", Engine: &currantwood.EngineProperties{Slots: 8, MemoryTokens: 1000}},
	}})
	g := New(Options{
		Configuration: keeper, Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: time.Now,
		Settings:    currantwood.GatewaySettings{QueueRequests: queueRequests, MemoryBytes: 134_000_000, Zone: "a", Regions: map[currantwood.ZoneID]currantwood.RegionID{"a": "r"}},
		Connections: connkeeper.New(time.Now, memorykeeper.New(0, MaxResponseBytes, nil)),
		Decode:      func(string, []byte) (currantwood.UpstreamRecord, error) { return engineView.UpstreamRecord, nil },
	})
	g.ReplaceUpstreamRecords(time.Now(), []currantwood.KeyedRecord{{Key: "e", Value: []byte("{}")}})
	return g
}

// newGeneration returns a request for a generation that needs 600 tokens.
func newGeneration(ctx context.Context, g *Gateway, id string, target time.Duration) *request {
	r := httptest.NewRequest(http.MethodPost, "/v1/"+id, nil).WithContext(ctx)
	now := g.Now()
	return &request{
		g: g, r: r, w: httptest.NewRecorder(), arrived: now, deadline: now.Add(time.Minute), snapshot: g.Configuration.Current(), group: "g",
		route: &currantwood.Route{Stream: true, Target: target, Regions: currantwood.AnyRegion()}, admittedRegions: currantwood.AnyRegion(), body: []byte(id),
		client: currantwood.ClientRequest{LastEvent: -1, Size: currantwood.GenerationSize{Prompt: 100, Output: 1000}},
	}
}

// pickResult is what pickUpstream returned after a while.
type pickResult struct {
	choice balancer.Choice
	Err    error
}

func pickInBackground(q *request) chan pickResult {
	result := make(chan pickResult, 1)
	go func() {
		choice, err := q.pickUpstream(q.g.Now(), time.Second, func(*balancer.Query) {})
		result <- pickResult{choice, err}
	}()
	return result
}

// countingSource counts the random numbers that are drawn.
type countingSource struct {
	rand.Source
	drawn int
}

func (s *countingSource) Int63() int64 {
	s.drawn++
	return s.Source.Int63()
}

func waiting(g *Gateway) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.room.keeper.Waiting("g")
}

var _ = Describe("A generation that finds no room", func() {
	var g *Gateway
	var first *request

	BeforeEach(func() {
		g = newRoomGateway(true)
		first = newGeneration(context.Background(), g, "first", 4*time.Second)
		_, err := first.pickUpstream(g.Now(), time.Second, func(*balancer.Query) {})
		Expect(err).NotTo(HaveOccurred())
	})

	It("is refused at once without the setting", func() {
		g.Settings.QueueRequests = false
		result := pickInBackground(newGeneration(context.Background(), g, "second", 4*time.Second))
		var refused *balancer.RefusalError
		Expect(errors.As((<-result).Err, &refused)).To(BeTrue())
		Expect(refused.Error()).To(Equal("no upstream"))
	})

	It("is sent when another ends", func() {
		result := pickInBackground(newGeneration(context.Background(), g, "second", 4*time.Second))
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		first.recordEnd(engineView, first.load(), balancer.Served)
		Eventually(result).Should(Receive(HaveField("Err", BeNil())))
		Expect(g.OwnLoads()).To(HaveKeyWithValue(currantwood.UpstreamID("e"), balancer.Load{Requests: 1, MemoryTokens: 600, PrefillTokens: 100}))
		Expect(g.instruments.queuedAdmitted.Count()).To(Equal(int64(1)))
	})

	It("is sent when the other gateways' loads show room", func() {
		first.recordEnd(engineView, first.load(), balancer.Served)
		g.SetPeerLoads(g.Now(), balancer.Loads{"e": {Requests: 1, MemoryTokens: 600}})
		result := pickInBackground(newGeneration(context.Background(), g, "second", 4*time.Second))
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		Eventually(func() chan pickResult {
			g.SetPeerLoads(g.Now(), balancer.Loads{})
			return result
		}).Should(Receive(HaveField("Err", BeNil())))
	})

	// Guards against work under the gateway's lock that grows with the requests that wait
	// times the upstreams.
	It("isn't looked for an engine if a smaller one has just found none", func() {
		for range 30 {
			q := newGeneration(context.Background(), g, "second", 4*time.Second)
			q.promised = true // The forecast would refuse some.
			pickInBackground(q)
		}
		Eventually(func() int { return waiting(g) }).Should(Equal(30))
		source := &countingSource{Source: rand.NewSource(1)}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.balancer = balancer.New(g.Settings.Regions, g.notices, rand.New(source))
		g.balancer.SetGroups(first.snapshot.Groups)
		g.balancer.SetUpstreams(g.upstreams.Available())
		g.balancer.Started(g.Now(), engineView, first.load(), time.Second)
		p := &placer{g: g, now: g.Now()}
		for ticket, w := range g.room.waiters {
			w.counted = true
			Expect(p.Fits(ticket, roomkeeper.Choice{})).To(BeFalse())
		}
		Expect(source.drawn).To(BeNumerically("<=", 10), "each choice draws at least one")
		g.balancer.Ended(g.Now(), engineView, first.load(), balancer.Served)
		for ticket := range g.room.waiters {
			Expect((&placer{g: g, now: g.Now()}).Fits(ticket, roomkeeper.Choice{})).To(BeTrue())
		}
	})

	// Guards against waiting requests that are sent one after the other to an engine that has
	// failed or refuses requests, and are refused in their turn.
	DescribeTable("isn't sent at once to an engine that has shown no room", func(end func()) {
		result := pickInBackground(newGeneration(context.Background(), g, "second", 4*time.Second))
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		end()
		Consistently(result, "50ms").ShouldNot(Receive())
		Expect(g.OwnLoads()["e"].Requests).To(BeZero())
		g.SetPeerLoads(g.Now(), balancer.Loads{})
		Eventually(result).Should(Receive(HaveField("Err", BeNil())))
	},
		Entry("by a failure", func() { first.recordEnd(engineView, first.load(), balancer.Failed) }),
		Entry("by a refusal", func() { first.recordRejection(engineView, first.load(), balancer.Neutral) }),
	)

	// Guards against a request without a valid key that keeps the place of others.
	It("is refused when its key is withdrawn", func() {
		groups := first.snapshot.Groups
		keys := map[string]currantwood.KeyHolder{"k": {Customer: "c"}}
		g.Configuration.SetIfNewer(currantwood.Configuration{Version: 2, Groups: groups, RequiresKeys: true, Keys: keys})
		withKey := newGeneration(context.Background(), g, "second", 4*time.Second)
		withKey.snapshot, withKey.client.APIKey = g.Configuration.Current(), "k"
		result := pickInBackground(withKey)
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		g.Tick(g.Now())
		Expect(waiting(g)).To(Equal(1))
		g.Configuration.SetIfNewer(currantwood.Configuration{Version: 3, Groups: groups, RequiresKeys: true})
		g.Tick(g.Now())
		var refused *refusedError
		Eventually(result).Should(Receive(HaveField("Err", BeAssignableToTypeOf(refused))))
		Expect(waiting(g)).To(BeZero())
	})

	// Guards against less urgent requests that wait for the next update, of which a gateway
	// among many takes a part only, and delay a more urgent one that fits now; and against a
	// refusal of one that fits, as it has spent its time to wait.
	DescribeTable("is sent at once if only less urgent ones wait", func(age time.Duration) {
		waits := pickInBackground(newGeneration(context.Background(), g, "second", 4*time.Second))
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		g.mu.Lock()
		g.balancer.SetGatewayCount(21)
		g.balancer.Ended(g.Now(), engineView, first.load(), balancer.Served)
		g.mu.Unlock()
		urgent := newGeneration(context.Background(), g, "urgent", 4*time.Second)
		urgent.priority, urgent.arrived = 5, g.Now().Add(-age)
		Eventually(pickInBackground(urgent)).Should(Receive(HaveField("Err", BeNil())))
		Expect(waits).NotTo(Receive())
		Expect(waiting(g)).To(Equal(1))
	},
		Entry("new", time.Duration(0)),
		Entry("with no time left to wait", 3*time.Second),
	)

	// Guards against a gateway whose waiting requests, offered room with each update, claim
	// the rate of a limited upstream from gateways that have the same demand.
	It("counts once in the demand at an upstream that limits its rate", func() {
		limit := currantwood.RateLimit{Known: true, Limited: true, PerSecond: 10}
		g.mu.Lock()
		g.rates.Observe(g.Now().Add(-time.Second), "e", 1, limit)
		before := g.rates.Own(g.Now())["e"].Demand
		g.mu.Unlock()
		pickInBackground(newGeneration(context.Background(), g, "second", 4*time.Second))
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		g.mu.Lock()
		once := g.rates.Own(g.Now())["e"].Demand - before
		g.mu.Unlock()
		Expect(once).To(BeNumerically(">", 0))
		for range 20 {
			g.SetPeerLoads(g.Now(), balancer.Loads{})
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		Expect(g.rates.Own(g.Now())["e"].Demand - before).To(BeNumerically("<=", once))
	})

	It("is refused with a time that its client finds room at", func() {
		q := newGeneration(context.Background(), g, "second", 200*time.Millisecond)
		r := <-pickInBackground(q)
		var refused *refusedError
		Expect(errors.As(r.Err, &refused)).To(BeTrue())
		Expect(q.noUpstreamResponse(nil, r.Err).status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.response.retryAfter).To(BeNumerically(">=", minRetryAfter))
		Expect(g.instruments.promisesGiven.Count()).To(Equal(int64(1)))
		Expect(waiting(g)).To(BeZero())

		first.recordEnd(engineView, first.load(), balancer.Served)
		again := newGeneration(context.Background(), g, "second", 200*time.Millisecond)
		_, err := again.pickUpstream(g.Now().Add(refused.response.retryAfter), time.Second, func(*balancer.Query) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(g.instruments.promisesKept.Count()).To(Equal(int64(1)))
		Expect(g.instruments.promisesBroken.Count()).To(BeZero())
	})

	It("is dropped when its client disconnects", func() {
		ctx, cancel := context.WithCancel(context.Background())
		result := pickInBackground(newGeneration(ctx, g, "second", 4*time.Second))
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		cancel()
		Eventually(result).Should(Receive(HaveField("Err", MatchError(errLeftWaiting))))
		Expect(waiting(g)).To(BeZero())
	})

	It("is refused when the gateway stops, and doesn't wait afterwards", func() {
		result := pickInBackground(newGeneration(context.Background(), g, "second", 4*time.Second))
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		g.Stop(g.Now(), g.Now().Add(time.Second))
		var r pickResult
		Eventually(result).Should(Receive(&r))
		var refused *refusedError
		Expect(errors.As(r.Err, &refused)).To(BeTrue())
		Expect(refused.response.closeConnection).To(BeTrue())
		Eventually(pickInBackground(newGeneration(context.Background(), g, "third", 4*time.Second))).Should(Receive(HaveField("Err", HaveOccurred())))
	})

	// Guards against a refusal with the longest Retry-After where a cold engine accepts another
	// request within a second.
	It("is refused with the time of the cold engine's rate if all engines are cold", func() {
		first.recordEnd(engineView, first.load(), balancer.Served)
		g.mu.Lock()
		g.warmUps.SetLimit("g", 10)
		g.mu.Unlock()
		g.LearnNotices(g.Now(), "vm-2", noticekeeper.Notices{"e": {Incarnation: 1, ColdUntil: g.Now().Add(time.Minute)}})
		var q *request
		var err error
		for range 100 {
			q = newGeneration(context.Background(), g, "second", 4*time.Second)
			if _, err = q.pickUpstream(g.Now(), time.Second, func(*balancer.Query) {}); err != nil {
				break
			}
			q.recordEnd(engineView, q.load(), balancer.Served)
		}
		Expect(err).To(HaveOccurred())
		Expect(q.noUpstreamResponse(nil, err).retryAfter).To(BeNumerically("<=", time.Second))
		Expect(g.instruments.refusedCold.Count()).To(Equal(int64(1)))
	})

	// Guards against an engine that stays held after it has gone.
	It("may hold an engine only while that may be sent requests", func() {
		pickInBackground(newGeneration(context.Background(), g, "second", 4*time.Second))
		Eventually(func() int { return waiting(g) }).Should(Equal(1))
		admits := func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return (&placer{g: g, now: g.Now()}).Admits(1, "e")
		}
		Expect(admits()).To(BeTrue())
		g.LearnNotices(g.Now(), "vm-2", noticekeeper.Notices{"e": {Incarnation: 1, Leaving: true}})
		Expect(admits()).To(BeFalse())
	})

	// A request that no engine could run even without load must not wait.
	It("is refused at once if it is larger than any engine", func() {
		q := newGeneration(context.Background(), g, "second", 4*time.Second)
		q.client.Size.Prompt = 5000
		var refused *balancer.RefusalError
		Expect(errors.As((<-pickInBackground(q)).Err, &refused)).To(BeTrue())
		Expect(refused.Full).To(BeFalse())
	})
})
