// Package caller carries calls of plain services from an entry to their sides.
// It is the one owner of their retries. A call that may be repeated goes on to
// another upstream when one fails. So does one that may not, because the sides'
// operations log lets at most one of the tries run; but once a try was sent and
// not answered, the caller is never told that the call was not run.
package caller

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/entryserver"
	"github.com/currantwood/currantwood/ledger"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/retrier"
	"github.com/currantwood/currantwood/tracker"
	"github.com/currantwood/currantwood/wire"
)

const (
	step = "caller"
	// answerReserve is the part of a call's time that is kept for the answer's
	// way back, so that a side's verdict at the deadline is still of use.
	answerReserve = 100 * time.Millisecond
	// retryAfterNoUpstream is when to come back while no upstream is in view.
	retryAfterNoUpstream = 2 * time.Second
	// retryAfterUnknown is when to ask for an outcome.
	retryAfterUnknown = time.Second
	// headerReplayed marks the recorded answer of an earlier call.
	headerReplayed = "Idempotent-Replayed"
)

// Options says what a caller needs.
type Options struct {
	Region  currantwood.RegionID
	Tracker *tracker.Tracker
	Retry   retrier.Options
	// Random draws delays of retries and breaks ties. The caller owns it.
	Random *rand.Rand
}

// Caller is safe for concurrent use. It is a distributor.Handler.
type Caller struct {
	options Options

	mu      sync.Mutex
	retrier *retrier.Retrier
	// pending holds the tries that were sent and not answered, by request id
	// on the link.
	pending map[string]*try
}

// New makes a caller without calls.
func New(options Options) *Caller {
	return &Caller{
		options: options,
		retrier: retrier.New(options.Retry, options.Random),
		pending: make(map[string]*try),
	}
}

// Forward returns an answer or a refusal, never both. ctx ends at the call's
// deadline.
func (c *Caller) Forward(ctx context.Context, call entryserver.Call) (*currantwood.ServiceResponse, *currantwood.Refusal) {
	key, refusal := readKey(call.HTTP.Header)
	if refusal != nil {
		return nil, refusal
	}
	if key == "" && !call.Rule.Repeatable {
		return nil, currantwood.NewRefusal(currantwood.KindKeyRequired, step, "This call may run only once, so it needs an Idempotency-Key.", 0)
	}
	frame := newCall(call, key)
	return c.run(ctx, &trip{
		request:    call.Request,
		group:      call.Rule.Group,
		deadline:   call.Arrival.Add(call.Rule.Deadline),
		repeatable: call.Rule.Repeatable,
		operation:  operationID(call, key),
		frame: func(id string, left time.Duration) *wire.Frame {
			frame.RequestId = id
			frame.DeadlineMs = left.Milliseconds()
			return &wire.Frame{Body: &wire.Frame_Call{Call: frame}}
		},
	})
}

// Ask returns the recorded answer of an operation of the rule, or a refusal that
// says what is known. It runs nothing.
func (c *Caller) Ask(ctx context.Context, request currantwood.RequestID, scope ledger.Scope, rule currantwood.Rule) (*currantwood.ServiceResponse, *currantwood.Refusal) {
	deadline, _ := ctx.Deadline()
	ask := &wire.Ask{
		Customer: string(scope.Customer), Rule: string(scope.Rule),
		OperationKey: string(scope.Key), WindowMs: rule.Window.Milliseconds(),
	}
	return c.run(ctx, &trip{
		request:    request,
		group:      rule.Group,
		deadline:   deadline,
		repeatable: true,
		ask:        true,
		operation:  scope.OperationID(),
		frame: func(id string, _ time.Duration) *wire.Frame {
			ask.RequestId = id
			return &wire.Frame{Body: &wire.Frame_Ask{Ask: ask}}
		},
	})
}

// Up is called for each new link.
func (c *Caller) Up(*linker.Link) {}

// Frame takes in the answers of sides.
func (c *Caller) Frame(_ *linker.Link, frame *wire.Frame) bool {
	answer := frame.GetAnswer()
	if answer == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.pending[answer.RequestId]; t != nil {
		delete(c.pending, answer.RequestId)
		t.answer <- answer
	}
	return true
}

// Down ends the tries on a closed link without an answer.
func (c *Caller) Down(link *linker.Link, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.pending {
		if t.link == link {
			delete(c.pending, id)
			close(t.answer)
		}
	}
}

// newCall makes the frame that every try sends. The caller's key for
// currantwood stays here.
func newCall(call entryserver.Call, key currantwood.OperationKey) *wire.Call {
	header := call.HTTP.Header.Clone()
	header.Del("Authorization")
	return &wire.Call{
		Customer:     string(call.Customer),
		Rule:         string(call.Rule.ID),
		Repeatable:   call.Rule.Repeatable,
		OperationKey: string(key),
		Fingerprint:  uint64(fingerprint(call)),
		WindowMs:     call.Rule.Window.Milliseconds(),
		Method:       call.HTTP.Method,
		Path:         call.HTTP.URL.RequestURI(),
		Headers:      wire.FromHeader(header),
		Body:         call.Body,
	}
}

// fingerprint tells inputs apart that come under the same key.
func fingerprint(call entryserver.Call) currantwood.Fingerprint {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%s\n%s\n%s\n", call.HTTP.Method, call.HTTP.URL.RequestURI(), call.HTTP.Header.Get("Content-Type"))
	_, _ = digest.Write(call.Body)
	return currantwood.Fingerprint(digest.Sum64())
}

func operationID(call entryserver.Call, key currantwood.OperationKey) string {
	if call.Rule.Repeatable {
		return ""
	}
	return ledger.Scope{Customer: call.Customer, Rule: call.Rule.ID, Key: key}.OperationID()
}
