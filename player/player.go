// Package player plays requests against running entries as their callers would,
// reconnects where a connection is cut, and counts what the callers saw. The
// counts rest on the text that engine stand-ins write, "index:mark ", and never
// on the system's own word.
package player

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/sleeper"
)

const (
	// maxReconnects bounds the reconnects of one request in a row.
	maxReconnects = 20
	// reconnectWait is the pause before a reconnect.
	reconnectWait = 100 * time.Millisecond
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 64 << 20
)

// Request is one request to play.
type Request struct {
	// At is the time from the start at which it is sent.
	At time.Duration
	// Entry is the index of the entry that gets it first.
	Entry    int
	Customer currantwood.CustomerID
	// Key is sent in Authorization.
	Key          string
	Method, Path string
	Body         string
	// Operation is sent as Idempotency-Key; empty sends none.
	Operation string
	// Tokens is the expected number of tokens; 0 for calls of plain services.
	Tokens uint64
	// Stream says that Body asks for a streamed answer.
	Stream bool
}

// Options say where to play.
type Options struct {
	// Entries are base addresses, as in "http://127.0.0.1:8080".
	Entries []string
	HTTP    *http.Client
	// Progress is called after each request has ended; nil is not called.
	Progress func(ended int)
}

// Player plays requests. It is safe for concurrent use.
type Player struct {
	options Options
}

// New makes a player.
func New(options Options) *Player { return &Player{options: options} }

// Play sends all requests at their times and returns when all have ended or ctx
// is done. A request that has not ended by then counts as given up.
func (p *Player) Play(ctx context.Context, requests []Request) *Report {
	report := NewReport()
	start := time.Now()
	var wait sync.WaitGroup
	ended := 0
	for _, request := range requests {
		if !sleepUntil(ctx, start.Add(request.At)) {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			s := p.one(ctx, request)
			report.mu.Lock()
			defer report.mu.Unlock()
			report.add(request, s)
			ended++
			if p.options.Progress != nil {
				p.options.Progress(ended)
			}
		}()
	}
	wait.Wait()
	report.Elapsed = time.Since(start)
	return report
}

// one plays one request to its end.
func (p *Player) one(ctx context.Context, request Request) *sight {
	s := newSight()
	for try := 0; try <= maxReconnects; try++ {
		if try > 0 && !sleepUntil(ctx, time.Now().Add(reconnectWait)) {
			break
		}
		before := s.tokens
		p.send(ctx, request, (request.Entry+try)%len(p.options.Entries), s)
		if s.outcome != outcomeCut || !mayReconnect(request, s) {
			return s
		}
		if s.tokens > before {
			try = 0
		}
		s.reconnects++
	}
	if ctx.Err() != nil {
		s.outcome = outcomeGivenUp
	}
	return s
}

// mayReconnect says whether a caller would ask again after a cut connection:
// with the position that it reached, or with the same operation key, or where
// nothing was seen yet.
func mayReconnect(request Request, s *sight) bool {
	return s.lastEventID != "" || request.Operation != "" || s.tokens == 0
}

func (p *Player) send(ctx context.Context, request Request, entry int, s *sight) {
	s.outcome = outcomeCut
	out, err := http.NewRequestWithContext(ctx, request.Method, p.options.Entries[entry]+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return
	}
	out.Header.Set("Authorization", "Bearer "+request.Key)
	out.Header.Set("Content-Type", "application/json")
	if request.Operation != "" {
		out.Header.Set("Idempotency-Key", `"`+request.Operation+`"`)
	}
	if s.lastEventID != "" {
		out.Header.Set("Last-Event-ID", s.lastEventID)
	}
	response, err := p.options.HTTP.Do(out)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	p.receive(request, response, s)
}

func (p *Player) receive(request Request, response *http.Response, s *sight) {
	if response.StatusCode != http.StatusOK {
		s.refused(response)
		return
	}
	if request.Stream {
		s.readStream(response.Body)
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return
	}
	s.whole(request, body)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return sleeper.Sleep(ctx, time.Until(at))
}
