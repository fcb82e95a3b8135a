// Package prober is a passive health check (outlier detection). It detects the
// upstreams of one group that fail, or that hold requests without making progress,
// and ejects them: they get no new requests for some time.
//
// Answers with an error of the application count only as far as the other upstreams of the
// group have fewer: if all have them alike, their requests are the cause.
//
// It sends no probes. Health is judged by the progress of real requests, not by
// active health checks: a side process (the sidecar in front of an engine)
// still answers those when its engine is stalled. When its ejection ends, an
// upstream first gets a single request, and each success doubles the number of
// requests that it may have at once. An ejection ends when its time is up, even
// if no request comes; from then on the progress of the requests that the
// upstream still holds is checked again. At most a share of the group is
// ejected at any time, so that a fault common to all upstreams doesn't leave
// clients without any.
package prober

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// Defaults of Options.
const (
	// DefaultEjectAfterFailures is the default of Options.EjectAfterFailures.
	DefaultEjectAfterFailures = 3
	// DefaultBaseEjection is the default of Options.BaseEjection.
	DefaultBaseEjection = 2 * time.Second
	// DefaultMaxEjection is the default of Options.MaxEjection.
	DefaultMaxEjection = time.Minute
	// DefaultMaxEjectedShare is the default of Options.MaxEjectedShare.
	DefaultMaxEjectedShare = currantwood.Share(0.5)
)

// rampUpEnd ends the ramp-up after an ejection: when the limit on requests in
// flight has grown to this, it is lifted.
const rampUpEnd = 64

// Options configures a Prober. A zero field takes its default.
type Options struct {
	// EjectAfterFailures is the number of failures, without progress between
	// them, that ejects an upstream. While its requests in flight are limited
	// after an ejection, a single failure ejects it again.
	EjectAfterFailures int
	// BaseEjection is the length of the first ejection of an upstream. Each
	// further one is twice as long. Up to a quarter is added at random.
	BaseEjection time.Duration
	// MaxEjection bounds the doubling, before the random addition.
	MaxEjection time.Duration
	// MaxEjectedShare is the share of the group that may be ejected at once,
	// rounded down to whole upstreams.
	MaxEjectedShare currantwood.Share
}

// Prober tracks the health of the upstreams of one group as one process sees it.
// It is not safe for concurrent use.
type Prober struct {
	options   Options
	random    *rand.Rand
	upstreams map[currantwood.UpstreamID]*upstream
	// responses are those of all upstreams of the group, also of former ones.
	responses responses
}

// upstream is the health of one upstream.
type upstream struct {
	// responses are those that tell whether its requests fail in it.
	responses responses
	inFlight  int
	// unread counts the requests in flight whose responses aren't read for now.
	unread int
	// progressDue is the time by which the upstream must make progress. It has a
	// meaning only while inFlight > unread.
	progressDue time.Time
	// stallTimeout is the longest time without progress that the newest request
	// allows. A change applies when progressDue is next set.
	stallTimeout time.Duration
	// failures counts the failed requests since the last progress or ejection.
	failures int
	// ejected is whether the upstream gets no new requests until ejectedUntil.
	ejected      bool
	ejectedUntil time.Time
	// ejections counts the ejections since the limit on requests in flight was
	// last lifted.
	ejections int
	// maxInFlight limits inFlight after an ejection; 0 means no limit.
	maxInFlight int
	// slow is whether the upstream may be slow without being faulty, and wasSlow whether it
	// might at the last check of its progress.
	slow, wasSlow bool
}

// New returns a prober without upstreams. It draws from random so that ejections
// don't all end at once.
func New(options Options, random *rand.Rand) *Prober {
	options.EjectAfterFailures = cmp.Or(options.EjectAfterFailures, DefaultEjectAfterFailures)
	options.BaseEjection = cmp.Or(options.BaseEjection, DefaultBaseEjection)
	options.MaxEjection = cmp.Or(options.MaxEjection, DefaultMaxEjection)
	options.MaxEjectedShare = cmp.Or(options.MaxEjectedShare, DefaultMaxEjectedShare)
	return &Prober{options: options, random: random, upstreams: make(map[currantwood.UpstreamID]*upstream)}
}

// SetUpstreams sets the upstreams of the group. The state of others is deleted.
func (p *Prober) SetUpstreams(ids []currantwood.UpstreamID) {
	known := make(map[currantwood.UpstreamID]bool, len(ids))
	for _, id := range ids {
		known[id] = true
		p.upstream(id)
	}
	for id := range p.upstreams {
		if !known[id] {
			delete(p.upstreams, id)
		}
	}
}

// Admits reports whether a new request may be sent to the upstream. It ends an
// ejection whose time is up. An unknown upstream is admitted.
func (p *Prober) Admits(now time.Time, id currantwood.UpstreamID) bool {
	u := p.upstreams[id]
	if u == nil {
		return true
	}
	u.endEjectionIfDue(now)
	return !u.ejected && (u.maxInFlight == 0 || u.inFlight < u.maxInFlight)
}

// Ejected reports whether the upstream is ejected. Unlike Admits, it changes
// nothing.
func (p *Prober) Ejected(now time.Time, id currantwood.UpstreamID) bool {
	u := p.upstreams[id]
	return u != nil && u.ejected && now.Before(u.ejectedUntil)
}

// Started records a request that is sent to the upstream. stallTimeout is how
// long a healthy upstream may go without any of its requests making progress. It
// replaces that of earlier requests, but a deadline that already runs stays.
func (p *Prober) Started(now time.Time, id currantwood.UpstreamID, stallTimeout time.Duration) {
	u := p.upstream(id)
	u.stallTimeout = stallTimeout
	if u.inFlight <= u.unread {
		u.progressDue = now.Add(stallTimeout)
	}
	u.inFlight++
}

// Queued records that the upstream's side process has queued a request and
// expects to start it after wait. It has no effect while other requests are in
// flight, as these still have to make progress.
func (p *Prober) Queued(now time.Time, id currantwood.UpstreamID, wait time.Duration) {
	if u := p.upstreams[id]; u != nil && u.inFlight == 1 {
		u.progressDue = now.Add(wait + u.stallTimeout)
	}
}

// Progressed records a token, a response or any other sign that the upstream
// itself works.
func (p *Prober) Progressed(now time.Time, id currantwood.UpstreamID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	u.progressDue = now.Add(u.stallTimeout)
	u.failures = 0
}

// Ended records the success or failure of a request. An end that is neither is
// recorded by EndedNeutral.
func (p *Prober) Ended(now time.Time, id currantwood.UpstreamID, ok bool) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	if ok {
		p.addResponse(now, u, false)
		p.succeeded(now, u)
		return
	}
	u.failures++
	if u.failures >= p.options.EjectAfterFailures || u.maxInFlight > 0 {
		p.eject(now, u)
	}
}

// EndedNeutral records the end of a request that says nothing about the health
// of the upstream, for example because its side process refused it or the client
// gave it up.
func (p *Prober) EndedNeutral(id currantwood.UpstreamID) {
	if u := p.upstreams[id]; u != nil {
		u.inFlight = max(0, u.inFlight-1)
	}
}

// EjectStalled ejects the stalled upstreams, whose progress is overdue, as far as
// Options.MaxEjectedShare allows, and returns, in ascending order, those
// ejected by this call. The caller should retry elsewhere the requests in flight
// there whose clients have received nothing of the response yet.
func (p *Prober) EjectStalled(now time.Time) []currantwood.UpstreamID {
	var stalled []currantwood.UpstreamID
	for id, u := range p.upstreams {
		u.endEjectionIfDue(now)
		u.endSlownessIfOver(now)
		if !u.ejected && u.overdue(now) {
			stalled = append(stalled, id)
		}
	}
	slices.Sort(stalled)
	return slices.DeleteFunc(stalled, func(id currantwood.UpstreamID) bool {
		return !p.eject(now, p.upstreams[id])
	})
}

// endEjectionIfDue ends an ejection whose time is up. The upstream may then get
// one request beyond those that it holds. Their stall timeout begins anew, since
// the upstream may have recovered.
func (u *upstream) endEjectionIfDue(now time.Time) {
	if !u.ejected || now.Before(u.ejectedUntil) {
		return
	}
	u.ejected = false
	u.maxInFlight = u.inFlight + 1
	u.progressDue = now.Add(u.stallTimeout)
}

// succeeded records a success. It doubles the limit of an upstream that returns
// from an ejection.
func (p *Prober) succeeded(now time.Time, u *upstream) {
	u.failures = 0
	u.progressDue = now.Add(u.stallTimeout)
	if u.maxInFlight == 0 {
		return
	}
	u.maxInFlight *= 2
	if u.maxInFlight >= rampUpEnd {
		u.maxInFlight = 0
		u.ejections = 0
	}
}

// eject ejects an upstream, for twice as long as the last time up to
// Options.MaxEjection, plus jitter, and reports whether it has. It doesn't if the
// upstream is ejected already, or Options.MaxEjectedShare is reached.
func (p *Prober) eject(now time.Time, u *upstream) bool {
	if u.ejected || !p.mayEject(now) {
		return false
	}
	length := p.options.MaxEjection
	if u.ejections < 16 { // a larger shift could overflow
		length = min(length, p.options.BaseEjection<<u.ejections)
	}
	jitter := time.Duration(p.random.Int63n(int64(length)/4 + 1))
	u.ejected = true
	u.ejectedUntil = now.Add(length + jitter)
	u.ejections++
	u.failures = 0
	u.maxInFlight = 0
	return true
}

// mayEject reports whether one more upstream may be ejected.
func (p *Prober) mayEject(now time.Time) bool {
	ejected := 0
	for _, u := range p.upstreams {
		u.endEjectionIfDue(now)
		if u.ejected {
			ejected++
		}
	}
	return ejected+1 <= int(float64(p.options.MaxEjectedShare)*float64(len(p.upstreams)))
}

// upstream returns the state of an upstream, which it adds if it is unknown.
func (p *Prober) upstream(id currantwood.UpstreamID) *upstream {
	u := p.upstreams[id]
	if u == nil {
		u = &upstream{}
		p.upstreams[id] = u
	}
	return u
}
