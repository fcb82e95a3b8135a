// Package caller forwards calls of plain services (HTTP services other than LLM
// engines) from an entry to the sides of these services. Only this package retries
// them, apart from net/http, which may resend a repeatable call (see package
// serviceclient). After a failure a call may be retried at another upstream, even if
// it must not run twice: the sides' operations log lets at most one of its attempts
// run. Once an attempt was sent and not answered, the client is never told that the
// call was not run.
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
	// step names this package in refusals.
	step = "caller"
	// answerReserve is the time before a call's deadline that is kept for the
	// answer to come back, so that what a side answers at the end of its time
	// still reaches the client. At most a quarter of the time left is kept, so
	// that a short call has most of its time.
	answerReserve = 100 * time.Millisecond
	// retryAfterNoUpstream is the retry delay sent to clients when the group has
	// no upstream that takes calls.
	retryAfterNoUpstream = 2 * time.Second
	// retryAfterNoAnswer is the delay sent to clients when a side didn't answer or
	// the link to it was closed. After it they may ask for the outcome or, if the
	// call was not sent, retry it.
	retryAfterNoAnswer = time.Second
	// headerReplayed marks a response that was recorded for an earlier attempt at
	// the operation.
	headerReplayed = "Idempotent-Replayed"
)

// Options configures a Caller.
type Options struct {
	Region  currantwood.RegionID
	Tracker *tracker.Tracker
	Retry   retrier.Options
	// Random draws retry delays and breaks ties between upstreams. The Caller
	// owns it.
	Random *rand.Rand
}

// Caller forwards calls to sides and retries them. It is a distributor.Handler and
// safe for concurrent use.
type Caller struct {
	options Options

	mu      sync.Mutex
	retrier *retrier.Retrier
	// pending holds the attempts without an answer, by the RequestId of their
	// frames, which is the call's request ID and the number of the attempt.
	pending map[string]*attempt
}

// New returns a Caller without calls.
func New(options Options) *Caller {
	return &Caller{
		options: options,
		retrier: retrier.New(options.Retry, options.Random),
		pending: make(map[string]*attempt),
	}
}

// Forward performs a call and returns either a response or a refusal. The deadline
// of ctx must be that of the call.
func (c *Caller) Forward(ctx context.Context, call entryserver.Call) (*currantwood.ServiceResponse, *currantwood.Refusal) {
	key, refusal := readKey(call.HTTPRequest.Header)
	if refusal != nil {
		return nil, refusal
	}
	if key == "" && !call.Rule.Repeatable {
		return nil, currantwood.NewRefusal(currantwood.KindOperationKeyRequired, step, "This call may run only once, so it needs an Idempotency-Key.", 0)
	}
	message := newCall(call, key)
	return c.callWithRetries(ctx, &forwardedCall{
		requestID:   call.Request,
		group:       call.Rule.Group,
		deadline:    call.ReceivedAt.Add(call.Rule.Deadline),
		repeatable:  call.Rule.Repeatable,
		operationID: operationID(call, key),
		newFrame: func(id string, timeLeft time.Duration) *wire.Frame {
			message.RequestId = id
			message.DeadlineMs = timeLeft.Milliseconds()
			return &wire.Frame{Body: &wire.Frame_Call{Call: message}}
		},
	})
}

// QueryOutcome returns the recorded response of an operation, or a refusal that says what is
// known of its outcome. It doesn't run the operation. ctx must have a deadline.
func (c *Caller) QueryOutcome(ctx context.Context, request currantwood.RequestID, scope ledger.Scope, rule currantwood.Rule) (*currantwood.ServiceResponse, *currantwood.Refusal) {
	deadline, _ := ctx.Deadline()
	ask := &wire.Ask{
		Customer: string(scope.Customer), Rule: string(scope.Rule),
		OperationKey: string(scope.Key), WindowMs: rule.Window.Milliseconds(),
	}
	return c.callWithRetries(ctx, &forwardedCall{
		requestID:    request,
		group:        rule.Group,
		deadline:     deadline,
		repeatable:   true,
		outcomeQuery: true,
		operationID:  scope.OperationID(),
		newFrame: func(id string, _ time.Duration) *wire.Frame {
			ask.RequestId = id
			return &wire.Frame{Body: &wire.Frame_Ask{Ask: ask}}
		},
	})
}

// Up does nothing. It is a method of distributor.Handler.
func (c *Caller) Up(*linker.Link) {}

// Frame handles the answers of sides. It reports false for any other frame.
func (c *Caller) Frame(_ *linker.Link, frame *wire.Frame) bool {
	answer := frame.GetAnswer()
	if answer == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.pending[answer.RequestId]; a != nil {
		delete(c.pending, answer.RequestId)
		a.answer <- answer
	}
	return true
}

// Down ends the pending attempts on a closed link without an answer.
func (c *Caller) Down(link *linker.Link, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, a := range c.pending {
		if a.link == link {
			delete(c.pending, id)
			close(a.answer)
		}
	}
}

// newCall returns the message that every attempt sends, without its RequestId and
// DeadlineMs. It lacks the Authorization header, which holds the client's API key for
// the entry.
func newCall(call entryserver.Call, key currantwood.OperationKey) *wire.Call {
	header := call.HTTPRequest.Header.Clone()
	header.Del("Authorization")
	return &wire.Call{
		Customer:     string(call.Customer),
		Rule:         string(call.Rule.ID),
		Repeatable:   call.Rule.Repeatable,
		OperationKey: string(key),
		Fingerprint:  uint64(fingerprint(call)),
		WindowMs:     call.Rule.Window.Milliseconds(),
		Method:       call.HTTPRequest.Method,
		Path:         call.HTTPRequest.URL.RequestURI(),
		Headers:      wire.FromHeader(header),
		Body:         call.Body,
	}
}

// fingerprint returns a hash by which a side detects that an Idempotency-Key is used
// with another input.
func fingerprint(call entryserver.Call) currantwood.Fingerprint {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%s\n%s\n%s\n", call.HTTPRequest.Method, call.HTTPRequest.URL.RequestURI(), call.HTTPRequest.Header.Get("Content-Type"))
	_, _ = hash.Write(call.Body)
	return currantwood.Fingerprint(hash.Sum64())
}

// operationID returns an empty ID for repeatable calls, which aren't recorded.
func operationID(call entryserver.Call, key currantwood.OperationKey) string {
	if call.Rule.Repeatable {
		return ""
	}
	return ledger.Scope{Customer: call.Customer, Rule: call.Rule.ID, Key: key}.OperationID()
}
