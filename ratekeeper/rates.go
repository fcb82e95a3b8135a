package ratekeeper

import (
	"maps"

	"github.com/currantwood/currantwood"
)

// Rates holds a report for each upstream that limits its rate, or did so a moment ago.
type Rates map[currantwood.UpstreamID]Rate

// newer returns the report with the later incarnation or, if they are equal, the one
// whose limit is known and arrived later.
func newer(a, b Rate) Rate {
	switch {
	case !b.Limit.Known:
		return a
	case !a.Limit.Known:
		return b
	case a.Incarnation != b.Incarnation:
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	case b.At.After(a.At):
		return b
	}
	return a
}

// Plus returns the reports of r and other together: the newest limit of each upstream
// and the sums of Demand and Recent. It changes neither.
func (r Rates) Plus(other Rates) Rates {
	sum := maps.Clone(r)
	if sum == nil {
		sum = make(Rates, len(other))
	}
	for id, report := range other {
		known := sum[id]
		total := newer(known, report)
		total.Demand, total.Recent = known.Demand+report.Demand, known.Recent+report.Recent
		sum[id] = total
	}
	return sum
}

// Without returns the reports of r less the Demand and Recent that part, one of its
// summands, has added.
func (r Rates) Without(part Rates) Rates {
	rest := make(Rates, len(r))
	for id, report := range r {
		report.Demand = max(0, report.Demand-part[id].Demand)
		report.Recent = max(0, report.Recent-part[id].Recent)
		rest[id] = report
	}
	return rest
}
