// Package headserver keeps the rules of a process up to date. It passes records of
// the log service to a headkeeper and frames of the process's links to a spreader,
// and puts each new head in force. It never blocks the links.
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

// Options configures a Server.
type Options struct {
	Region currantwood.RegionID
	// Log is nil for a process that gets its rules only over its links.
	Log currantwood.Log
	// Retention is how long the log service keeps a record.
	Retention time.Duration
	// ReaderRank returns whether the process reads the log, and its rank among the
	// readers (not an offset of the log), given the peers that are connected. It is unused if Log is nil.
	ReaderRank func(peers []*wire.Hello) tailer.ReaderRank
	// Apply puts rules in force; nil if the process does not use them. Calls do not
	// overlap, and the revisions of their heads increase.
	Apply func(rules currantwood.Rules)
	// Metrics gets "rules-revision", the revision in force, and
	// "rules-unreadable", which is 1 while a later head can't be parsed.
	Metrics metrics.Registry
	Logger  *zap.Logger
}

// Server keeps the rules of a process up to date. It is a distributor.Handler.
type Server struct {
	options      Options
	tailer       *tailer.Tailer
	eventsQueued chan struct{}
	headChanged  chan struct{}
	done         chan struct{}
	// closeOnce closes done.
	closeOnce  sync.Once
	goroutines sync.WaitGroup

	mu sync.Mutex
	// keeper follows the log, and spreader exchanges heads with the peers. The
	// spreader's head is never lower than the keeper's.
	keeper   *headkeeper.Keeper
	spreader *spreader.Spreader
	// linkNames holds the name of each link that is up.
	linkNames   map[*linker.Link]string
	linksByName map[string]*linker.Link
	// lastLinkNumber makes the names of links unique.
	lastLinkNumber int

	queueMu sync.Mutex
	// queue holds the events that the loop has not handled yet.
	queue []event

	inForceMu sync.Mutex
	// headInForce is zero before the first head.
	headInForce currantwood.RulesHead
	// unreadable is the error that kept the latest head from being put in force;
	// nil if it is in force.
	unreadable error
}

// event is a call of Up, Down or Frame.
type event struct {
	link *linker.Link
	// frame is nil for Up and Down.
	frame *wire.Frame
	// up is true for Up.
	up bool
}

// New starts a server. Close stops it.
func New(options Options) *Server {
	s := &Server{
		options:      options,
		eventsQueued: make(chan struct{}, 1),
		headChanged:  make(chan struct{}, 1),
		done:         make(chan struct{}),
		keeper:       headkeeper.New(headkeeper.Options{Retention: options.Retention}),
		spreader: spreader.New(spreader.Options{
			Region: options.Region,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		linkNames:   make(map[*linker.Link]string),
		linksByName: make(map[string]*linker.Link),
	}
	s.goroutines.Add(2)
	go func() {
		defer s.goroutines.Done()
		s.loop()
	}()
	go func() {
		defer s.goroutines.Done()
		s.applyHeads()
	}()
	if options.Log != nil {
		s.tailer = tailer.New(tailer.Options{
			Log: options.Log, ReaderRank: s.readerRank, Logger: options.Logger,
			NextOffset: s.nextOffset, HandleBatch: s.feed, Checkpoint: s.checkpoint,
		})
	}
	return s
}

// Close stops the server and waits for its goroutines. It may be called more than
// once.
func (s *Server) Close() {
	if s.tailer != nil {
		s.tailer.Close()
	}
	s.closeOnce.Do(func() { close(s.done) })
	s.goroutines.Wait()
}

// Head returns the head in force. Its revision is 0 before the first one.
func (s *Server) Head() currantwood.RulesHead {
	s.inForceMu.Lock()
	defer s.inForceMu.Unlock()
	return s.headInForce
}

// Up adds a link.
func (s *Server) Up(link *linker.Link) {
	s.enqueue(event{link: link, up: true})
}

// Down removes a link.
func (s *Server) Down(link *linker.Link, _ error) {
	s.enqueue(event{link: link})
}

// Frame queues a frame if it is about heads, and reports whether it is.
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
	signal(s.eventsQueued)
}

// loop passes events and clock ticks to the spreader.
func (s *Server) loop() {
	ticker := time.NewTicker(spreader.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.eventsQueued:
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

// handle passes an event to the spreader, and a new head to the keeper too. The
// caller must hold mu.
func (s *Server) handle(now time.Time, e event) {
	name, known := s.linkNames[e.link]
	switch {
	case e.up:
		s.lastLinkNumber++
		name = fmt.Sprintf("%s#%d", e.link.Peer().Process, s.lastLinkNumber)
		s.linkNames[e.link], s.linksByName[name] = name, e.link
		s.send(s.spreader.PeerUp(now, spreader.Peer{ID: name, Region: currantwood.RegionID(e.link.Peer().Region)}))
	case !known:
		// Down or Frame of a link that is not up.
	case e.frame == nil:
		delete(s.linkNames, e.link)
		delete(s.linksByName, name)
		s.send(s.spreader.PeerDown(now, name))
	default:
		before := s.spreader.Snapshot().Head.Revision
		s.send(s.spreader.Handle(now, name, e.frame))
		if snapshot := s.spreader.Snapshot(); snapshot.Head.Revision > before {
			s.keeper.Adopt(snapshot)
			signal(s.headChanged)
		}
	}
}

// send sends frames to links without blocking. It ignores errors: if a link has
// closed, its Down is in the queue or will be. The caller must hold mu.
func (s *Server) send(sends []spreader.OutgoingFrame) {
	for _, send := range sends {
		if link := s.linksByName[send.PeerID]; link != nil {
			_ = link.Send(send.Frame)
		}
	}
}

func (s *Server) readerRank() tailer.ReaderRank {
	s.mu.Lock()
	peers := make([]*wire.Hello, 0, len(s.linkNames))
	for link := range s.linkNames {
		peers = append(peers, link.Peer())
	}
	s.mu.Unlock()
	return s.options.ReaderRank(peers)
}

func (s *Server) nextOffset() currantwood.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.NextOffset()
}

func (s *Server) feed(now time.Time, batch currantwood.RecordBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keeper.Feed(now, batch) {
		return
	}
	snapshot, _ := s.keeper.Snapshot()
	s.send(s.spreader.Adopt(now, snapshot))
	signal(s.headChanged)
}

func (s *Server) checkpoint(now time.Time, rank int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keeper.CheckpointDue(now, rank) {
		return nil, nil
	}
	return s.keeper.Checkpoint(now)
}

// applyHeads puts each new head in force. It runs beside the loop, since parsing a
// large text would delay the loop for too long.
func (s *Server) applyHeads() {
	for {
		select {
		case <-s.done:
			return
		case <-s.headChanged:
		}
		s.mu.Lock()
		head := s.spreader.Snapshot().Head
		s.mu.Unlock()
		if head.Revision > s.Head().Revision {
			s.apply(head)
		}
	}
}

// apply puts a head in force. If its text can't be parsed, the previous rules stay
// in force. The publish command parses a text first, so this happens only to a text
// that was published in another way or by another version of the command.
func (s *Server) apply(head currantwood.RulesHead) {
	fields := []zap.Field{zap.Uint64("revision", uint64(head.Revision)), zap.String("publication", string(head.Publication))}
	rules, err := parser.Parse(head.Text)
	if err == nil && s.options.Apply != nil {
		s.options.Apply(rules)
	}
	s.inForceMu.Lock()
	s.unreadable = err
	if err == nil {
		s.headInForce = head
	}
	s.inForceMu.Unlock()
	s.updateMetrics()
	if err != nil {
		s.options.Logger.Error("can't parse published rules, rules in force stay unchanged", append(fields, zap.Error(err))...)
		return
	}
	s.options.Logger.Info("rules in force", fields...)
}

func (s *Server) updateMetrics() {
	s.inForceMu.Lock()
	defer s.inForceMu.Unlock()
	unreadable := int64(0)
	if s.unreadable != nil {
		unreadable = 1
	}
	metrics.GetOrRegisterGauge("rules-revision", s.options.Metrics).Update(int64(s.headInForce.Revision))
	metrics.GetOrRegisterGauge("rules-unreadable", s.options.Metrics).Update(unreadable)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
