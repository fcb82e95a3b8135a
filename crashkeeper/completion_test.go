package crashkeeper

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// path returns the suspect that is a path with a fingerprint.
func path(fingerprint int) currantwood.Suspect {
	return currantwood.Suspect{Kind: currantwood.SuspectPath, Fingerprint: currantwood.Fingerprint(fingerprint)}
}

// part returns the suspect that is a part of a prompt with a fingerprint.
func part(fingerprint int) currantwood.Suspect {
	return currantwood.Suspect{Kind: currantwood.SuspectPart, Fingerprint: currantwood.Fingerprint(fingerprint)}
}

var _ = Describe("Completions", func() {
	It("reach a peer that still counts the crashes before them", func() {
		a, b := New(), New()
		for _, id := range []currantwood.UpstreamID{"a", "b"} {
			a.Record(start, AgedCrash{Crash: Crash{Suspect: request(7), Upstream: id}})
		}
		exchange(start, a, b, currantwood.Suspect{})
		now := start.Add(time.Second)
		Expect(a.RecordCompletion(now, request(7), now)).To(BeTrue())
		exchange(now, a, b, currantwood.Suspect{})
		Expect(b.Record(now.Add(time.Second), AgedCrash{Crash: Crash{Suspect: request(7), Upstream: "c"}}).Count).To(Equal(1))
	})

	// A peer that was away for longer than completions are told has the crashes still.
	It("reach a peer that sends the crashes long after", func() {
		a, b := New(), New()
		for _, id := range []currantwood.UpstreamID{"a", "b", "c"} {
			for _, k := range []*Keeper{a, b} {
				k.Record(start, AgedCrash{Crash: Crash{Suspect: path(7), Upstream: id}})
			}
		}
		a.RecordCompletion(start.Add(time.Second), path(7), start.Add(time.Second))
		now := start.Add(time.Minute)
		Expect(isBlocked(b, now, path(7))).To(BeTrue())
		exchange(now, b, a, currantwood.Suspect{})
		exchange(now, a, b, currantwood.Suspect{})
		Expect(isBlocked(b, now, path(7))).To(BeFalse())
	})

	It("delete what is saved", func() {
		k := New()
		for _, id := range []currantwood.UpstreamID{"a", "b"} {
			k.Record(start, AgedCrash{Crash: Crash{Suspect: path(7), Upstream: id}})
		}
		k.MarkSaved(k.Unsaved(start, 10))
		k.RecordCompletion(start.Add(time.Second), path(7), start.Add(time.Second))
		unsaved := k.Unsaved(start.Add(time.Second), 10)
		Expect(unsaved).To(HaveLen(1))
		Expect(unsaved[0].Crashes).To(BeEmpty())
	})

	It("of suspects without crashes are bounded, the latest are kept", func() {
		k := New()
		for i := range 2 * maxCompletions {
			k.RecordCompletion(start.Add(time.Duration(i)*time.Millisecond), path(i), start.Add(time.Duration(i)*time.Millisecond))
		}
		Expect(len(k.completions)).To(BeNumerically("<=", maxCompletions))
		Expect(k.completions).To(HaveKey(path(2*maxCompletions - 1)))
		Expect(k.completions).NotTo(HaveKey(path(0)))
	})

	DescribeTable("and crashes in any order end in the same state at every gateway",
		func(seed int64) {
			random := rand.New(rand.NewSource(seed))
			keepers := []*Keeper{New(), New(), New(), New()}
			var there, back [4]currantwood.Suspect
			now := start
			step := func(lost float64) {
				now = now.Add(250 * time.Millisecond)
				for i := 1; i < len(keepers); i++ {
					if random.Float64() >= lost {
						there[i] = exchange(now, keepers[i], keepers[0], there[i])
					}
					if random.Float64() >= lost {
						back[i] = exchange(now, keepers[0], keepers[i], back[i])
					}
				}
			}
			for range 300 {
				k, s := keepers[random.Intn(len(keepers))], path(random.Intn(4))
				if random.Intn(8) == 0 {
					k.RecordCompletion(now, s, now)
				} else {
					k.Record(now, AgedCrash{Crash: Crash{Suspect: s, Upstream: currantwood.UpstreamID(fmt.Sprint(random.Intn(12)))}})
				}
				step(0.9)
			}
			for range 40 {
				step(0.05)
			}
			for _, k := range keepers[1:] {
				Expect(k.Sum(now)).To(Equal(keepers[0].Sum(now)))
				for i := range 4 {
					Expect(isBlocked(k, now, path(i))).To(Equal(isBlocked(keepers[0], now, path(i))), "suspect %d", i)
				}
			}
		},
		Entry(nil, int64(1)), Entry(nil, int64(2)), Entry(nil, int64(3)), Entry(nil, int64(4)), Entry(nil, int64(5)),
		Entry(nil, int64(6)), Entry(nil, int64(7)), Entry(nil, int64(8)), Entry(nil, int64(9)), Entry(nil, int64(10)),
	)
})
