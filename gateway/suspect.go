package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

// findSuspects returns what of the request may crash upstreams: the request as a
// whole, its path if it has no body, and the parts of its prompt that others share.
func (q *request) findSuspects() []currantwood.Suspect {
	path, query, _ := strings.Cut(q.requestTarget(), "?")
	var suspects []currantwood.Suspect
	if len(q.body) > 0 {
		suspects = append(suspects, q.newSuspect(currantwood.SuspectRequest, path, string(q.body)))
	} else {
		suspects = append(suspects, q.newSuspect(currantwood.SuspectRequest, path, "?"+query), q.newSuspect(currantwood.SuspectPath, path, ""))
	}
	for _, part := range q.client.SharedParts {
		suspects = append(suspects, currantwood.Suspect{Kind: currantwood.SuspectPart, Fingerprint: currantwood.Fingerprint(xxhash.Sum64String(string(part)))})
	}
	return suspects
}

// newSuspect returns the suspect of a path and content with the request's customer.
// The host isn't included: a route may move to another.
func (q *request) newSuspect(kind currantwood.SuspectKind, path, content string) currantwood.Suspect {
	h := xxhash.New()
	for _, part := range []string{path, string(q.customer)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.WriteString(content)
	return currantwood.Suspect{Kind: kind, Fingerprint: currantwood.Fingerprint(h.Sum64())}
}

// blocked returns the suspect of the request with which so many upstreams have
// crashed that the request must not be sent to another; nil if there is none.
func (q *request) blocked() *currantwood.Suspect {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.blockedSuspect(q.g.Now())
}

// blockedSuspect is blocked. The caller holds the gateway's mu.
func (q *request) blockedSuspect(now time.Time) *currantwood.Suspect {
	if s, found := q.g.crashes.FindBlocked(now, q.suspects); found {
		return &s
	}
	return nil
}

// takeProbe reports whether the request may be sent although it has blocked suspects,
// to learn whether upstreams still crash with them. Only the collector sends such
// probes. The caller holds the gateway's mu.
func (q *request) takeProbe(now time.Time) bool {
	q.probes = q.g.collects.Load() && q.g.crashes.TakeProbe(now, q.suspects)
	return q.probes
}

// returnUnsentProbe notes it if the request was to be a probe and has reached no
// upstream.
func (q *request) returnUnsentProbe() {
	if !q.probes || q.possibleRuns > 0 {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.crashes.ReturnProbe(q.g.Now(), q.suspects)
}

// suspectFields formats a suspect for logs.
func suspectFields(s currantwood.Suspect) []zap.Field {
	return []zap.Field{zap.Stringer("suspect", s.Kind), zap.String("fingerprint", strconv.FormatUint(uint64(s.Fingerprint), 16))}
}
