package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// keyMargin is how long before the end of the time of revocation a key that
	// can't be proven is refused: a request takes a while to its upstream.
	keyMargin = 600 * time.Millisecond
	// readyShare is the part of the time of revocation after which a process
	// that has lost the store asks clients to go elsewhere.
	readyShare = 0.55
	// defaultReadyAge replaces it where keys don't fail closed.
	defaultReadyAge = 5 * time.Second
	// defaultBody bounds a body where the configuration doesn't.
	defaultBody = 4 << 20
	// defaultWait bounds a request whose client doesn't say how long it waits.
	defaultWait = time.Minute
	// maxSends bounds the upstreams that one request is offered to.
	maxSends = 4
	// storeBack is when to come back after the store was lost.
	storeBack = 700 * time.Millisecond
	// elsewhereBack is when to come back to another process.
	elsewhereBack = 50 * time.Millisecond
	// firstEventTime is how long an engine takes for an event as long as none
	// was seen.
	firstEventTime = 40 * time.Millisecond
	// upstreamBack is when to come back when no upstream takes work.
	upstreamBack = 400 * time.Millisecond
)

// request is one client request on its way.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	client  currantwood.ClientRequest
	// snapshot is the configuration that decides about the whole request.
	snapshot *configkeeper.Snapshot
	route    *currantwood.Route
	customer currantwood.CustomerID
	priority currantwood.Priority
	group    currantwood.GroupID
	// deadline is when the final answer is due.
	deadline time.Time
	body     []byte
	// fingerprint names the input; 0 where it has none.
	fingerprint currantwood.Fingerprint
	// tried are the upstreams that it was sent to.
	tried []currantwood.UpstreamID
	// sent is whether the last send reached an upstream, which makes the next
	// one a repeat.
	sent bool
	// ran counts the upstreams that may have run it.
	ran int
}

func newRequest(g *Gateway, w http.ResponseWriter, r *http.Request) *request {
	return &request{g: g, w: w, r: r, arrived: g.Now(), client: g.Coder.Client(r.Header), snapshot: g.Configuration.Current()}
}

func (q *request) serve() {
	if refusal := q.admit(); refusal != nil {
		q.refuse(refusal)
		return
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), q.deadline.Sub(q.g.Now()))
	defer cancel()
	if q.route.Stream {
		q.serveStream(ctx)
		return
	}
	q.serveCall(ctx)
}

// refusal is a final answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// retryAfter is when the client should come back; 0 for no word on it.
	retryAfter time.Duration
	// elsewhere asks the client to come back by a new connection, which another
	// process may take.
	elsewhere bool
}

// admit finds the route, checks the key and reads the body.
func (q *request) admit() *refusal {
	if q.snapshot == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: storeBack, elsewhere: true}
	}
	age := q.g.Configuration.Age(q.arrived)
	stale := age > q.g.keyAge()
	path, _, _ := strings.Cut(q.target(), "?")
	q.route = q.snapshot.Matcher.Match(q.r.Host, path)
	if q.route == nil {
		return unlessStale(stale, &refusal{status: http.StatusNotFound, reason: "no route"})
	}
	if refusal := q.authenticate(stale); refusal != nil {
		return refusal
	}
	q.group = q.split()
	if err := q.readBody(); err != nil {
		return err
	}
	if refusal := q.admitLate(); refusal != nil {
		return refusal
	}
	wait := q.client.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	q.deadline = q.arrived.Add(min(wait, q.route.Timeout))
	return nil
}

// admitLate refuses what is known to be unservable: a request that has crashed
// its upstreams, and one that would be cut off by the end of this process.
func (q *request) admitLate() *refusal {
	q.fingerprint = q.fingerprinted()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.fingerprint != 0 && q.g.crashes.Blocked(q.arrived, q.fingerprint) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "request crashed its upstreams"}
	}
	if q.g.stopping.Load() && q.route.Stream && !q.route.Resumable {
		left := time.Unix(0, q.g.end.Load()).Sub(q.arrived)
		if left < q.expectedTime() {
			return &refusal{status: http.StatusServiceUnavailable, reason: "stopping before the stream can end", retryAfter: elsewhereBack, elsewhere: true}
		}
	}
	q.g.budget.Requested(q.arrived, q.group)
	return nil
}

// expectedTime is how long the stream is likely to take; called with the
// gateway's lock held.
func (q *request) expectedTime() time.Duration {
	output := q.client.Size.Output
	if q.client.LengthHint > 0 {
		output = min(output, 2*q.client.LengthHint)
	}
	perEvent := currantwood.TokenCount(1)
	if e := q.snapshot.Groups[q.group].Engine; e != nil && e.TokensPerEvent > 0 {
		perEvent = e.TokensPerEvent
	}
	return q.route.Target + time.Duration(output/perEvent)*q.g.eventTime
}

// fingerprinted names the input of the request, 0 where it has no body: calls
// that carry none are too alike to be told apart.
func (q *request) fingerprinted() currantwood.Fingerprint {
	if len(q.body) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, part := range []string{q.r.Host, q.target(), string(q.customer)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	return currantwood.Fingerprint(h.Sum64())
}

// crashed notes that an upstream that isn't leaving broke off while it ran the
// request.
func (q *request) crashed(view upstreamkeeper.View) {
	if q.fingerprint == 0 || q.r.Context().Err() != nil {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	known, ok := q.g.upstreams.Get(view.ID)
	if !ok || !known.NoticeAt.IsZero() || known.Born != view.Born {
		return
	}
	q.g.crashes.Note(q.g.Now(), crashkeeper.Crash{Request: q.fingerprint, Upstream: view.ID})
}

// unlessStale answers that the configuration is too old to say no for good.
func unlessStale(stale bool, r *refusal) *refusal {
	if !stale {
		return r
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "configuration too old: " + r.reason, retryAfter: storeBack, elsewhere: true}
}

func (q *request) authenticate(stale bool) *refusal {
	holder, known := q.snapshot.Keys[q.client.Key]
	q.priority = q.route.Priority
	if known {
		q.customer = holder.Customer
		if holder.HasPriority {
			q.priority = holder.Priority
		}
	}
	if q.route.Anonymous || len(q.snapshot.Keys) == 0 {
		return nil
	}
	if known && stale {
		return &refusal{status: http.StatusServiceUnavailable, reason: "configuration too old to prove the key", retryAfter: storeBack, elsewhere: true}
	}
	if !known {
		return unlessStale(stale, &refusal{status: http.StatusUnauthorized, reason: "unknown key"})
	}
	return nil
}

// target is the path and query as the client sent them.
func (q *request) target() string {
	if strings.HasPrefix(q.r.RequestURI, "/") {
		return q.r.RequestURI
	}
	return q.r.URL.RequestURI()
}

// split draws the group by the weights of the route.
func (q *request) split() currantwood.GroupID {
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

func (q *request) readBody() *refusal {
	limit := q.snapshot.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(io.LimitReader(q.r.Body, limit+1))
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body: " + err.Error()}
	}
	if int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too long"}
	}
	q.body = body
	return nil
}

// keyAge is how old the configuration may be for keys to hold.
func (g *Gateway) keyAge() time.Duration {
	if !g.Settings.Bounds.FailClosed {
		return math.MaxInt64
	}
	return g.Settings.Bounds.Revocation - keyMargin
}

func (g *Gateway) readyAge() time.Duration {
	if !g.Settings.Bounds.FailClosed {
		return defaultReadyAge
	}
	return time.Duration(readyShare * float64(g.Settings.Bounds.Revocation))
}

// mayRun reports whether the key, if one is needed, still holds now.
func (q *request) mayRun(now time.Time) bool {
	if q.route.Anonymous || len(q.snapshot.Keys) == 0 {
		return true
	}
	return q.g.Configuration.Age(now) <= q.g.keyAge()
}

// load is what the request brings to an upstream.
func (q *request) load() balancer.Load {
	if !q.isGeneration() {
		return balancer.Load{Requests: 1}
	}
	return balancer.Load{Requests: 1, Tokens: q.client.Size.Expected(q.client.LengthHint), Unread: q.client.Size.Prompt}
}

func (q *request) isGeneration() bool {
	return q.snapshot.Groups[q.group].Engine != nil
}

// pick chooses an upstream that was not tried yet and notes the load there.
func (q *request) pick(now time.Time, patience time.Duration) (balancer.Choice, bool) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.syncGroups(q.snapshot)
	query := balancer.Query{Group: q.group, Load: q.load(), Near: q.g.Settings.Zone, Exclude: q.tried}
	choice, ok := q.g.balancer.Pick(now, query)
	if ok {
		q.g.balancer.Started(now, choice.View, query.Load, patience)
	}
	return choice, ok
}

func (q *request) ended(view upstreamkeeper.View, load balancer.Load, ending balancer.Ending) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.balancer.Ended(q.g.Now(), view, load, ending)
}

// call prepares the request for an upstream.
func (q *request) call(now time.Time, view upstreamkeeper.View, to currantwood.UpstreamRequest) *connkeeper.Call {
	to.Upstream = view.ID
	to.Customer = q.customer
	to.Left = q.deadline.Sub(now)
	to.Priority = q.priority
	to.Engine = q.isGeneration()
	return &connkeeper.Call{
		Upstream: view.ID,
		Address:  view.Address,
		Method:   q.r.Method,
		Target:   q.target(),
		Host:     q.r.Host,
		Header:   q.g.Coder.Forward(q.r.Header, to),
		Body:     q.body,
		ID:       q.client.ID,
	}
}

// refuse gives the final answer of the gateway's own.
func (q *request) refuse(f *refusal) {
	h := q.w.Header()
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	if f.elsewhere {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", "0")
	q.w.WriteHeader(f.status)
	if f.status >= http.StatusBadGateway && f.status != http.StatusServiceUnavailable {
		q.g.figures.failed.Inc(1)
	} else {
		q.g.figures.refused.Inc(1)
	}
	q.log("request ended by the gateway", zap.Int("status", f.status), zap.String("reason", f.reason), zap.Duration("retry-after", f.retryAfter))
}

// log writes the line of a decision about the request.
func (q *request) log(message string, fields ...zap.Field) {
	now := q.g.Now()
	route, version := "", currantwood.Version(0)
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

// unsent reports whether an upstream surely has not got the request.
func unsent(err error) bool { return errors.Is(err, connkeeper.ErrUnsent) }

// clientGone reports whether the client has left.
func (q *request) clientGone() bool { return q.r.Context().Err() != nil }
