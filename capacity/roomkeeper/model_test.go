package roomkeeper

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/forecaster"
)

const (
	modelTick         = 5 * time.Millisecond
	modelUpdate       = 50 * time.Millisecond
	modelShare        = 50 * time.Millisecond
	modelDelay        = 15 // ticks from a change until the others' sums show it
	engineSlots       = 24
	engineMemory      = 60_000
	modelMaxWait      = time.Second
	modelPromisedWait = 1600 * time.Millisecond
	modelTarget       = 2 * time.Second
	fixedRetryAfter   = 400 * time.Millisecond
)

var modelStart = time.Unix(1_700_000_000, 0)

// load is a pattern of arrivals and engines.
type load struct {
	gateways, engines int
	// usual is the share of the fleet's memory that is in use on the average.
	usual float64
	// rate returns the factor on the arrivals at a time, and away the number of engines
	// that are away.
	rate func(t time.Duration) float64
	away func(t time.Duration) int
	// waits is whether requests wait; without, they are refused with a fixed time.
	waits bool
	// sticky is whether clients come back to the gateway that refused them.
	sticky bool
	length time.Duration
	// roomAge is how old the view of the engines may be on which a forecast rests, as
	// balancer.Room keeps it in large groups; 0 is a view at each request.
	roomAge time.Duration
}

// result counts what became of the generations.
type result struct {
	arrived, refused, lost int
	// late counts those that began after the target time, as they were queued at the
	// engine.
	late int
	// smallArrived and so on are those of the smallest and the largest third.
	smallArrived, smallLost, largeArrived, largeLost int
	// promised counts the clients that came back as they were told, to any gateway.
	promised, recognized, broken, brokenKnown int
	customerArrived, customerLost             [6]int
	waits                                     []time.Duration
}

// viewedEngine is what a gateway saw of an engine.
type viewedEngine struct {
	away      bool
	seen, own forecaster.Work
}

// generation is a request of the model.
type generation struct {
	id       int
	memory   currantwood.TokenCount
	stay     time.Duration
	customer int
	retried  bool
	promised bool
	// told is whether the client has come back at the time it was told.
	told  bool
	work  forecaster.Work
	since time.Time
}

// running is a generation at an engine, which queues it until it has room.
type running struct {
	engine, gateway int
	memory          currantwood.TokenCount
	stay            time.Duration
	arrived, sent   time.Time
	begun           bool
	ends            time.Time
}

// model is a fleet without a network.
type model struct {
	load
	random   *rand.Rand
	now      time.Time
	gateway  []*modelGateway
	inFlight []running
	history  [][]forecaster.Work // of all gateways by tick, engine
	result   result
	retries  map[int64][]retry
	// shared holds the promises of which the collector has heard.
	shared []forecaster.SharedPromise
}

type retry struct {
	g       *generation
	gateway int
}

type modelGateway struct {
	m          *model
	index      int
	own        []forecaster.Work
	others     []forecaster.Work
	ownHistory [][]forecaster.Work
	keeper     *Keeper
	forecaster *forecaster.Forecaster
	waiting    map[Ticket]*generation
	found      int
	// viewed is what room last saw of each engine, at viewedAt; see load.roomAge.
	viewed   []viewedEngine
	viewedAt time.Time
}

func newModel(l load, seed int64) *model {
	m := &model{load: l, random: rand.New(rand.NewSource(seed)), now: modelStart, retries: make(map[int64][]retry)}
	for i := range l.gateways {
		f := forecaster.New()
		m.gateway = append(m.gateway, &modelGateway{
			m: m, index: i, own: make([]forecaster.Work, l.engines), others: make([]forecaster.Work, l.engines),
			forecaster: f, keeper: New(7<<20, f, m.random), waiting: make(map[Ticket]*generation),
		})
	}
	return m
}

// newGeneration draws a generation: most are short, some take 20 times as long.
func (m *model) newGeneration() *generation {
	output := math.Exp(m.random.NormFloat64()*0.9) * 300
	output = min(4000, max(40, output))
	memory := currantwood.TokenCount(output + 200 + 2500*m.random.Float64())
	customer := 0
	if m.random.Float64() > 0.5 {
		customer = 1 + m.random.Intn(5)
	}
	return &generation{
		id: m.random.Int(), memory: memory, stay: time.Duration(output*8) * time.Millisecond,
		customer: customer, work: forecaster.Work{Requests: 1, Memory: memory},
	}
}

func (m *model) isAway(engine int, t time.Duration) bool { return engine < m.away(t) }

func (m *model) run() result {
	var sumWork float64
	for range 5000 {
		g := m.newGeneration()
		sumWork += float64(g.memory) * g.stay.Seconds()
	}
	perSecond := m.usual * float64(m.engines) * engineMemory / (sumWork / 5000)
	begin := m.now
	for tick := int64(0); time.Duration(tick)*modelTick < m.length; tick++ {
		t := time.Duration(tick) * modelTick
		m.now = begin.Add(t)
		m.endRuns()
		m.beginRuns()
		m.record()
		if t%modelUpdate == 0 {
			m.update()
		}
		if t%modelShare == 0 {
			m.sharePromises()
		}
		for _, r := range m.retries[tick] {
			r.g.retried = true
			m.gateway[r.gateway].arrive(r.g, tick)
		}
		mean := perSecond * m.rate(t) * modelTick.Seconds()
		for m.random.Float64() < mean {
			mean--
			m.gateway[m.random.Intn(m.gateways)].arriveNew(tick)
		}
		for _, g := range m.gateway {
			g.expire(tick)
		}
	}
	return m.result
}

// beginRuns lets engines begin what they have queued, in its order, as far as they have
// room.
func (m *model) beginRuns() {
	used := make([]forecaster.Work, m.engines)
	for _, r := range m.inFlight {
		if r.begun {
			used[r.engine].Add(forecaster.Work{Requests: 1, Memory: r.memory})
		}
	}
	blocked := make([]bool, m.engines)
	for i := range m.inFlight {
		r := &m.inFlight[i]
		if r.begun || blocked[r.engine] {
			continue
		}
		if used[r.engine].Requests >= engineSlots || used[r.engine].Memory+r.memory > engineMemory {
			blocked[r.engine] = true
			continue
		}
		used[r.engine].Add(forecaster.Work{Requests: 1, Memory: r.memory})
		r.begun, r.ends = true, m.now.Add(r.stay)
		if m.now.Sub(r.arrived) > modelTarget {
			m.result.late++
		}
	}
}

func (m *model) elapsed() time.Duration { return m.now.Sub(modelStart) }

// endRuns ends the runs whose time is over.
func (m *model) endRuns() {
	var ended []running
	m.inFlight = slices.DeleteFunc(m.inFlight, func(r running) bool {
		if !r.begun || m.now.Before(r.ends) {
			return false
		}
		ended = append(ended, r)
		return true
	})
	for _, r := range ended {
		g := m.gateway[r.gateway]
		g.own[r.engine].Requests--
		g.own[r.engine].Memory -= r.memory
		g.forecaster.Ended("g", m.now.Sub(r.sent), r.memory)
		if m.waits {
			g.keeper.OfferFreed("g", currantwood.UpstreamID(fmt.Sprint(r.engine)), g)
		}
	}
}

// record keeps what gateways report now.
func (m *model) record() {
	all := make([]forecaster.Work, m.engines)
	for _, g := range m.gateway {
		report := slices.Clone(g.own)
		for _, c := range g.keeper.Claims() {
			var engine int
			_, _ = fmt.Sscanf(string(c.Upstream), "%d", &engine)
			report[engine].Add(c.Work)
		}
		g.ownHistory = append(g.ownHistory, report)
		if len(g.ownHistory) > modelDelay+1 {
			g.ownHistory = g.ownHistory[1:]
		}
		for e, w := range report {
			all[e].Add(w)
		}
	}
	m.history = append(m.history, all)
	if len(m.history) > modelDelay+1 {
		m.history = m.history[1:]
	}
}

// sharePromises sends the promises that gateways gave up to one interval before to all,
// and those that they gave since to the collector. One message in 20 is lost.
func (m *model) sharePromises() {
	for _, g := range m.gateway {
		if m.random.Intn(20) > 0 {
			g.forecaster.Learn(m.now, m.shared)
		}
	}
	m.shared = nil
	for _, g := range m.gateway {
		if m.random.Intn(20) > 0 {
			m.shared = append(m.shared, g.forecaster.Recent(m.now, 128)...)
		}
	}
}

// update gives all gateways the sums of the others, which are late; one in 20 is lost.
func (m *model) update() {
	for _, g := range m.gateway {
		if m.random.Intn(20) == 0 {
			continue
		}
		for e := range g.others {
			sum, own := m.history[0][e], g.ownHistory[0][e]
			g.others[e] = forecaster.Work{Requests: sum.Requests - own.Requests, Memory: sum.Memory - own.Memory}
		}
		g.viewed = nil
		if m.waits {
			g.keeper.OfferUpdate("g", g)
		}
	}
}

func (g *modelGateway) arriveNew(tick int64) {
	r := g.m.newGeneration()
	g.m.result.arrived++
	g.m.result.customerArrived[r.customer]++
	switch {
	case r.memory < 1300:
		g.m.result.smallArrived++
	case r.memory > 2500:
		g.m.result.largeArrived++
	}
	g.arrive(r, tick)
}

// arrive admits a generation, lets it wait or refuses it.
func (g *modelGateway) arrive(r *generation, tick int64) {
	r.since = g.m.now
	r.promised = r.retried && g.m.waits && g.forecaster.Redeem(g.m.now, forecaster.Key(r.id))
	r.told = r.retried && g.m.waits
	if r.told {
		g.m.result.promised++
	}
	if r.promised {
		g.m.result.recognized++
	}
	if g.keeper.Waiting("g") == 0 {
		if engine, ok := g.find(r, -1, -1); ok {
			g.start(r, engine)
			return
		}
	}
	if !g.m.waits {
		g.refuse(r, tick, fixedRetryAfter)
		return
	}
	if g.pass(r) {
		return
	}
	d := g.keeper.Arrive(g.m.now, g.request(r), g.room(r))
	for _, t := range d.Evicted {
		evicted := g.waiting[t]
		delete(g.waiting, t)
		g.refuse(evicted, tick, g.keeper.Forecast(g.m.now, g.request(evicted), g.room(evicted)))
	}
	if d.Reason != Waits {
		g.refuse(r, tick, d.Forecast)
		return
	}
	g.waiting[d.Ticket] = r
	g.keeper.OfferArrived("g", g.room(r), g)
}

// pass sends a generation at once although others wait, if none before it has room.
func (g *modelGateway) pass(r *generation) bool {
	if g.keeper.Waiting("g") == 0 || g.room(r).Open == 0 {
		return false
	}
	held, may := g.keeper.MayPass(g.request(r), g)
	if !may {
		return false
	}
	not := -1
	_, _ = fmt.Sscanf(string(held), "%d", &not)
	engine, ok := g.find(r, -1, not)
	if ok {
		g.start(r, engine)
		g.keeper.Passed(g.request(r))
	}
	return ok
}

func maxWait(r *generation) time.Duration {
	if r.promised {
		return modelPromisedWait
	}
	return modelMaxWait
}

func (g *modelGateway) request(r *generation) Request {
	return Request{
		Group: "g", Customer: currantwood.CustomerID(fmt.Sprint(r.customer)), Promised: r.promised,
		MissedAt: r.since.Add(modelTarget), MaxWait: maxWait(r), Work: r.work, BodyBytes: 4 * int64(r.memory),
	}
}

// refuse lets the client retry once, at the promised time or up to half of it later.
func (g *modelGateway) refuse(r *generation, tick int64, after time.Duration) {
	g.m.result.refused++
	if r.told {
		g.m.result.broken++
		if r.promised {
			g.m.result.brokenKnown++
		}
	}
	if r.retried {
		g.m.result.lost++
		g.m.result.customerLost[r.customer]++
		switch {
		case r.memory < 1300:
			g.m.result.smallLost++
		case r.memory > 2500:
			g.m.result.largeLost++
		}
		return
	}
	if g.m.waits {
		after = min(6*time.Second, max(100*time.Millisecond, RetryAfter(after)))
		g.forecaster.Promise(g.m.now, forecaster.Key(r.id), "g", r.work, after)
	}
	after += time.Duration(0.5*g.m.random.Float64()*float64(after)) + modelTick
	at := tick + int64(after/modelTick) + 1
	gateway := g.index
	if !g.m.sticky {
		gateway = g.m.random.Intn(g.m.gateways)
	}
	g.m.retries[at] = append(g.m.retries[at], retry{r, gateway})
}

// expire refuses what has waited as long as it may.
func (g *modelGateway) expire(tick int64) {
	for t := Ticket(1); t <= g.keeper.last; t++ {
		r := g.waiting[t]
		if r == nil || g.m.now.Sub(r.since) < maxWait(r) {
			continue
		}
		g.keeper.Leave("g", t)
		delete(g.waiting, t)
		g.refuse(r, tick, g.keeper.Forecast(g.m.now, g.request(r), g.room(r)))
	}
}

func (g *modelGateway) seen(engine int) forecaster.Work {
	w := g.own[engine]
	w.Add(g.others[engine])
	return w
}

// find returns the least loaded of five engines that have room.
func (g *modelGateway) find(r *generation, only, not int) (int, bool) {
	best, considered := -1, 0
	for _, e := range g.m.random.Perm(g.m.engines) {
		w := g.seen(e)
		if e == not || only >= 0 && e != only || g.m.isAway(e, g.m.elapsed()) || w.Requests >= engineSlots || w.Memory+r.memory > engineMemory {
			continue
		}
		if best < 0 || w.Memory < g.seen(best).Memory {
			best = e
		}
		if considered++; considered == 5 {
			break
		}
	}
	return best, best >= 0
}

func (g *modelGateway) start(r *generation, engine int) {
	g.own[engine].Add(r.work)
	g.m.inFlight = append(g.m.inFlight, running{engine: engine, gateway: g.index, memory: r.memory, stay: r.stay, arrived: r.since, sent: g.m.now})
	g.m.result.waits = append(g.m.result.waits, g.m.now.Sub(r.since))
}

// Fits implements Placer.
func (g *modelGateway) Fits(t Ticket, c Choice) bool {
	only, not := -1, -1
	_, _ = fmt.Sscanf(string(c.Only), "%d", &only)
	_, _ = fmt.Sscanf(string(c.Not), "%d", &not)
	found, ok := g.find(g.waiting[t], only, not)
	g.found = found
	return ok
}

// Place implements Placer.
func (g *modelGateway) Place(t Ticket) {
	g.start(g.waiting[t], g.found)
	delete(g.waiting, t)
}

// Room implements Placer.
func (g *modelGateway) Room(t Ticket) forecaster.Room { return g.room(g.waiting[t]) }

func (g *modelGateway) Admits(_ Ticket, id currantwood.UpstreamID) bool {
	e, err := strconv.Atoi(string(id))
	return err == nil && !g.m.isAway(e, g.m.elapsed())
}

// view returns what the gateway sees of the engines.
func (g *modelGateway) view() []viewedEngine {
	if g.viewed == nil || g.m.now.Sub(g.viewedAt) >= g.m.roomAge {
		g.viewed, g.viewedAt = make([]viewedEngine, g.m.engines), g.m.now
		for e := range g.viewed {
			g.viewed[e] = viewedEngine{g.m.isAway(e, g.m.elapsed()), g.seen(e), g.own[e]}
		}
	}
	return g.viewed
}

func (g *modelGateway) room(r *generation) forecaster.Room {
	room := forecaster.Room{Gateways: g.m.gateways}
	for e, viewed := range g.view() {
		if viewed.away {
			continue
		}
		w := viewed.seen
		if free := engineMemory - w.Memory; room.Engines == 0 || free > room.RoomiestFree {
			room.Roomiest, room.RoomiestFree = currantwood.UpstreamID(fmt.Sprint(e)), free
		}
		room.Engines++
		room.FreeSlots += max(0, engineSlots-w.Requests)
		room.Total.Add(w)
		room.Own.Add(viewed.own)
		if w.Requests < engineSlots && w.Memory+r.memory <= engineMemory {
			room.Open++
		}
	}
	return room
}

func usualLoad(time.Duration) float64  { return 1 }
func noneAway(time.Duration) int       { return 0 }
func between(t, from, to float64) bool { return t >= from && t < to }

// burst is 2.5 times the usual load for 3 s.
func burst(t time.Duration) float64 {
	if between(t.Seconds(), 10, 13) {
		return 2.5
	}
	return 1
}

// zoneAway takes 7 engines away for 10 s, from the beginning of a burst on.
func zoneAway(t time.Duration) int {
	if between(t.Seconds(), 10, 20) {
		return 7
	}
	return 0
}

func (r result) String() string {
	slices.Sort(r.waits)
	n := len(r.waits)
	return fmt.Sprintf("arrived %d refused %d lost %d late %d, came as told %d recognized %d broken %d (%d recognized), small %d/%d large %d/%d, customers %v/%v, waited p50 %v p99 %v",
		r.arrived, r.refused, r.lost, r.late, r.promised, r.recognized, r.broken, r.brokenKnown, r.smallLost, r.smallArrived, r.largeLost, r.largeArrived,
		r.customerLost, r.customerArrived, r.waits[n/2], r.waits[n*99/100])
}

// sumOf runs a load with some seeds.
func sumOf(l load, seeds int64) result {
	var total result
	for seed := range seeds {
		r := newModel(l, seed).run()
		total.arrived += r.arrived
		total.refused += r.refused
		total.lost += r.lost
		total.late += r.late
		total.promised += r.promised
		total.broken += r.broken
		total.recognized += r.recognized
		total.brokenKnown += r.brokenKnown
		total.smallArrived += r.smallArrived
		total.smallLost += r.smallLost
		total.largeArrived += r.largeArrived
		total.largeLost += r.largeLost
		for i := range r.customerLost {
			total.customerLost[i] += r.customerLost[i]
			total.customerArrived[i] += r.customerArrived[i]
		}
		total.waits = append(total.waits, r.waits...)
	}
	return total
}

// share returns part of all in hundredths.
func share(part, all int) float64 { return 100 * float64(part) / float64(max(1, all)) }

var _ = DescribeTable("Model of a fleet: clients whose requests find no room and come back once",
	func(l load, maxLost float64) {
		l.length = 25 * time.Second
		seeds := int64(76 / l.engines)
		refusing := sumOf(l, seeds)
		l.waits = true
		waiting := sumOf(l, seeds)
		GinkgoWriter.Println("refusing:", refusing, "\nwaiting:", waiting)
		By("losing fewer than without waiting")
		Expect(share(waiting.lost, waiting.arrived)).To(BeNumerically("<=", maxLost))
		Expect(share(waiting.lost, waiting.arrived)).To(BeNumerically("<=", 0.5*share(refusing.lost, refusing.arrived)))
		By("keeping the promises to refused clients")
		Expect(waiting.broken).To(BeNumerically("<=", max(3, waiting.promised/50)), "2%%, of few at most 3")
		By("serving the largest like the smallest")
		Expect(share(waiting.largeLost, waiting.largeArrived)).To(BeNumerically("<=", 1.5+1.3*share(waiting.smallLost, waiting.smallArrived)))
		By("not letting the customer with half of the requests crowd others out")
		others := share(sum(waiting.customerLost[1:]), sum(waiting.customerArrived[1:]))
		Expect(others).To(BeNumerically("<=", 0.6+share(waiting.customerLost[0], waiting.customerArrived[0])))
		By("not sending more to engines that are full by then, as sums are late")
		Expect(share(waiting.late, waiting.arrived)).To(BeNumerically("<=", 0.5+share(refusing.late, refusing.arrived)))
		Expect(share(waiting.lost+waiting.late, waiting.arrived)).To(BeNumerically("<=", 0.7*share(refusing.lost+refusing.late, refusing.arrived)))
	},
	Entry("2.5 times the usual load for 3 s", load{gateways: 21, engines: 38, usual: 0.75, rate: burst, away: noneAway}, 0.8),
	Entry("a burst while a zone of 7 engines goes away", load{gateways: 21, engines: 38, usual: 0.7, rate: burst, away: zoneAway}, 2.0),
	Entry("the same, when most is in use, and clients that come back to the same gateway", load{gateways: 21, engines: 38, usual: 0.9, rate: burst, away: zoneAway, sticky: true}, 1.0),
	Entry("the same, and clients that come back anywhere", load{gateways: 21, engines: 38, usual: 0.9, rate: burst, away: zoneAway}, 5.5),
	Entry("a burst at two gateways", load{gateways: 2, engines: 38, usual: 0.7, rate: burst, away: noneAway, sticky: true}, 0.1),
	Entry("a burst in a group of four engines", load{gateways: 21, engines: 4, usual: 0.7, rate: burst, away: noneAway, sticky: true}, 0.5),
)

// Guards against forecasts that are worse as they rest on a view of the engines for many
// requests. The fleets are far smaller than those with such views, so that each engine counts
// more.
var _ = DescribeTable("Model of a fleet whose forecasts rest on a view that is up to 50 ms old",
	func(l load) {
		l.length, l.waits = 25*time.Second, true
		seeds := int64(max(2, 76/l.engines))
		fresh := sumOf(l, seeds)
		l.roomAge = 50 * time.Millisecond
		viewed := sumOf(l, seeds)
		GinkgoWriter.Println("fresh: ", fresh, "\nviewed:", viewed)
		Expect(share(viewed.lost, viewed.arrived)).To(BeNumerically("<=", 0.2+1.1*share(fresh.lost, fresh.arrived)))
		Expect(share(viewed.late, viewed.arrived)).To(BeNumerically("<=", 0.2+1.1*share(fresh.late, fresh.arrived)))
		Expect(viewed.broken).To(BeNumerically("<=", max(3, viewed.promised/50)), "2%%, of few at most 3")
	},
	Entry("2.5 times the usual load for 3 s", load{gateways: 21, engines: 38, usual: 0.75, rate: burst, away: noneAway}),
	Entry("a burst while a zone of 7 engines goes away", load{gateways: 21, engines: 38, usual: 0.7, rate: burst, away: zoneAway}),
	Entry("the same, when most is in use", load{gateways: 21, engines: 38, usual: 0.9, rate: burst, away: zoneAway, sticky: true}),
	Entry("a burst at two gateways", load{gateways: 2, engines: 38, usual: 0.7, rate: burst, away: noneAway, sticky: true}),
)

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
