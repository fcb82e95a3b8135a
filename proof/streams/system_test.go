package streams_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/entrystarter"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/sidestarter"
	"github.com/currantwood/currantwood/standin/engine"
	"github.com/currantwood/currantwood/standin/interrupter"
	"github.com/currantwood/currantwood/standin/vmlist"
)

const (
	// stepTimeout bounds each wait of a spec and is the deadline of the requests. It
	// is far longer than either takes.
	stepTimeout = 60 * time.Second
	group       = "writers"
	model       = "court-summary"
)

// apiKey returns the API key of a customer.
func apiKey(customer string) string { return customer + "-key" }

var rules = currantwood.Rules{
	Customers: []currantwood.Customer{
		{ID: "chambers", KeyHash: matcher.HashAPIKey(apiKey("chambers")), Weight: 1, AskedBy: "test"},
		{ID: "registry", KeyHash: matcher.HashAPIKey(apiKey("registry")), Weight: 1, AskedBy: "test"},
	},
	Rules: []currantwood.Rule{{
		ID: "summaries", Method: http.MethodPost, Path: "/v1/*", Model: model, Group: group,
		Class: currantwood.ClassStream, Repeatable: true, Priority: 5, Deadline: stepTimeout, AskedBy: "test",
	}},
}

// system is a set of entries, sides and engines with an interrupter in front of each.
// Clients can also connect to an entry directly, and the VM list is read directly.
type system struct {
	vms      *vmlist.List
	vmServer *httptest.Server
	engines  []*engineNode
	entries  []*entryNode

	mu sync.Mutex
	// toSides holds the interrupter in front of each side, by link address.
	toSides map[string]*interrupter.Interrupter
}

// engineNode is an engine with the side beside it.
type engineNode struct {
	id     currantwood.UpstreamID
	engine *engine.Engine
	server *httptest.Server
	// toEngine is the interrupter in front of server.
	toEngine *interrupter.Interrupter
	side     *sidestarter.Side
	// sidesKilled is how many sides of this engine were killed.
	sidesKilled int
	// disconnected is set by disconnect. A connection that the interrupter was setting
	// up at that time may still reach the server; its requests get 404, as for a
	// stream that the engine doesn't know.
	disconnected atomic.Bool
}

type entryNode struct {
	*entrystarter.Entry
	// toEntry is the interrupter in front of the entry's address for clients.
	toEntry *interrupter.Interrupter
	dead    bool
}

// newSystem starts engines with a side each, and entries, and waits until every
// entry has a link to every side.
func newSystem(engines, entries int, tokensPerSecond int) *system {
	sys := &system{vms: vmlist.New(), toSides: make(map[string]*interrupter.Interrupter)}
	sys.vmServer = httptest.NewServer(sys.vms)
	DeferCleanup(sys.vmServer.Close)
	for i := range engines {
		sys.addEngine(i, tokensPerSecond)
	}
	for i := range entries {
		sys.addEntry(i)
	}
	for _, e := range sys.entries {
		Eventually(func() int { return sys.sideCount(e) }, stepTimeout).Should(Equal(engines))
	}
	return sys
}

func (sys *system) settings(process string) settingsreader.Settings {
	s := settingsreader.Defaults()
	s.Process, s.VM = process, "vm-"+process
	s.Region, s.Zone = "kingston", "kingston-a"
	s.Listen = settingsreader.Listen{Callers: "127.0.0.1:0", Links: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Platform.VMList = sys.vmServer.URL
	s.Platform.VMListInterval = settingsreader.Duration(50 * time.Millisecond)
	s.Links.Heartbeat = settingsreader.Duration(100 * time.Millisecond)
	s.Links.Silence = settingsreader.Duration(500 * time.Millisecond)
	s.Shutdown.BalancerLag = settingsreader.Duration(2 * time.Second)
	return s
}

func (sys *system) addEngine(i, tokensPerSecond int) {
	options := engine.DefaultOptions()
	options.Model = model
	options.Faults.TokensPerSecond = tokensPerSecond
	n := &engineNode{id: currantwood.UpstreamID(fmt.Sprintf("writer-%d", i)), engine: engine.New(options)}
	n.server = httptest.NewServer(n)
	DeferCleanup(n.engine.Close)
	DeferCleanup(func() { n.server.CloseClientConnections(); n.server.Close() })
	n.toEngine = newInterrupter(n.server.Listener.Addr().String())
	sys.engines = append(sys.engines, n)
	sys.startSide(n)
}

// startSide starts the first side of an engine, or the next after one was killed.
func (sys *system) startSide(n *engineNode) {
	s := sys.settings(fmt.Sprintf("side-%s-%d", n.id, n.sidesKilled))
	s.VM = "vm-" + string(n.id)
	s.Side.Upstream, s.Side.Group, s.Side.Model = string(n.id), group, model
	s.Side.Kind = currantwood.UpstreamEngine.String()
	s.Side.Address = "http://" + n.toEngine.Address()
	side, err := sidestarter.New(s, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(side.Kill)
	n.side = side
	sys.mu.Lock()
	sys.toSides[side.LinkAddress()] = newInterrupter(side.LinkAddress())
	sys.mu.Unlock()
	sys.vms.Put(currantwood.VM{
		ID: currantwood.VMID(s.VM), Role: currantwood.RoleSide.String(), Region: "kingston", Zone: "kingston-a",
		Address: side.LinkAddress(), OperatorAddress: side.OperatorAddress(),
		Upstream: n.id, Group: group, Model: model,
	})
}

func (sys *system) addEntry(i int) {
	s := sys.settings(fmt.Sprintf("entry-%d", i))
	entry, err := entrystarter.New(entrystarter.Options{Settings: s, Logger: zap.NewNop(), Dial: sys.dial})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(entry.Kill)
	entry.SetRules(rules)
	sys.entries = append(sys.entries, &entryNode{Entry: entry, toEntry: newInterrupter(entry.ClientAddress())})
}

// dial connects an entry to a link address through its interrupter.
func (sys *system) dial(ctx context.Context, address string) (net.Conn, error) {
	sys.mu.Lock()
	if through := sys.toSides[address]; through != nil {
		address = through.Address()
	}
	sys.mu.Unlock()
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// toSide returns the interrupter in front of an engine's current side.
func (sys *system) toSide(n *engineNode) *interrupter.Interrupter {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	return sys.toSides[n.side.LinkAddress()]
}

// sideCount returns the number of sides that an entry has links to.
func (sys *system) sideCount(e *entryNode) int { return e.LinkedSideCount() }

func (sys *system) killEntry(i int) {
	sys.entries[i].dead = true
	sys.entries[i].Kill()
}

// replaceSide kills the side of an engine and starts a new one.
func (sys *system) replaceSide(n *engineNode) {
	n.side.Kill()
	n.sidesKilled++
	sys.startSide(n)
}

// disconnect makes the engine unreachable for good. The engine itself runs on.
func (n *engineNode) disconnect() {
	n.toEngine.SetRefuse(true)
	n.toEngine.CloseConnections()
	n.disconnected.Store(true)
}

// ServeHTTP passes requests to the engine until disconnect is called.
func (n *engineNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.disconnected.Load() {
		http.NotFound(w, r)
		return
	}
	n.engine.ServeHTTP(w, r)
}

// newInterrupter starts an interrupter in front of target until the spec ends.
func newInterrupter(target string) *interrupter.Interrupter {
	i, err := interrupter.New(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(i.Close)
	return i
}

// requestBody returns the body of a request for count tokens.
func requestBody(stream bool, prompt string, count int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":%v,"standin-tokens":%d}`, model, prompt, stream, count)
}
