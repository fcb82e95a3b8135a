package crashkeeper

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// exchange sends from one keeper to another what the other lacks, as gateways do:
// recent crashes always, those of recurrent requests if the sums differ.
func exchange(now time.Time, from, to *Keeper, after currantwood.Suspect) currantwood.Suspect {
	crashes := from.Recent(now, minSent)
	if from.Sum(now) != 0 && from.Sum(now) != to.Sum(now) {
		var missing []AgedCrash
		missing, after = from.RecurrentCrashes(now, after, 8)
		crashes = append(crashes, missing...)
	}
	for _, c := range from.RecentCompletions(now, minSent) {
		to.ApplyCompletion(now, c)
	}
	for _, c := range crashes {
		to.Record(now, c)
	}
	return after
}

var _ = Describe("Crashes of recurrent requests", func() {
	It("are sent whole, in turn, at most as many as asked for", func() {
		k := New()
		for f := range 5 {
			for _, id := range []currantwood.UpstreamID{"a", "b", "c"} {
				k.Record(start, AgedCrash{Crash: Crash{Suspect: request(10 + f), Upstream: id}})
			}
		}
		k.Record(start, AgedCrash{Crash: Crash{Suspect: request(1), Upstream: "a"}})
		seen := map[currantwood.Suspect]int{}
		after := currantwood.Suspect{}
		for range 3 {
			var crashes []AgedCrash
			crashes, after = k.RecurrentCrashes(start, after, 7)
			Expect(crashes).To(HaveLen(6))
			for _, c := range crashes {
				seen[c.Suspect]++
			}
		}
		Expect(seen).To(HaveLen(5))
		Expect(seen).NotTo(HaveKey(request(1)))
	})

	It("have the same sum in whatever order they were recorded, and another if one is missing", func() {
		a, b := New(), New()
		for i := range 6 {
			a.Record(start, AgedCrash{Crash: Crash{Suspect: request(i / 3), Upstream: currantwood.UpstreamID(fmt.Sprint(i))}})
			b.Record(start, AgedCrash{Crash: Crash{Suspect: request((5 - i) / 3), Upstream: currantwood.UpstreamID(fmt.Sprint(5 - i))}})
		}
		Expect(a.Sum(start)).To(Equal(b.Sum(start)))
		Expect(a.Sum(start)).NotTo(BeZero())
		a.Record(start, AgedCrash{Crash: Crash{Suspect: request(1), Upstream: "another"}})
		Expect(a.Sum(start)).NotTo(Equal(b.Sum(start)))
	})

	It("don't live longer by being sent back and forth", func() {
		a, b := New(), New()
		for _, id := range []currantwood.UpstreamID{"a", "b", "c"} {
			a.Record(start, AgedCrash{Crash: Crash{Suspect: request(7), Upstream: id}})
		}
		after, back := currantwood.Suspect{}, currantwood.Suspect{}
		for now := start; now.Before(start.Add(2 * crashLifetime)); now = now.Add(time.Second) {
			after = exchange(now, a, b, after)
			back = exchange(now, b, a, back)
		}
		Expect(isBlocked(a, start.Add(crashLifetime+time.Second), request(7))).To(BeFalse())
		Expect(isBlocked(b, start.Add(crashLifetime+time.Second), request(7))).To(BeFalse())
	})

	// Guards against a gateway that never hears of a crash since it was away when
	// the others were told.
	DescribeTable("reach every gateway within seconds after the last cut or restart",
		func(seed int64) {
			random := rand.New(rand.NewSource(seed))
			const gateways = 6
			keepers := make([]*Keeper, gateways)
			var cursors [2][gateways]currantwood.Suspect
			for i := range keepers {
				keepers[i] = New()
			}
			now := start
			step := func(lost float64) {
				now = now.Add(250 * time.Millisecond)
				// The first gateway is the collector.
				for i := 1; i < gateways; i++ {
					if random.Float64() >= lost {
						cursors[0][i] = exchange(now, keepers[i], keepers[0], cursors[0][i])
					}
					if random.Float64() >= lost {
						cursors[1][i] = exchange(now, keepers[0], keepers[i], cursors[1][i])
					}
				}
			}
			for range 200 {
				at := random.Intn(gateways)
				keepers[at].Record(now, AgedCrash{Crash: Crash{Suspect: request(random.Intn(8)), Upstream: currantwood.UpstreamID(fmt.Sprint(random.Intn(12)))}})
				if random.Float64() < 0.1 {
					keepers[random.Intn(gateways)] = New()
				}
				step(0.95)
			}
			for range 16 {
				step(0.05)
			}
			for _, k := range keepers[1:] {
				Expect(k.Sum(now)).To(Equal(keepers[0].Sum(now)))
			}
		},
		Entry(nil, int64(1)), Entry(nil, int64(2)), Entry(nil, int64(3)), Entry(nil, int64(4)), Entry(nil, int64(5)),
		Entry(nil, int64(6)), Entry(nil, int64(7)), Entry(nil, int64(8)), Entry(nil, int64(9)), Entry(nil, int64(10)),
	)
})
