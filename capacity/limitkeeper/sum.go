package limitkeeper

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

// Level is a sum of the observations at one level of concurrency, weighted by their age.
type Level struct {
	// Weight is the sum of the relative times, Running the same multiplied by the share of the
	// slots in use, and Speed the number of observations. A slow upstream sends fewer
	// responses, which therefore count more: Speed divided by Weight is the mean speed.
	Weight, Running, Speed float64
}

// Sum holds the levels of one upstream, from that of all slots down.
type Sum [Levels]Level

// Sums holds a sum for each observed upstream.
type Sums map[currantwood.UpstreamID]Sum

// add adds the levels of another sum, multiplied by a factor.
func (s *Sum) add(other *Sum, factor float64) {
	for i := range s {
		s[i].Weight += factor * other[i].Weight
		s[i].Running += factor * other[i].Running
		s[i].Speed += factor * other[i].Speed
	}
}

// Weight returns the weight of all levels.
func (s *Sum) Weight() float64 {
	weight := 0.0
	for i := range s {
		weight += s[i].Weight
	}
	return weight
}

// isBusy reports whether more than a quarter of the slots were in use lately.
func (s *Sum) isBusy() bool {
	weight := 0.0
	for _, l := range s[:busyLevels] {
		weight += l.Weight
	}
	return weight >= minReportedWeight
}

// decay returns the factor of a weight after some time.
func decay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / memoryTime.Seconds())
}

// datedSum is a sum as of a time.
type datedSum struct {
	sum Sum
	at  time.Time
}
