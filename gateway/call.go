package gateway

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/hopremover"
)

const (
	// attemptTimeoutFactor is the timeout of an attempt at a repeatable call, in
	// multiples of the route's target time. The call may then be sent to another
	// upstream. The last attempt that MaxUpstreams allows has no such timeout.
	attemptTimeoutFactor = 1.5
)

// response is a complete, buffered response of an upstream.
type response struct {
	// sentAt is when the request was sent to the upstream.
	sentAt time.Time
	// framed is whether the response had a length or chunks, so that its end shows that
	// the upstream has sent it whole.
	framed bool
	status int
	header http.Header
	body   []byte
}

// serveCall serves a request whose response is buffered before it is passed on,
// so that the client doesn't receive a part of one that broke off.
func (q *request) serveCall(ctx context.Context) {
	final := &gatewayResponse{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: upstreamRetryAfter}
	for len(q.attempted) < maxAttempts {
		now := q.g.Now()
		if refused := q.recheckKey(now); refused != nil {
			final = refused
			break
		}
		choice, err := q.pickUpstream(now, q.callStallTimeout(), func(*balancer.Query) {})
		if errors.Is(err, errLeftWaiting) {
			q.recordLeftWaiting(now)
			return
		}
		if err != nil {
			final = q.noUpstreamResponse(final, err)
			break
		}
		q.attempted = append(q.attempted, choice.View.ID)
		result, err := q.attempt(ctx, choice)
		if err == nil {
			defer q.g.responses.ReleaseBody(result.body)
		} else {
			q.endFailedRun(choice.View, err)
		}
		if q.clientDisconnected() {
			q.recordDisconnect(choice)
			return
		}
		failed := err != nil || result.status >= http.StatusInternalServerError
		retry := failed && q.prepareRetry(ctx)
		if err == nil && !retry {
			q.writeResponse(result, choice)
			return
		}
		q.log("upstream attempt failed", zap.String("upstream", string(choice.View.ID)), zap.NamedError("cause", err), zap.Float64("score", choice.Score), zap.Bool("again", retry))
		if q.possibleRuns > 0 {
			final = &gatewayResponse{status: http.StatusBadGateway, reason: "upstream failed"}
		}
		if !retry {
			break
		}
	}
	if q.possibleRuns > 0 && ctx.Err() != nil {
		final = &gatewayResponse{status: http.StatusGatewayTimeout, reason: "deadline"}
	}
	q.endRequest(final)
}

// callStallTimeout is the longest time that a healthy upstream takes for a
// call.
func (q *request) callStallTimeout() time.Duration {
	return max(4*q.route.Target, 500*time.Millisecond)
}

// prepareRetry reports whether the request may be sent to another upstream, and
// if so counts the retry. A request that may have run is sent again only if its
// route allows that, and none that has crashed too many upstreams. The
// limits on attempts, possible runs and time apply to every request. If the last attempt
// reached an upstream, the retry is charged to the retry budget and must fit in it.
func (q *request) prepareRetry(ctx context.Context) bool {
	if q.possibleRuns > 0 && !q.route.RunsAgain() {
		return false
	}
	if q.possibleRuns >= q.route.MaxUpstreams || ctx.Err() != nil || len(q.attempted) >= maxAttempts {
		return false
	}
	if suspect := q.blocked(); suspect != nil && !(q.probes && q.possibleRuns == 0) {
		q.g.instruments.requestsBlocked.Inc(1)
		q.log("not retried: request crashed its upstreams", suspectFields(*suspect)...)
		return false
	}
	if q.reachedUpstream && !q.g.takeRetryBudget(q.g.Now(), q.group, budgeter.FailedRequest) {
		q.log("retry budget exhausted", q.g.budgetFields(q.g.Now(), q.group)...)
		return false
	}
	q.reachedUpstream = false
	q.g.instruments.retries.Inc(1)
	return true
}

// attempt sends the request to one upstream and reads the whole response. If it
// returns an error and q.possibleRuns has not grown, the upstream has not run
// the request.
func (q *request) attempt(ctx context.Context, choice balancer.Choice) (*response, error) {
	if q.route.Repeatable && q.possibleRuns+1 < q.route.MaxUpstreams {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(attemptTimeoutFactor*float64(q.route.Target)))
		defer cancel()
	}
	load, sentAt := q.load(), q.g.Now()
	x, err := q.startExchange(ctx, choice, load, currantwood.UpstreamRequest{LastEvent: -1})
	if err != nil {
		return nil, err
	}
	q.possibleRuns++
	body, err := q.g.responses.ReadAll(x.Body, MaxResponseBytes)
	if err != nil {
		x.Abort()
		q.g.responses.ReleaseBody(body)
		q.recordEnd(choice.View, load, q.failureOutcome(choice.View, ctx.Err() == nil))
		q.recordBrokenBody(err, failure{view: choice.View, sentAt: sentAt, broken: ctx.Err() == nil})
		return nil, errors.Wrap(err, "read response body")
	}
	x.Finish()
	outcome := outcomeOf(x)
	if outcome == balancer.Served {
		q.g.observeWork(choice.View, x, q.g.Now().Sub(sentAt), false)
	}
	q.recordEnd(choice.View, load, outcome)
	return &response{sentAt: sentAt, framed: x.Framed, status: x.Status, header: x.Header, body: body}, nil
}

// startExchange sends the request to an upstream and returns the exchange once
// the head of the response has arrived. The caller must have reported the load
// to the balancer. A response that says that the request was not run is
// returned as an error.
func (q *request) startExchange(ctx context.Context, choice balancer.Choice, load balancer.Load, parameters currantwood.UpstreamRequest) (*connkeeper.Exchange, error) {
	sentAt := q.g.Now()
	call := q.upstreamCall(sentAt, choice.View, parameters)
	call.MaySend = func() error { return q.checkSending(ctx, choice, parameters.ResumeFrom != nil) }
	x, err := q.g.Connections.Start(ctx, call, q.g.Coder)
	if err != nil {
		q.recordFailedStart(failure{view: choice.View, sentAt: sentAt, broken: ctx.Err() == nil}, load, err)
		return nil, err
	}
	q.reachedUpstream = true
	q.noteResponse(choice.View, sentAt, x)
	if x.Answer.DeclaredNotRun {
		x.Finish()
		outcome := balancer.Neutral
		if x.Answer.OtherInstance {
			outcome = balancer.Failed
		}
		q.recordRejection(choice.View, load, outcome)
		return nil, &rejectedError{x.Status}
	}
	if isSuccess(x.Status) && !x.Answer.Signed {
		x.Abort()
		q.possibleRuns++
		q.recordEnd(choice.View, load, balancer.Failed)
		return nil, errUnsigned
	}
	return x, nil
}

// errUnsigned means that an upstream responded with a success without a signature. It may have
// run the request, but nothing shows that the response is its own.
var errUnsigned = errors.New("success without a signature")

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// recordFailedStart reports a failed start to the balancer and, if the upstream
// may have received the request, counts a possible run and records a crash.
func (q *request) recordFailedStart(f failure, load balancer.Load, err error) {
	var withheld *withheldError
	if errors.As(err, &withheld) {
		q.recordEnd(f.view, load, balancer.Neutral)
		return
	}
	q.g.noteRefusedConnection(q.g.Now(), f.view, err)
	if !unsent(err) {
		q.reachedUpstream = true
		q.possibleRuns++
		if !connkeeper.IsTooLong(err) {
			q.recordCrash(f)
		}
	}
	if q.clientDisconnected() {
		q.recordEnd(f.view, load, balancer.Neutral)
		return
	}
	q.recordEnd(f.view, load, q.failureOutcome(f.view, f.broken))
}

// writeResponse sends a complete upstream response to the client.
func (q *request) writeResponse(a *response, choice balancer.Choice) {
	copyEndToEndHeaders(q.w.Header(), a.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.responding.Store(true)
	q.w.WriteHeader(a.status)
	defer q.leaveUnsent(func() int { return len(a.body) })()
	if _, err := q.w.Write(a.body); err != nil {
		q.recordDisconnect(choice)
		return
	}
	q.recordServed(choice, a)
}

// recordServed counts a response of an upstream that was passed on, whatever its
// status.
func (q *request) recordServed(choice balancer.Choice, a *response) {
	if isSuccess(a.status) && a.framed {
		q.recordCompletion(a.sentAt)
	}
	q.g.instruments.served.Inc(1)
	q.g.instruments.responseTime.Update(q.g.Now().Sub(q.arrived).Microseconds())
	q.log("request served", zap.Int("status", a.status), zap.String("upstream", string(choice.View.ID)), zap.Int("sends", len(q.attempted)), zap.Float64("score", choice.Score), zap.Int("in-flight", choice.Load.Requests))
}

// recordLeftWaiting counts a client that has disconnected before an upstream was found.
func (q *request) recordLeftWaiting(since time.Time) {
	q.g.instruments.clientDisconnects.Inc(1)
	q.log("client disconnected while its request waited for room", zap.Duration("waited", q.g.Now().Sub(since)))
}

func (q *request) recordDisconnect(choice balancer.Choice) {
	q.g.instruments.clientDisconnects.Inc(1)
	q.log("client disconnected", zap.String("upstream", string(choice.View.ID)))
}

// copyEndToEndHeaders copies the headers of a response without the hop-by-hop
// ones, which it removes from the source.
func copyEndToEndHeaders(to, from http.Header) {
	hopremover.Remove(from)
	maps.Copy(to, from)
}
