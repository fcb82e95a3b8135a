package peermessenger

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/peerwire"
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
		if c.GetKind() > uint32(currantwood.SuspectPath) {
			continue
		}
		out = append(out, crashkeeper.AgedCrash{
			Crash: crashkeeper.Crash{
				Suspect:        currantwood.Suspect{Kind: currantwood.SuspectKind(c.GetKind()), Fingerprint: currantwood.Fingerprint(c.GetFingerprint())},
				Upstream:       currantwood.UpstreamID(c.GetUpstream()),
				Incarnation:    c.GetIncarnation(),
				UnseenRestarts: c.GetUnseenRestarts(),
			},
			Age: time.Duration(c.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
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
