package streamkeeper

import "time"

// startLog holds starts in the order in which they were added. Their positions count up
// from the first that was ever added.
type startLog struct {
	// first is the position of starts[0].
	first  uint64
	starts []Start
}

func (l *startLog) add(start Start) { l.starts = append(l.starts, start) }

// from returns up to limit starts from a position on, and the position of the first.
func (l *startLog) from(position uint64, limit int) ([]Start, uint64) {
	position = min(max(position, l.first), l.first+uint64(len(l.starts)))
	rest := l.starts[position-l.first:]
	return rest[:min(limit, len(rest))], position
}

// dropBefore drops the starts before a position.
func (l *startLog) dropBefore(position uint64) {
	dropped := min(max(position, l.first)-l.first, uint64(len(l.starts)))
	l.starts = l.starts[dropped:]
	l.first += dropped
}

// prune drops and returns the starts that are older than retention, or beyond a limit.
// A start that became known after younger ones stays as long as they do.
func (l *startLog) prune(now time.Time, limit int) []Start {
	n := max(0, len(l.starts)-limit)
	for n < len(l.starts) && now.Sub(l.starts[n].At) > retention {
		n++
	}
	dropped := l.starts[:n]
	l.dropBefore(l.first + uint64(n))
	return dropped
}
