package gateway

import (
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/memorykeeper"
)

// gatewayResponse is a final response that the gateway generates itself, to
// refuse a request or to report that it failed.
type gatewayResponse struct {
	status int
	reason string
	// retryAfter is the value of Retry-After before jitter; 0 sends no such
	// header.
	retryAfter time.Duration
	// closeConnection closes the client's connection, so that it reconnects,
	// possibly to another gateway.
	closeConnection bool
	// suspect is set if it decided.
	suspect *currantwood.Suspect
	// fields are added to the log line.
	fields []zap.Field
}

// admit matches the route, checks the key, picks the group, reads the body and
// sets the deadline. It returns nil if the request may be sent to an upstream.
func (q *request) admit() *gatewayResponse {
	// Read the age before the configuration, so that the age holds for the
	// configuration that is used.
	age := q.g.Configuration.Age(q.arrived)
	q.snapshot = q.g.Configuration.Current()
	if q.snapshot == nil {
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: storeRetryAfter, closeConnection: true}
	}
	if !q.g.EvacuationsKnown() {
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "evacuations not read yet", retryAfter: storeRetryAfter, closeConnection: true}
	}
	if q.g.awaitsCrashes(q.arrived) {
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "crashes of requests not read yet", retryAfter: otherGatewayRetryAfter, closeConnection: true}
	}
	tooOld := age > q.g.maxAgeForKeys()
	path, _, _ := strings.Cut(q.requestTarget(), "?")
	q.route = q.snapshot.Matcher.Match(q.r.Host, path)
	if q.route == nil {
		return temporaryIfTooOld(tooOld, &gatewayResponse{status: http.StatusNotFound, reason: "no route"})
	}
	if refusal := q.authenticate(tooOld); refusal != nil {
		return refusal
	}
	if refusal := q.restrictRegions(); refusal != nil {
		return refusal
	}
	q.group = q.pickGroup()
	if refusal := q.reserveParts(); refusal != nil {
		return refusal
	}
	if err := q.readBody(); err != nil {
		return err
	}
	q.suspects = q.findSuspects()
	wait := q.client.Timeout
	if wait <= 0 {
		wait = defaultClientTimeout
	}
	q.deadline = q.arrived.Add(min(wait, q.route.Timeout))
	return q.checkServable(q.g.Now())
}

// checkServable refuses requests that have crashed their upstreams, and those that the
// end of this process may cut off. All others it counts as requests of their group, from
// which the retry budget is computed.
func (q *request) checkServable(now time.Time) *gatewayResponse {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	suspect := q.blockedSuspect(q.arrived)
	probes := suspect != nil && q.takeProbe(q.arrived)
	if probes {
		q.log("request sent as a probe", suspectFields(*suspect)...)
	}
	if suspect != nil && !probes {
		q.g.instruments.requestsBlocked.Inc(1)
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "request crashed its upstreams", suspect: suspect}
	}
	if s := q.g.shutdown.Load(); s != nil && s.end.Sub(now) < q.maxDuration(now, s) {
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "stopping before the request can end", retryAfter: otherGatewayRetryAfter, closeConnection: true}
	}
	q.g.budget.Requested(q.arrived, q.group)
	return nil
}

// temporaryIfTooOld replaces a permanent refusal by a temporary one if the
// configuration is too old to base it on.
func temporaryIfTooOld(tooOld bool, r *gatewayResponse) *gatewayResponse {
	if !tooOld {
		return r
	}
	return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "configuration too old: " + r.reason, retryAfter: storeRetryAfter, closeConnection: true}
}

// authenticate checks the API key and sets the customer and the priority of the
// request. A configuration that requires no keys accepts requests without one. It holds
// none, so that a key which is sent nevertheless is unknown: it may have been withdrawn.
func (q *request) authenticate(tooOld bool) *gatewayResponse {
	holder, known := q.snapshot.Keys[q.client.APIKey]
	q.priority = q.route.Priority
	if known {
		q.customer = holder.Customer
		if holder.HasPriority {
			q.priority = holder.Priority
		}
	}
	if q.route.Anonymous || !q.snapshot.RequiresKeys && q.client.APIKey == "" {
		return nil
	}
	if known && tooOld {
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "configuration too old to prove the key", retryAfter: storeRetryAfter, closeConnection: true}
	}
	if !known {
		return temporaryIfTooOld(tooOld, &gatewayResponse{status: http.StatusUnauthorized, reason: "unknown key"})
	}
	return nil
}

// requestTarget returns the path and query as the client sent them.
func (q *request) requestTarget() string {
	if strings.HasPrefix(q.r.RequestURI, "/") {
		return q.r.RequestURI
	}
	return q.r.URL.RequestURI()
}

// pickGroup picks a group at random by the weights of the route's split.
func (q *request) pickGroup() currantwood.GroupID {
	parts := q.route.Split
	if len(parts) == 1 {
		return parts[0].Group
	}
	total := 0.0
	for _, part := range parts {
		total += part.Weight
	}
	q.g.mu.Lock()
	draw := q.g.Random.Float64() * total
	q.g.mu.Unlock()
	for _, part := range parts {
		draw -= part.Weight
		if draw < 0 {
			return part.Group
		}
	}
	return parts[len(parts)-1].Group
}

const (
	// bytesPerPart is the memory that a part of a prompt takes while its request is served: its
	// id and its suspect.
	bytesPerPart = 32
	// unreservedParts is the number of parts of a prompt that aren't reserved.
	unreservedParts = 64
)

// reserveParts reserves the memory for the parts of a long prompt. It refuses one that has more
// parts than are decoded: parts that nobody watches could crash upstreams without end.
func (q *request) reserveParts() *gatewayResponse {
	if q.client.TooManyParts {
		return &gatewayResponse{status: http.StatusRequestHeaderFieldsTooLarge, reason: "prompt has too many parts"}
	}
	parts := len(q.client.SharedParts)
	if parts <= unreservedParts {
		return nil
	}
	bytes := int64(parts) * bytesPerPart
	if !q.g.requests.TryReserve(bytes) {
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "no memory for the parts of the prompt", retryAfter: upstreamRetryAfter, closeConnection: true}
	}
	q.partBytes = bytes
	return nil
}

// readBody reads the body, which is held until the request ends. If all bodies together
// leave no room for it, the request is refused.
func (q *request) readBody() *gatewayResponse {
	limit := q.snapshot.Limits.MaxBodyBytes()
	if q.r.ContentLength > limit {
		return &gatewayResponse{status: http.StatusRequestEntityTooLarge, reason: "body too long", closeConnection: true}
	}
	body, err := q.g.requests.ReadAll(q.r.Body, limit)
	q.body = body
	switch {
	case errors.Is(err, memorykeeper.ErrBodyTooLong):
		return &gatewayResponse{status: http.StatusRequestEntityTooLarge, reason: "body too long"}
	case errors.Is(err, memorykeeper.ErrExhausted):
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "no memory for the body", retryAfter: upstreamRetryAfter, closeConnection: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &gatewayResponse{status: http.StatusRequestTimeout, reason: "body makes no progress", closeConnection: true}
	case err != nil:
		return &gatewayResponse{status: http.StatusBadRequest, reason: "body: " + err.Error()}
	}
	return nil
}
