package peermessenger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/peerwire"
	"github.com/currantwood/currantwood/ratekeeper"
)

func encodeLoads(loads balancer.Loads) []*peerwire.Load {
	out := make([]*peerwire.Load, 0, len(loads))
	for id, l := range loads {
		out = append(out, &peerwire.Load{Upstream: string(id), Requests: uint32(l.Requests), Tokens: uint64(l.MemoryTokens), Unread: uint64(l.PrefillTokens)})
	}
	return out
}

func decodeLoads(loads []*peerwire.Load) balancer.Loads {
	out := make(balancer.Loads, len(loads))
	for _, l := range loads {
		out[currantwood.UpstreamID(l.GetUpstream())] = balancer.Load{
			Requests:      int(l.GetRequests()),
			MemoryTokens:  currantwood.TokenCount(l.GetTokens()),
			PrefillTokens: currantwood.TokenCount(l.GetUnread()),
		}
	}
	return out
}

func encodeCrashes(reports []crashkeeper.AgedCrash) []*peerwire.Crash {
	out := make([]*peerwire.Crash, 0, len(reports))
	for _, r := range reports {
		out = append(out, &peerwire.Crash{Kind: uint32(r.Suspect.Kind), Fingerprint: uint64(r.Suspect.Fingerprint), Upstream: string(r.Upstream), Incarnation: r.Incarnation, UnseenRestarts: r.UnseenRestarts, AgeMs: r.Age.Milliseconds()})
	}
	return out
}

// decodeCrashes decodes crashes without those of kinds that a later version may send.
func decodeCrashes(crashes []*peerwire.Crash) []crashkeeper.AgedCrash {
	out := make([]crashkeeper.AgedCrash, 0, len(crashes))
	for _, c := range crashes {
		suspect, known := decodeSuspect(c.GetKind(), c.GetFingerprint())
		if !known {
			continue
		}
		out = append(out, crashkeeper.AgedCrash{
			Crash: crashkeeper.Crash{
				Suspect:        suspect,
				Upstream:       currantwood.UpstreamID(c.GetUpstream()),
				Incarnation:    c.GetIncarnation(),
				UnseenRestarts: c.GetUnseenRestarts(),
			},
			Age: time.Duration(c.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}

func encodeCompletions(completions []crashkeeper.AgedCompletion) []*peerwire.Completion {
	out := make([]*peerwire.Completion, 0, len(completions))
	for _, c := range completions {
		out = append(out, &peerwire.Completion{Kind: uint32(c.Suspect.Kind), Fingerprint: uint64(c.Suspect.Fingerprint), AgeMs: c.Age.Milliseconds()})
	}
	return out
}

// decodeCompletions decodes completions without those of kinds that a later version
// may send.
func decodeCompletions(completions []*peerwire.Completion) []crashkeeper.AgedCompletion {
	out := make([]crashkeeper.AgedCompletion, 0, len(completions))
	for _, c := range completions {
		suspect, known := decodeSuspect(c.GetKind(), c.GetFingerprint())
		if known {
			out = append(out, crashkeeper.AgedCompletion{Suspect: suspect, Age: time.Duration(c.GetAgeMs()) * time.Millisecond})
		}
	}
	return out
}

// decodeSuspect returns a suspect and whether its kind is known here.
func decodeSuspect(kind uint32, fingerprint uint64) (currantwood.Suspect, bool) {
	s := currantwood.Suspect{Kind: currantwood.SuspectKind(kind), Fingerprint: currantwood.Fingerprint(fingerprint)}
	return s, kind <= uint32(currantwood.SuspectPart)
}

func encodeRetryUsage(usage budgeter.GroupUsage) []*peerwire.Use {
	out := make([]*peerwire.Use, 0, len(usage))
	for id, u := range usage {
		out = append(out, &peerwire.Use{Group: string(id), Requests: uint32(u.Requests), Repeats: uint32(u.Retries)})
	}
	return out
}

func decodeRetryUsage(uses []*peerwire.Use) budgeter.GroupUsage {
	out := make(budgeter.GroupUsage, len(uses))
	for _, u := range uses {
		out[currantwood.GroupID(u.GetGroup())] = budgeter.Usage{Requests: int(u.GetRequests()), Retries: int(u.GetRepeats())}
	}
	return out
}

// maxRateLimits bounds the rate limits in one datagram. One takes about 70 bytes.
const maxRateLimits = 128

// encodeRates encodes up to maxRateLimits rates: those with the highest demand, and in the second
// half, if there are more, others in turn.
func encodeRates(now time.Time, rates ratekeeper.Rates) []*peerwire.RateLimit {
	out := make([]*peerwire.RateLimit, 0, len(rates))
	for id, r := range rates {
		limit := &peerwire.RateLimit{Upstream: string(id), Incarnation: r.Incarnation, Demand: r.Demand, Recent: uint32(r.Recent)}
		if r.Limit.Known {
			limit.Known, limit.Limited, limit.PerSecond, limit.AgeUs = true, r.Limit.Limited, r.Limit.PerSecond, now.Sub(r.At).Microseconds()
		}
		out = append(out, limit)
	}
	slices.SortFunc(out, func(a, b *peerwire.RateLimit) int {
		return cmp.Or(cmp.Compare(b.GetDemand(), a.GetDemand()), cmp.Compare(a.GetUpstream(), b.GetUpstream()))
	})
	if len(out) <= maxRateLimits {
		return out
	}
	first := maxRateLimits / 2
	return append(out[:first:first], inTurn(now, out[first:], maxRateLimits-first)...)
}

// turnTime is how long inTurn returns the same items. Each datagram of a sender may have others.
const turnTime = 15 * time.Millisecond

// inTurn returns up to limit items; if there are more, others in each turnTime, until all were
// returned. Which ones follows from the time alone.
func inTurn[T any](now time.Time, items []T, limit int) []T {
	if len(items) <= limit {
		return items
	}
	turns := int64((len(items) + limit - 1) / limit)
	first := int(now.UnixNano()/int64(turnTime)%turns) * limit
	return items[first:min(len(items), first+limit)]
}

func decodeRates(now time.Time, limits []*peerwire.RateLimit) ratekeeper.Rates {
	out := make(ratekeeper.Rates, len(limits))
	for _, l := range limits {
		r := ratekeeper.Rate{Incarnation: l.GetIncarnation(), Recent: int(l.GetRecent())}
		if isFinite(l.GetDemand()) {
			r.Demand = max(0, l.GetDemand())
		}
		// A malformed limit isn't a limit of 0, which would admit no request.
		if l.GetKnown() && isFinite(l.GetPerSecond()) {
			r.Limit = currantwood.RateLimit{Known: true, Limited: l.GetLimited(), PerSecond: max(0, l.GetPerSecond())}
			r.At = now.Add(-time.Duration(l.GetAgeUs()) * time.Microsecond)
		}
		out[currantwood.UpstreamID(l.GetUpstream())] = r
	}
	return out
}

func isFinite(figure float64) bool { return !math.IsNaN(figure) && !math.IsInf(figure, 0) }

// maxNotices bounds the notices in one datagram. One takes about 30 bytes.
const maxNotices = 256

// encodeNotices encodes up to maxNotices notices; if there are more, others in turn.
func encodeNotices(now time.Time, notices noticekeeper.Notices) []*peerwire.Notice {
	out := make([]*peerwire.Notice, 0, len(notices))
	for id, n := range notices {
		left := max(0, n.PausedUntil.Sub(now))
		out = append(out, &peerwire.Notice{Upstream: string(id), Incarnation: n.Incarnation, Leaving: n.Leaving, PauseMs: left.Milliseconds(), ColdMs: max(0, n.ColdUntil.Sub(now)).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b *peerwire.Notice) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	return inTurn(now, out, maxNotices)
}

func decodeNotices(now time.Time, notices []*peerwire.Notice) noticekeeper.Notices {
	out := make(noticekeeper.Notices, len(notices))
	for _, n := range notices {
		notice := noticekeeper.Notice{Incarnation: n.GetIncarnation(), Leaving: n.GetLeaving()}
		if n.GetPauseMs() > 0 {
			notice.PausedUntil = now.Add(min(time.Duration(n.GetPauseMs()), maxPauseMs) * time.Millisecond)
		}
		if n.GetColdMs() > 0 {
			notice.ColdUntil = now.Add(min(time.Duration(n.GetColdMs()), maxColdMs) * time.Millisecond)
		}
		out[currantwood.UpstreamID(n.GetUpstream())] = notice
	}
	return out
}

// maxPauseMs is the longest pause, in milliseconds, that is decoded, so that it fits a
// Duration.
const maxPauseMs = 24 * 60 * 60 * 1000

// maxColdMs is the longest cold period, in milliseconds, that is decoded: as in a record.
const maxColdMs = 60 * 60 * 1000
