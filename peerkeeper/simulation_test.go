package peerkeeper

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/ratekeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	simGateways = 23
	simEngines  = 36
	// arrivalsPerSecond is the number of new generations per second, at all
	// gateways together.
	arrivalsPerSecond = 60
	// minClientRetry is the shortest delay before a refused client retries.
	minClientRetry = 100 * time.Millisecond
	// engineMemoryTokens is an engine's memory in tokens; prefillTokensPerMS is
	// the number of prompt tokens that it prefills per millisecond.
	engineMemoryTokens = 27_000
	prefillTokensPerMS = 7
	// linkLatency is the transit time of a datagram.
	linkLatency = 7 * time.Millisecond
	// firstEventTarget is the time within which the first event is due. In the
	// simulation, it comes at the end of the prefill.
	firstEventTarget = 1800 * time.Millisecond
)

// simGeneration is one generation in the simulation: a request to a language
// model, with its prompt and output.
type simGeneration struct {
	gateway               int
	view                  upstreamkeeper.View
	load                  balancer.Load
	arrivedAt             time.Time
	remainingPromptTokens float64
	outputTime            time.Duration
	finishAt              time.Time
}

// simulation runs gateways that choose engines by the loads that they have
// exchanged.
type simulation struct {
	random   *rand.Rand
	gateways []*balancer.Balancer
	views    []upstreamkeeper.View
	// leaving are replaced engines. They get no new generations; those still
	// waiting for their prefill or in it run there to their end.
	leaving []upstreamkeeper.View
	// prefillQueues holds, for each engine, the generation in prefill, which is
	// the first, and those that wait for it.
	prefillQueues map[currantwood.UpstreamID][]*simGeneration
	// running are the generations whose output is being produced.
	running []*simGeneration
	// pending are delayed actions. Each is called every millisecond until it
	// returns true.
	pending         []func(time.Time) bool
	startedEngines  int
	sentGenerations int
	onTime          int
	// nextExchange is when each gateway exchanges loads again.
	nextExchange []time.Time
	// reportedLoads are the loads that the collector, gateway 0, knows of each
	// gateway.
	reportedLoads []balancer.Loads
}

func newSimulation(seed int64) *simulation {
	s := &simulation{random: rand.New(rand.NewSource(seed)), prefillQueues: map[currantwood.UpstreamID][]*simGeneration{}}
	regions := map[currantwood.ZoneID]currantwood.RegionID{"z": "r"}
	group := currantwood.Group{ID: "g", Engine: &currantwood.EngineProperties{Slots: 24, MemoryTokens: engineMemoryTokens}}
	for range simGateways {
		b := balancer.New(regions, noticekeeper.New(noticekeeper.Options{Rates: ratekeeper.New(ratekeeper.Options{}, rand.New(rand.NewSource(1)))}), rand.New(rand.NewSource(s.random.Int63())))
		b.SetGroups(map[currantwood.GroupID]currantwood.Group{"g": group})
		b.SetGatewayCount(simGateways)
		s.gateways = append(s.gateways, b)
		s.nextExchange = append(s.nextExchange, start.Add(time.Duration(s.random.Intn(50))*time.Millisecond))
		s.reportedLoads = append(s.reportedLoads, nil)
	}
	s.replaceEngines(simEngines)
	return s
}

// replaceEngines adds count engines and removes the oldest so that simEngines
// remain. Generations of the removed engines that already produce output are
// dropped; the others run to their end there.
func (s *simulation) replaceEngines(count int) {
	removed := s.views[:max(0, len(s.views)+count-simEngines)]
	s.leaving = append(s.leaving, removed...)
	s.running = slices.DeleteFunc(s.running, func(r *simGeneration) bool {
		return slices.ContainsFunc(removed, func(v upstreamkeeper.View) bool { return v.ID == r.view.ID })
	})
	s.views = slices.Clone(s.views[len(removed):])
	for range count {
		s.startedEngines++
		s.views = append(s.views, upstreamkeeper.View{UpstreamRecord: currantwood.UpstreamRecord{
			ID: currantwood.UpstreamID(fmt.Sprintf("e%d", s.startedEngines)), Group: "g", Zone: "z", Slots: 24, Incarnation: 1,
		}})
	}
	for _, g := range s.gateways {
		g.SetUpstreams(s.views)
	}
}

// arrive sends a new generation from a random gateway.
func (s *simulation) arrive(now time.Time) {
	s.sentGenerations++
	s.place(now, s.generation(now), true)
}

// generation returns a generation of random size.
func (s *simulation) generation(now time.Time) *simGeneration {
	prompt, output := 3000, 100+s.random.Intn(1300)
	if s.random.Intn(2) == 0 {
		prompt, output = 2500, 12
	}
	r := &simGeneration{arrivedAt: now, remainingPromptTokens: float64(prompt), outputTime: time.Duration(output) * 11 * time.Millisecond}
	r.load = balancer.Load{Requests: 1, MemoryTokens: currantwood.TokenCount(prompt + output), PrefillTokens: currantwood.TokenCount(prompt)}
	return r
}

// place chooses an engine for a generation. A refused client retries once.
func (s *simulation) place(now time.Time, r *simGeneration, retry bool) {
	r.gateway = s.random.Intn(simGateways)
	choice, err := s.gateways[r.gateway].Pick(now, balancer.Query{Group: "g", Regions: currantwood.AnyRegion(), Load: r.load, Zone: "z", RequireCapacity: true, MaxPrefillWait: firstEventTarget / 2})
	var refused *balancer.RefusalError
	if errors.As(err, &refused) {
		retryAt := now.Add(max(refused.RetryAfter, minClientRetry))
		s.pending = append(s.pending, func(at time.Time) bool {
			if retry && !at.Before(retryAt) {
				s.place(at, r, false)
			}
			return !retry || !at.Before(retryAt)
		})
		return
	}
	r.view = choice.View
	s.gateways[r.gateway].Started(now, r.view, r.load, time.Minute)
	s.prefillQueues[r.view.ID] = append(s.prefillQueues[r.view.ID], r)
}

// advanceEngines lets each engine prefill for a millisecond the first prompt of
// its queue, and ends the generations that are finished.
func (s *simulation) advanceEngines(now time.Time) {
	for _, v := range slices.Concat(s.leaving, s.views) {
		queue := s.prefillQueues[v.ID]
		if len(queue) == 0 {
			continue
		}
		r := queue[0]
		if r.remainingPromptTokens -= prefillTokensPerMS; r.remainingPromptTokens > 0 {
			continue
		}
		s.prefillQueues[v.ID] = queue[1:]
		if now.Sub(r.arrivedAt) <= firstEventTarget {
			s.onTime++
		}
		s.gateways[r.gateway].PrefillEnded(r.view, r.load.PrefillTokens, balancer.PrefillSample{})
		r.load.PrefillTokens, r.finishAt = 0, now.Add(r.outputTime)
		s.running = append(s.running, r)
	}
	s.running = slices.DeleteFunc(s.running, func(r *simGeneration) bool {
		if now.Before(r.finishAt) {
			return false
		}
		s.gateways[r.gateway].Ended(now, r.view, r.load, balancer.Served)
		return true
	})
}

// exchangeLoads lets each gateway that is due send its loads to gateway 0, and
// gateway 0 send the sums. Then it runs the pending actions that are due:
// arriving datagrams and retries of refused clients.
func (s *simulation) exchangeLoads(now time.Time, interval time.Duration) {
	for i, g := range s.gateways {
		if now.Before(s.nextExchange[i]) {
			continue
		}
		s.nextExchange[i] = now.Add(interval)
		if i == 0 {
			s.sendDigests(now)
			continue
		}
		own := g.OwnLoads()
		s.sendDatagram(now, func() { s.reportedLoads[i] = own })
	}
	s.pending = slices.DeleteFunc(s.pending, func(deliver func(time.Time) bool) bool { return deliver(now) })
}

// sendDigests sends each gateway the sum of the others' loads.
func (s *simulation) sendDigests(now time.Time) {
	s.reportedLoads[0] = s.gateways[0].OwnLoads()
	for i, g := range s.gateways {
		others := balancer.Loads{}
		for j, loads := range s.reportedLoads {
			for id, load := range loads {
				if j != i {
					total := others[id]
					total.Add(load)
					others[id] = total
				}
			}
		}
		s.sendDatagram(now, func() { g.SetPeerLoads(now.Add(linkLatency), "others", others) })
	}
}

// sendDatagram calls deliver after linkLatency.
func (s *simulation) sendDatagram(now time.Time, deliver func()) {
	s.pending = append(s.pending, func(at time.Time) bool {
		if at.Sub(now) < linkLatency {
			return false
		}
		deliver()
		return true
	})
}

// run simulates some seconds with the given interval between exchanges. It
// returns the fraction of generations whose first event came within
// firstEventTarget.
func (s *simulation) run(seconds int, interval time.Duration) float64 {
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%3300 == 1500 {
			s.replaceEngines(6)
		}
		if s.random.Intn(1000) < arrivalsPerSecond {
			s.arrive(now)
		}
		s.advanceEngines(now)
		s.exchangeLoads(now, interval)
	}
	return float64(s.onTime) / float64(s.sentGenerations)
}

// Load pattern: 23 gateways together send 60 prompts per second to 36 heavily
// loaded engines; every 3.3 s six of them are replaced by idle ones. Until a
// gateway learns what the others sent, the same engine looks least loaded to all
// of them, so exchanging loads too seldom overloads it. At least 95 % of first
// events must be on time.
var _ = It("Keeper.SendInterval is short enough that engines are not overloaded", func() {
	k := New(peer("a"))
	for i := range simGateways - 1 {
		k.ApplyState(start, peer(fmt.Sprintf("b%d", i)), State{StoreReachable: true})
	}
	const seeds = 6
	onTime := 0.0
	for seed := range int64(seeds) {
		onTime += newSimulation(seed).run(20, k.SendInterval(start)) / seeds
	}
	Expect(onTime).To(BeNumerically(">=", 0.95))
})
