package gateway

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// keyMargin is how long before the end of Bounds.RevocationTime a key is
	// refused if the configuration that holds it can't be confirmed: the
	// request still needs time to reach its upstream.
	keyMargin = 600 * time.Millisecond
	// readyAgeShare is the share of Bounds.RevocationTime after which a gateway
	// that has lost the store reports that it isn't ready.
	readyAgeShare = 0.55
	// defaultReadyAge replaces that share if Bounds.FailClosed is not set.
	defaultReadyAge = 5 * time.Second
	// defaultClientTimeout bounds a request whose client doesn't say how long
	// it waits.
	defaultClientTimeout = time.Minute
	// maxAttempts bounds the upstreams that are picked for one request, not
	// counting the targets of moves.
	maxAttempts = 4
	// storeRetryAfter is the Retry-After of a refusal due to a missing or old
	// configuration.
	storeRetryAfter = 700 * time.Millisecond
	// maxJitterShare is the largest share by which jitter lengthens a
	// Retry-After.
	maxJitterShare = 0.5
	// otherGatewayRetryAfter is the Retry-After of a refusal that sends the
	// client to another gateway.
	otherGatewayRetryAfter = 50 * time.Millisecond
	// initialEventInterval is the assumed time between two events of a stream
	// until some are measured.
	initialEventInterval = 40 * time.Millisecond
	// enginePriority is the priority of every generation at its engine. If
	// priorities differed, more urgent generations would preempt others, whose
	// prompts would have to be prefilled again at a cost to both.
	enginePriority currantwood.Priority = 4
	// maxQueueShare is the largest share of the target time that an engine may
	// spend on prompts queued before this one. The rest is for the prompt
	// itself and for those that other gateways send meanwhile.
	maxQueueShare = 0.5
	// maxPriority is the highest priority. Each step below it lowers
	// maxQueueShare by the fraction queueSharePerPriority.
	maxPriority           currantwood.Priority = 9
	queueSharePerPriority                      = 0.02
	// minRetryAfter is the shortest Retry-After that is derived from an
	// upstream's queue.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest, but for the end of an upstream's pause: until then it
	// accepts nothing.
	maxRetryAfter = 6 * time.Second
	// upstreamRetryAfter is the Retry-After if no upstream accepts work.
	upstreamRetryAfter = 400 * time.Millisecond
)

// request is one client request being served.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	client  currantwood.ClientRequest
	// snapshot is the configuration that applies to the whole request.
	snapshot *configkeeper.Snapshot
	route    *currantwood.Route
	customer currantwood.CustomerID
	priority currantwood.Priority
	group    currantwood.GroupID
	// admittedRegions are the regions that snapshot allows; see regions.
	admittedRegions currantwood.RegionSet
	// deadline is when the response must be complete, body or stream included.
	deadline time.Time
	body     []byte
	// partBytes is the memory that is reserved for the parts of the prompt.
	partBytes int64
	// suspects is the result of findSuspects; nil until the body is read.
	suspects []currantwood.Suspect
	// probes is whether the request is sent although it has blocked suspects.
	probes bool
	// attempted lists the upstreams that were picked for the request, whether or
	// not it reached them. The targets of moves aren't listed.
	attempted []currantwood.UpstreamID
	// reachedUpstream is whether the last attempt reached an upstream, so that
	// the next one is charged to the retry budget.
	reachedUpstream bool
	// possibleRuns counts the upstreams that may have run the request. An
	// upstream to which a move brought the run isn't counted.
	possibleRuns int
	// pickedAt is when the last upstream was picked; guarded by the gateway's mu while the
	// request waits for room.
	pickedAt time.Time
	// responding is set once the response to the client has begun.
	responding atomic.Bool
	// promised is whether the request redeems a promise of room, and promiseNoted
	// whether it was counted if there was room for it.
	promised, promiseNoted bool
}

func newRequest(g *Gateway, w http.ResponseWriter, r *http.Request) *request {
	return &request{g: g, w: w, r: r, arrived: g.Now(), client: g.Coder.Client(r.Header)}
}

func (q *request) serve() {
	defer func() {
		q.g.requests.ReleaseBody(q.body)
		q.g.requests.Release(q.partBytes)
	}()
	if refusal := q.admit(); refusal != nil {
		q.endRequest(refusal)
		return
	}
	defer q.returnUnsentProbe()
	ctx, cancel := context.WithTimeout(q.r.Context(), q.deadline.Sub(q.g.Now()))
	defer cancel()
	defer q.endWithProcess(cancel)()
	if q.route.Stream {
		q.serveStream(ctx)
	} else {
		q.serveCall(ctx)
	}
	q.abortUnanswered()
}

// maxAgeForKeys is the age of the configuration up to which its keys are
// accepted. The age is the time since the configuration was last confirmed to be
// the newest.
func (g *Gateway) maxAgeForKeys() time.Duration {
	if !g.Settings.Bounds.FailClosed {
		return math.MaxInt64
	}
	return g.Settings.Bounds.RevocationTime - keyMargin
}

// maxAgeForReady is the age of the configuration from which on the gateway
// reports that it isn't ready.
func (g *Gateway) maxAgeForReady() time.Duration {
	if !g.Settings.Bounds.FailClosed {
		return defaultReadyAge
	}
	return time.Duration(readyAgeShare * float64(g.Settings.Bounds.RevocationTime))
}

// recheckKey returns a refusal if the request's key is no longer in the newest
// configuration or that configuration is too old, and nil if the request may be
// sent now. It is called before each attempt, as the configuration may have
// changed since admission.
func (q *request) recheckKey(now time.Time) *gatewayResponse {
	if q.route.Anonymous || !q.snapshot.RequiresKeys {
		return nil
	}
	r := &gatewayResponse{status: http.StatusServiceUnavailable, retryAfter: storeRetryAfter, closeConnection: true}
	// Read the age before the configuration, so that the age holds for the
	// configuration that is used.
	if q.g.Configuration.Age(now) > q.g.maxAgeForKeys() {
		r.reason = "configuration too old to prove the key"
		return r
	}
	if _, held := q.g.Configuration.Current().Keys[q.client.APIKey]; !held {
		r.reason = "key taken away meanwhile"
		return r
	}
	return nil
}

// load returns the load that the request adds to an upstream.
func (q *request) load() balancer.Load {
	if !q.isGeneration() {
		return balancer.Load{Requests: 1}
	}
	return balancer.Load{Requests: 1, MemoryTokens: q.client.Size.Expected(q.client.LengthHint), PrefillTokens: q.client.Size.Prompt}
}

func (q *request) isGeneration() bool {
	return q.snapshot.Groups[q.group].Engine != nil
}

// noUpstreamResponse returns the response to a request for which the balancer
// picked no upstream: a refusal, or previous if an upstream may have run the
// request.
func (q *request) noUpstreamResponse(previous *gatewayResponse, err error) *gatewayResponse {
	if q.possibleRuns > 0 {
		return previous
	}
	var complete *refusedError
	if errors.As(err, &complete) {
		return complete.response
	}
	retryAfter := upstreamRetryAfter
	var refused *balancer.RefusalError
	if errors.As(err, &refused) && refused.RetryAfter > 0 {
		retryAfter = max(minRetryAfter, refused.RetryAfter)
	}
	if refused != nil && refused.Paused {
		q.g.instruments.refusedPaused.Inc(1)
	} else {
		retryAfter = min(maxRetryAfter, retryAfter)
	}
	if refused != nil && refused.RateLimited != "" {
		q.g.promise(refused.RateLimited)
	}
	if refused != nil && refused.Cold != "" {
		q.g.promiseCold(refused.Cold)
	}
	return &gatewayResponse{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: retryAfter, fields: q.notePlacement(refused)}
}

// recordEnd reports the end of an attempt to the balancer.
func (q *request) recordEnd(view upstreamkeeper.View, load balancer.Load, outcome balancer.Outcome) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	now := q.g.Now()
	q.g.balancer.Ended(now, view, load, outcome)
	q.g.offerFreed(now, q, view.ID, load, outcome)
}

// recordRejection is recordEnd for an attempt that the upstream has refused, or a copy that it
// hasn't taken. Waiting requests aren't offered its room, as it would refuse them, too.
func (q *request) recordRejection(view upstreamkeeper.View, load balancer.Load, outcome balancer.Outcome) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.balancer.Ended(q.g.Now(), view, load, outcome)
}

// upstreamCall builds the call that is sent to an upstream. The caller sets
// LastEvent and ResumeFrom of the parameters, this method the rest.
func (q *request) upstreamCall(now time.Time, view upstreamkeeper.View, parameters currantwood.UpstreamRequest) *connkeeper.Call {
	parameters.Upstream = view.ID
	parameters.Customer = q.customer
	parameters.RemainingTime = q.deadline.Sub(now)
	parameters.Priority = enginePriority
	parameters.ToEngine = q.isGeneration()
	return &connkeeper.Call{
		Upstream: view.ID,
		Address:  view.Address,
		Method:   q.r.Method,
		Target:   q.requestTarget(),
		Host:     q.r.Host,
		Header:   q.g.Coder.Forward(q.r.Header, parameters),
		Body:     q.body,
		ID:       q.client.ID,
	}
}

// log writes a log line with the fields that identify the request and its
// configuration.
func (q *request) log(message string, fields ...zap.Field) {
	now := q.g.Now()
	route, version := "", currantwood.ConfigurationVersion(0)
	if q.route != nil {
		route = q.route.ID
	}
	if q.snapshot != nil {
		version = q.snapshot.Version
	}
	all := append([]zap.Field{
		zap.String("request", string(q.client.ID)),
		zap.String("route", route),
		zap.Uint64("configuration", uint64(version)),
		zap.Duration("configuration-age", q.g.Configuration.Age(now)),
		zap.Duration("after", now.Sub(q.arrived)),
	}, fields...)
	q.g.Logger.Info(message, all...)
}

// unsent reports whether no byte of the request was sent to the upstream.
func unsent(err error) bool { return errors.Is(err, connkeeper.ErrUnsent) }

// clientDisconnected reports whether the client has disconnected.
func (q *request) clientDisconnected() bool { return q.r.Context().Err() != nil }
