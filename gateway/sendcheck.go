package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// coldResumeWait is how long the request to resume a copied run waits for a share of the
// rate of a cold upstream: otherwise the copy is lost. It is below resumeResponseTimeout,
// after which the run is stopped at its source.
const coldResumeWait = 150 * time.Millisecond

// withheldError means that a request wasn't sent to the upstream that had been picked for
// it, as the check at the moment of sending refused it.
type withheldError struct{ reason noticekeeper.Reason }

func (e *withheldError) Error() string { return fmt.Sprintf("withheld, upstream is %v", e.reason) }

// checkSending returns an error if the request may not be sent to the upstream that was
// picked for it. A process that was frozen, or waited for a connection, may send long after
// the pick. copied is whether the request resumes a run that was copied to the upstream.
func (q *request) checkSending(ctx context.Context, choice balancer.Choice, copied bool) error {
	verdict := q.verdictAtSending(choice)
	if copied {
		verdict = q.awaitColdShare(ctx, choice, verdict)
	}
	if verdict.Admitted() {
		return nil
	}
	q.g.instruments.withheld.Inc(1)
	return &withheldError{verdict.Reason}
}

// awaitColdShare asks again, for at most coldResumeWait, while a verdict is that the upstream
// is cold, and returns the last one.
func (q *request) awaitColdShare(ctx context.Context, choice balancer.Choice, verdict noticekeeper.Verdict) noticekeeper.Verdict {
	end := q.g.Now().Add(coldResumeWait)
	for verdict.Reason == noticekeeper.Cold {
		left := end.Sub(q.g.Now())
		if left <= 0 || !sleeper.Sleep(ctx, min(left, max(time.Millisecond, verdict.Wait))) {
			break
		}
		verdict = q.verdictAtSending(choice)
	}
	return verdict
}

// verdictAtSending asks whether the request may be sent now. If so, the caller must send it:
// it may have taken a share of the rate of a cold upstream.
func (q *request) verdictAtSending(choice balancer.Choice) noticekeeper.Verdict {
	now, regions := q.g.Now(), q.regions()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if !q.g.isCurrent(choice.View) {
		return noticekeeper.Verdict{Reason: noticekeeper.Leaving}
	}
	verdict := q.g.notices.CheckSending(now, choice.PickedAt, noticekeeper.TargetOf(choice.View.UpstreamRecord), regions)
	if verdict.Admitted() && q.g.warmUps.IsLimited(now, warmUpUpstream(choice.View)) {
		q.g.instruments.sentCold.Inc(1)
	}
	return verdict
}

// mayBeSent reports whether the request may still be sent to an upstream that was picked
// before, as far as is known.
func (q *request) mayBeSent(view upstreamkeeper.View) bool {
	now, regions := q.g.Now(), q.regions()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.g.admitsPicked(now, view, regions)
}

// admitsPicked reports whether an upstream that was picked or held may still be sent requests
// that may be in some regions, apart from rates. The caller holds mu.
func (g *Gateway) admitsPicked(now time.Time, view upstreamkeeper.View, regions currantwood.RegionSet) bool {
	return g.isCurrent(view) && g.notices.CheckPicked(now, noticekeeper.TargetOf(view.UpstreamRecord), regions).Admitted()
}

// isCurrent reports whether an upstream is still the incarnation that was picked, and isn't
// known to be leaving. The caller holds mu.
func (g *Gateway) isCurrent(view upstreamkeeper.View) bool {
	known, ok := g.upstreams.Get(view.ID)
	return ok && known.LeavingSince.IsZero() && known.Incarnation == view.Incarnation
}
