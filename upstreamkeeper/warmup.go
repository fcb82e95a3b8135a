package upstreamkeeper

import "time"

// sameWarmUp is the difference up to which the ends of a cold period that two records state
// are one. Records take up to seconds through the store.
const sameWarmUp = 2 * time.Second

// noteWarmUp notes how long the upstream stays cold by a newer record.
func (e *entry) noteWarmUp(now time.Time, left time.Duration) []Event {
	until, known := now.Add(left), e.view.ColdUntil
	change := Cooled
	switch {
	case left > 0 && known.After(now) && until.Sub(known).Abs() <= sameWarmUp:
		return nil
	case left <= 0 && !known.After(now):
		return nil
	case left <= 0:
		change = Warmed
	}
	e.view.ColdUntil = until
	return []Event{{Change: change, Record: e.view.UpstreamRecord}}
}
