// Package player sends requests to running entries as clients would, reconnects
// while it has neither a complete response nor a typed error, and counts what the
// clients observed. It counts tokens
// only by the text "index:mark " that the engine stand-ins generate, where mark
// identifies the generation, and not by what the system under test reports.
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
	// maxReconnects limits the successive reconnects of one request without a new
	// token.
	maxReconnects = 20
	// reconnectDelay is the delay before each reconnect.
	reconnectDelay = 100 * time.Millisecond
	// maxResponseBytes limits the size of a response that is not streamed.
	maxResponseBytes = 64 << 20
)

// Request describes one request to send.
type Request struct {
	// At is when to send the request, as an offset from the start of Play.
	At time.Duration
	// Entry is the index in Options.Entries of the entry to try first.
	Entry int
	// Customer is not sent; it is for the code that builds the requests.
	Customer currantwood.CustomerID
	// APIKey is sent as the bearer token in the Authorization header.
	APIKey       string
	Method, Path string
	Body         string
	// OperationKey is sent as the Idempotency-Key header; empty sends none.
	OperationKey string
	// Tokens is the expected number of tokens; 0 for requests to plain services.
	Tokens uint64
	// Stream tells whether Body asks for a streamed response.
	Stream bool
}

// Options configures a Player.
type Options struct {
	// Entries holds the base URLs of the entries, such as "http://127.0.0.1:8080".
	Entries []string
	HTTP    *http.Client
	// Progress, if not nil, is called after each request with the number of
	// requests that have ended. Calls do not overlap.
	Progress func(ended int)
}

// Player sends requests to entries and reports what clients observe. It is safe
// for concurrent use.
type Player struct {
	options Options
}

// New returns a player that sends to options.Entries.
func New(options Options) *Player { return &Player{options: options} }

// Play sends each request at its time and returns when all have ended or ctx is done.
// requests must be sorted by At. Requests that were sent but have not ended when ctx
// is done count as given up, or as cut off if a client could not reconnect. Requests
// that were not sent are not counted.
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
			o := p.playRequest(ctx, request)
			report.mu.Lock()
			defer report.mu.Unlock()
			report.addRequest(request, o)
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

// playRequest sends one request, reconnects as a client would, and returns what the
// client observed.
func (p *Player) playRequest(ctx context.Context, request Request) *observation {
	o := newObservation()
	// The counter also selects the entry. After a new token it is reset, so the next
	// reconnect goes to the entry after request.Entry again.
	for reconnectsWithoutToken := 0; reconnectsWithoutToken <= maxReconnects; reconnectsWithoutToken++ {
		if reconnectsWithoutToken > 0 && !sleepUntil(ctx, time.Now().Add(reconnectDelay)) {
			break
		}
		before := o.tokens
		p.send(ctx, request, (request.Entry+reconnectsWithoutToken)%len(p.options.Entries), o)
		if o.outcome != outcomeCutOff || !canReconnect(request, o) {
			return o
		}
		if o.tokens > before {
			reconnectsWithoutToken = 0
		}
		o.reconnects++
	}
	if ctx.Err() != nil {
		o.outcome = outcomeGivenUp
	}
	return o
}

// canReconnect reports whether a client would send the request again after an
// incomplete response: it has an event ID to resume from, an operation key, or has
// not received a token yet.
func canReconnect(request Request, o *observation) bool {
	return o.lastEventID != "" || request.OperationKey != "" || o.tokens == 0
}

// send makes one attempt at an entry and records the response. Without a complete
// response or a typed error, the outcome is outcomeCutOff.
func (p *Player) send(ctx context.Context, request Request, entry int, o *observation) {
	o.outcome = outcomeCutOff
	out, err := http.NewRequestWithContext(ctx, request.Method, p.options.Entries[entry]+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return
	}
	out.Header.Set("Authorization", "Bearer "+request.APIKey)
	out.Header.Set("Content-Type", "application/json")
	if request.OperationKey != "" {
		out.Header.Set("Idempotency-Key", `"`+request.OperationKey+`"`)
	}
	if o.lastEventID != "" {
		out.Header.Set("Last-Event-ID", o.lastEventID)
	}
	response, err := p.options.HTTP.Do(out)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	p.readResponse(request, response, o)
}

func (p *Player) readResponse(request Request, response *http.Response, o *observation) {
	if response.StatusCode != http.StatusOK {
		o.readRefusal(response)
		return
	}
	if request.Stream {
		o.readStream(response.Body)
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return
	}
	o.recordBody(request, body)
}

// sleepUntil reports whether the time was reached before ctx was done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return sleeper.Sleep(ctx, time.Until(at))
}
