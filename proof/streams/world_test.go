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
	// bound is far above what any step takes.
	bound = 60 * time.Second
	group = "writers"
	model = "court-summary"
)

// key is the caller's key of a customer.
func key(customer string) string { return customer + "-key" }

var rules = currantwood.Rules{
	Customers: []currantwood.Customer{
		{ID: "chambers", KeyHash: matcher.HashKey(key("chambers")), Weight: 1, AskedBy: "test"},
		{ID: "registry", KeyHash: matcher.HashKey(key("registry")), Weight: 1, AskedBy: "test"},
	},
	Rules: []currantwood.Rule{{
		ID: "summaries", Method: http.MethodPost, Path: "/v1/*", Model: model, Group: group,
		Class: currantwood.ClassStream, Repeatable: true, Priority: 5, Deadline: bound, AskedBy: "test",
	}},
}

// world is a system whose every connection passes an interrupter.
type world struct {
	vms     *vmlist.List
	list    *httptest.Server
	engines []*engineNode
	entries []*entryNode

	mu sync.Mutex
	// links holds the interrupter in front of each link address.
	links map[string]*interrupter.Interrupter
}

type engineNode struct {
	id      currantwood.UpstreamID
	engine  *engine.Engine
	server  *httptest.Server
	between *interrupter.Interrupter
	side    *sidestarter.Side
	// kills counts the sides that were killed.
	kills int
	// dead makes the engine answer nothing any more.
	dead atomic.Bool
}

type entryNode struct {
	*entrystarter.Entry
	// callers stands between callers and the entry.
	callers *interrupter.Interrupter
	dead    bool
}

func newWorld(engines, entries int, tokensPerSecond int) *world {
	w := &world{vms: vmlist.New(), links: make(map[string]*interrupter.Interrupter)}
	w.list = httptest.NewServer(w.vms)
	DeferCleanup(w.list.Close)
	for i := range engines {
		w.addEngine(i, tokensPerSecond)
	}
	for i := range entries {
		w.addEntry(i)
	}
	for _, e := range w.entries {
		Eventually(func() int { return w.sidesSeenBy(e) }, bound).Should(Equal(engines))
	}
	return w
}

func (w *world) settings(process string) settingsreader.Settings {
	s := settingsreader.Defaults()
	s.Process, s.VM = process, "vm-"+process
	s.Region, s.Zone = "kingston", "kingston-a"
	s.Listen = settingsreader.Listen{Callers: "127.0.0.1:0", Links: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Platform.VMList = w.list.URL
	s.Platform.VMListInterval = settingsreader.Duration(50 * time.Millisecond)
	s.Links.Heartbeat = settingsreader.Duration(100 * time.Millisecond)
	s.Links.Silence = settingsreader.Duration(500 * time.Millisecond)
	s.Shutdown.BalancerLag = settingsreader.Duration(2 * time.Second)
	return s
}

func (w *world) addEngine(i, tokensPerSecond int) {
	options := engine.DefaultOptions()
	options.Model = model
	options.Faults.TokensPerSecond = tokensPerSecond
	n := &engineNode{id: currantwood.UpstreamID(fmt.Sprintf("writer-%d", i)), engine: engine.New(options)}
	n.server = httptest.NewServer(n)
	DeferCleanup(n.engine.Close)
	DeferCleanup(func() { n.server.CloseClientConnections(); n.server.Close() })
	n.between = between(n.server.Listener.Addr().String())
	w.engines = append(w.engines, n)
	w.startSide(n)
}

// startSide starts a side beside an engine, in place of one that was killed.
func (w *world) startSide(n *engineNode) {
	s := w.settings(fmt.Sprintf("side-%s-%d", n.id, n.kills))
	s.VM = "vm-" + string(n.id)
	s.Side.Upstream, s.Side.Group, s.Side.Model = string(n.id), group, model
	s.Side.Kind = currantwood.UpstreamEngine.String()
	s.Side.Address = "http://" + n.between.Address()
	side, err := sidestarter.New(s, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(side.Kill)
	n.side = side
	w.mu.Lock()
	w.links[side.LinkAddress()] = between(side.LinkAddress())
	w.mu.Unlock()
	w.vms.Put(currantwood.VM{
		ID: currantwood.VMID(s.VM), Role: currantwood.RoleSide.String(), Region: "kingston", Zone: "kingston-a",
		Address: side.LinkAddress(), OperatorAddress: side.OperatorAddress(),
		Upstream: n.id, Group: group, Model: model,
	})
}

func (w *world) addEntry(i int) {
	s := w.settings(fmt.Sprintf("entry-%d", i))
	entry, err := entrystarter.New(entrystarter.Options{Settings: s, Logger: zap.NewNop(), Dial: w.dial})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(entry.Kill)
	entry.SetRules(rules)
	w.entries = append(w.entries, &entryNode{Entry: entry, callers: between(entry.CallerAddress())})
}

// dial connects an entry to a link address through its interrupter.
func (w *world) dial(ctx context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	if b := w.links[address]; b != nil {
		address = b.Address()
	}
	w.mu.Unlock()
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// link is the interrupter in front of an engine's present side.
func (w *world) link(n *engineNode) *interrupter.Interrupter {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links[n.side.LinkAddress()]
}

// sidesSeenBy counts the sides that an entry has load reports of.
func (w *world) sidesSeenBy(e *entryNode) int { return e.Sides() }

func (w *world) killEntry(i int) {
	w.entries[i].dead = true
	w.entries[i].Kill()
}

func (w *world) killSide(n *engineNode) {
	n.side.Kill()
	n.kills++
	w.startSide(n)
}

func (n *engineNode) kill() {
	n.between.SetRefuse(true)
	n.between.CutOpen()
	n.dead.Store(true)
}

// ServeHTTP hands requests to the engine until it was killed.
func (n *engineNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.dead.Load() {
		http.NotFound(w, r)
		return
	}
	n.engine.ServeHTTP(w, r)
}

func between(target string) *interrupter.Interrupter {
	b, err := interrupter.New(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(b.Close)
	return b
}

// body is a request for a stream of count tokens.
func body(stream bool, name string, count int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":%v,"standin-tokens":%d}`, model, name, stream, count)
}
