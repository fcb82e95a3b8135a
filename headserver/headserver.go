// Package headserver is the shell that keeps a process's rules up to date: it
// connects the log service and the links of the process with the cores that
// decide on the head, and puts each new head in force. Links never wait for it.
package headserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/parser"
	"github.com/currantwood/currantwood/spreader"
	"github.com/currantwood/currantwood/tailer"
	"github.com/currantwood/currantwood/wire"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Options says where a process gets its rules and what it does with them.
type Options struct {
	Region currantwood.RegionID
	// Log is nil for a process that has its rules from its peers alone.
	Log currantwood.Log
	// Retention is how long the log service keeps a record.
	Retention time.Duration
	// Position says whether the process reads the log, given its live peers;
	// unused without Log.
	Position func(peers []*wire.Hello) tailer.Position
	// Apply puts rules in force; nil where the process has no use for them. It
	// is called for one head at a time, each higher than the last.
	Apply func(rules currantwood.Rules)
	// Metrics takes "rules-revision", the revision in force, and
	// "rules-unreadable", 1 while a later head can't be read.
	Metrics metrics.Registry
	Logger  *zap.Logger
}

// Server keeps the rules of one process. It is a distributor.Handler.
type Server struct {
	options Options
	tailer  *tailer.Tailer
	wake    chan struct{}
	fresh   chan struct{}
	done    chan struct{}
	// closeOnce guards done.
	closeOnce sync.Once
	wait      sync.WaitGroup

	mu sync.Mutex
	// keeper is what the log shows, spreader what the peers have. The
	// spreader's head is never lower.
	keeper   *headkeeper.Keeper
	spreader *spreader.Spreader
	// names holds each link between its Up and its Down.
	names map[*linker.Link]string
	links map[string]*linker.Link
	// number makes names unique.
	number int

	queueMu sync.Mutex
	// queue holds what the links brought and the loop has not seen yet.
	queue []event

	forceMu sync.Mutex
	// force is the head in force; zero before the first one.
	force currantwood.RulesHead
	// unreadable says why a later head is not in force; nil when there is none.
	unreadable error
}

// event is one call of the distributor.
type event struct {
	link *linker.Link
	// frame is nil for the first and the last event of a link.
	frame *wire.Frame
	up    bool
}

// New starts a server. Close ends it.
func New(options Options) *Server {
	s := &Server{
		options: options,
		wake:    make(chan struct{}, 1),
		fresh:   make(chan struct{}, 1),
		done:    make(chan struct{}),
		keeper:  headkeeper.New(headkeeper.Options{Retention: options.Retention}),
		spreader: spreader.New(spreader.Options{
			Region: options.Region,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		names: make(map[*linker.Link]string),
		links: make(map[string]*linker.Link),
	}
	s.wait.Add(2)
	go func() {
		defer s.wait.Done()
		s.loop()
	}()
	go func() {
		defer s.wait.Done()
		s.applyAll()
	}()
	if options.Log != nil {
		s.tailer = tailer.New(tailer.Options{
			Log: options.Log, Position: s.position, Logger: options.Logger,
			Want: s.want, Feed: s.feed, Checkpoint: s.checkpoint,
		})
	}
	return s
}

// Close ends the server and waits for its goroutines. It may be called again.
func (s *Server) Close() {
	if s.tailer != nil {
		s.tailer.Close()
	}
	s.closeOnce.Do(func() { close(s.done) })
	s.wait.Wait()
}

// Head returns the head in force; its revision is 0 before there is one.
func (s *Server) Head() currantwood.RulesHead {
	s.forceMu.Lock()
	defer s.forceMu.Unlock()
	return s.force
}

// Up takes in a link.
func (s *Server) Up(link *linker.Link) {
	s.enqueue(event{link: link, up: true})
}

// Down takes out a link.
func (s *Server) Down(link *linker.Link, _ error) {
	s.enqueue(event{link: link})
}

// Frame takes the frames that carry heads.
func (s *Server) Frame(link *linker.Link, frame *wire.Frame) bool {
	switch frame.Body.(type) {
	case *wire.Frame_HeadOffer, *wire.Frame_HeadFetch, *wire.Frame_HeadText:
		s.enqueue(event{link: link, frame: frame})
		return true
	}
	return false
}

func (s *Server) enqueue(e event) {
	s.queueMu.Lock()
	s.queue = append(s.queue, e)
	s.queueMu.Unlock()
	signal(s.wake)
}

// loop feeds the spreader with events and time.
func (s *Server) loop() {
	ticker := time.NewTicker(spreader.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
			s.handleQueue(time.Now())
		case now := <-ticker.C:
			s.mu.Lock()
			s.send(s.spreader.Tick(now))
			s.mu.Unlock()
		}
	}
}

func (s *Server) handleQueue(now time.Time) {
	s.queueMu.Lock()
	queue := s.queue
	s.queue = nil
	s.queueMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range queue {
		s.handle(now, e)
	}
}

// handle is called with mu held.
func (s *Server) handle(now time.Time, e event) {
	name, known := s.names[e.link]
	switch {
	case e.up:
		s.number++
		name = fmt.Sprintf("%s#%d", e.link.Peer().Process, s.number)
		s.names[e.link], s.links[name] = name, e.link
		s.send(s.spreader.PeerUp(now, spreader.Peer{ID: name, Region: currantwood.RegionID(e.link.Peer().Region)}))
	case !known:
	case e.frame == nil:
		delete(s.names, e.link)
		delete(s.links, name)
		s.send(s.spreader.PeerDown(now, name))
	default:
		before := s.spreader.Anchor().Head.Revision
		s.send(s.spreader.Handle(now, name, e.frame))
		if anchor := s.spreader.Anchor(); anchor.Head.Revision > before {
			s.keeper.Adopt(anchor)
			signal(s.fresh)
		}
	}
}

// send is called with mu held; links do not block. A frame for a link that
// just closed is lost, and its end is on its way through the queue.
func (s *Server) send(sends []spreader.Send) {
	for _, send := range sends {
		if link := s.links[send.Peer]; link != nil {
			_ = link.Send(send.Frame)
		}
	}
}

func (s *Server) position() tailer.Position {
	s.mu.Lock()
	peers := make([]*wire.Hello, 0, len(s.names))
	for link := range s.names {
		peers = append(peers, link.Peer())
	}
	s.mu.Unlock()
	return s.options.Position(peers)
}

func (s *Server) want() currantwood.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Want()
}

func (s *Server) feed(now time.Time, window currantwood.RecordBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keeper.Feed(now, window) {
		return
	}
	anchor, _ := s.keeper.Anchor()
	s.send(s.spreader.Adopt(now, anchor))
	signal(s.fresh)
}

func (s *Server) checkpoint(now time.Time, rank int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keeper.CheckpointDue(now, rank) {
		return nil, nil
	}
	return s.keeper.Checkpoint(now)
}

// applyAll puts each new head in force. Parsing a large text takes too long for
// the loop.
func (s *Server) applyAll() {
	for {
		select {
		case <-s.done:
			return
		case <-s.fresh:
		}
		s.mu.Lock()
		head := s.spreader.Anchor().Head
		s.mu.Unlock()
		if head.Revision > s.Head().Revision {
			s.apply(head)
		}
	}
}

// apply keeps the former rules where the text can't be read, which happens
// only to a text that was not published by a command of this version.
func (s *Server) apply(head currantwood.RulesHead) {
	fields := []zap.Field{zap.Uint64("revision", uint64(head.Revision)), zap.String("publication", string(head.Publication))}
	rules, err := parser.Parse(head.Text)
	if err == nil && s.options.Apply != nil {
		s.options.Apply(rules)
	}
	s.forceMu.Lock()
	s.unreadable = err
	if err == nil {
		s.force = head
	}
	s.forceMu.Unlock()
	s.measure()
	if err != nil {
		s.options.Logger.Error("published rules can't be read, former rules stay in force", append(fields, zap.Error(err))...)
		return
	}
	s.options.Logger.Info("rules in force", fields...)
}

func (s *Server) measure() {
	s.forceMu.Lock()
	defer s.forceMu.Unlock()
	unreadable := int64(0)
	if s.unreadable != nil {
		unreadable = 1
	}
	metrics.GetOrRegisterGauge("rules-revision", s.options.Metrics).Update(int64(s.force.Revision))
	metrics.GetOrRegisterGauge("rules-unreadable", s.options.Metrics).Update(unreadable)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
