package quarantiner

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

// newCrash returns a crash that happened the given number of minutes after start.
func newCrash(id string, minute int, inFlight ...currantwood.Fingerprint) Crash {
	return Crash{ID: id, Upstream: "worker", At: start.Add(time.Duration(minute) * time.Minute), InFlight: inFlight}
}

var _ = Describe("Status", func() {
	const culprit, innocent, other = 1, 2, 3
	now := start.Add(10 * time.Minute)

	DescribeTable("of a culprit and an innocent request",
		func(events func(q *Quarantiner), wantCulprit, wantInnocent Status) {
			q := New(Options{})
			events(q)
			status, left := q.Status(now, culprit)
			Expect(status).To(Equal(wantCulprit))
			Expect(left > 0).To(Equal(wantCulprit == Quarantined))
			status, _ = q.Status(now, innocent)
			Expect(status).To(Equal(wantInnocent))
		},
		Entry("no crash", func(*Quarantiner) {}, Clear, Clear),
		Entry("one crash", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
		}, Suspect, Suspect),
		Entry("the same crash reported twice", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
			q.RecordCrash(now, newCrash("a", 1, culprit))
		}, Suspect, Suspect),
		Entry("two crashes that share the culprit", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
			q.RecordCrash(now, newCrash("b", 2, culprit, other))
		}, Quarantined, Suspect),
		Entry("the same two crashes reported in the other order", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("b", 2, culprit, other))
			q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
		}, Quarantined, Suspect),
		Entry("two crashes that share both requests", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
			q.RecordCrash(now, newCrash("b", 2, culprit, innocent))
		}, Suspect, Suspect),
		Entry("two crashes that share both requests, the innocent one cleared", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
			q.RecordCrash(now, newCrash("b", 2, culprit, innocent))
			Expect(q.RecordCompletion(now, now, innocent)).To(BeTrue())
		}, Quarantined, Clear),
		Entry("an innocent request that ended between two crashes", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
			q.RecordCompletion(now, start.Add(90*time.Second), innocent)
			q.RecordCrash(now, newCrash("b", 2, innocent, other))
		}, Suspect, Suspect),
		Entry("a clearance that arrives before the report of an earlier crash", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("a", 1, innocent))
			q.RecordCompletion(now, start.Add(3*time.Minute), innocent)
			q.RecordCrash(now, newCrash("b", 2, innocent, culprit))
		}, Suspect, Clear),
		Entry("a quarantined request that ends", func(q *Quarantiner) {
			q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
			q.RecordCrash(now, newCrash("b", 2, culprit))
			Expect(q.RecordCompletion(now, now, culprit)).To(BeFalse())
		}, Quarantined, Suspect),
	)

	It("ends a quarantine, doubles it after the next crash and deletes old crashes", func() {
		q := New(Options{})
		q.RecordCrash(now, newCrash("a", 1, culprit, innocent))
		q.RecordCrash(now, newCrash("b", 2, culprit))
		expectStatus := func(minute int, want Status) {
			GinkgoHelper()
			status, _ := q.Status(start.Add(time.Duration(minute)*time.Minute), culprit)
			Expect(status).To(Equal(want))
		}
		expectStatus(61, Quarantined)
		expectStatus(62, Suspect)
		q.RecordCrash(start.Add(63*time.Minute), newCrash("c", 63, culprit))
		expectStatus(182, Quarantined)
		expectStatus(183, Suspect)
		expectStatus(26*60, Clear)
		Expect(q.Crashes(start.Add(26 * time.Hour))).To(BeEmpty())
	})

	It("deletes the oldest crash beyond MaxCrashes", func() {
		q := New(Options{MaxCrashes: 2})
		for i, id := range []string{"a", "b", "c"} {
			Expect(q.RecordCrash(now, newCrash(id, i, currantwood.Fingerprint(i)))).To(BeTrue())
		}
		Expect(q.Crashes(now)).To(HaveLen(2))
		status, _ := q.Status(now, 0)
		Expect(status).To(Equal(Clear))
	})

	It("comes to the same result for any order of the reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var crashes []Crash
			for i := range rapid.IntRange(1, 6).Draw(t, "crashes") {
				inFlight := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 6, rapid.ID[uint64]).Draw(t, "in-flight")
				crash := newCrash(fmt.Sprint(i), i)
				for _, fingerprint := range inFlight {
					crash.InFlight = append(crash.InFlight, currantwood.Fingerprint(fingerprint))
				}
				crashes = append(crashes, crash)
			}
			a, b := New(Options{}), New(Options{})
			for _, crash := range crashes {
				a.RecordCrash(now, crash)
			}
			for _, crash := range rapid.Permutation(crashes).Draw(t, "order") {
				b.RecordCrash(now, crash)
			}
			for fingerprint := range currantwood.Fingerprint(7) {
				inOrder, _ := a.Status(now, fingerprint)
				permuted, _ := b.Status(now, fingerprint)
				if inOrder != permuted {
					t.Fatalf("fingerprint %d: %s and %s", fingerprint, inOrder, permuted)
				}
			}
		})
	})

	It("lets a crashing request crash at most two upstreams and refuses no other, if suspects run apart", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			simulateCrashes(t)
		})
	})
})

// simulateCrashes runs requests of which one crashes its upstream. Only one suspect
// at a time runs at an upstream, as package isolator ensures.
func simulateCrashes(t *rapid.T) {
	random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
	upstreams := rapid.IntRange(2, 8).Draw(t, "upstreams")
	perUpstream := rapid.IntRange(1, 20).Draw(t, "in-flight")
	const culprit = currantwood.Fingerprint(0)
	q, now, crashes := New(Options{}), start, 0
	nextFingerprint := currantwood.Fingerprint(1)
	var suspects []currantwood.Fingerprint
	for range 40 {
		now = now.Add(time.Second)
		upstream := random.Intn(upstreams)
		var running []currantwood.Fingerprint
		for range random.Intn(perUpstream) {
			running = append(running, nextFingerprint)
			nextFingerprint++
		}
		if len(suspects) > 0 {
			running = append(running, suspects[0])
			suspects = suspects[1:]
		}
		if random.Intn(3) == 0 && (len(suspects) == 0 && crashes == 0) {
			running = append(running, culprit)
		}
		if !runTogether(t, q, now, fmt.Sprint(upstream, now.Unix()), running, culprit) {
			continue
		}
		crashes++
		if crashes > 2 {
			t.Fatalf("%d crashes", crashes)
		}
		random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
		suspects = append(suspects, running...)
	}
}

// runTogether runs requests at one upstream and reports whether it crashed.
func runTogether(t *rapid.T, q *Quarantiner, now time.Time, id string, running []currantwood.Fingerprint, culprit currantwood.Fingerprint) bool {
	var admitted []currantwood.Fingerprint
	crashed := false
	for _, fingerprint := range running {
		status, _ := q.Status(now, fingerprint)
		if status != Quarantined {
			admitted = append(admitted, fingerprint)
			crashed = crashed || fingerprint == culprit
			continue
		}
		if fingerprint != culprit {
			t.Fatalf("innocent request %d is quarantined", fingerprint)
		}
	}
	if crashed {
		q.RecordCrash(now, Crash{ID: id, At: now, InFlight: admitted})
		return true
	}
	for _, fingerprint := range admitted {
		q.RecordCompletion(now, now, fingerprint)
	}
	return false
}

// BenchmarkSlopeCrashes measures how the time of Status grows with the number of
// crashes that are kept.
func BenchmarkSlopeCrashes(b *testing.B) {
	for _, count := range []int{125, 250, 500, 1000} {
		b.Run(fmt.Sprintf("crashes=%d", count), func(b *testing.B) {
			q := New(Options{})
			for i := range count {
				crash := newCrash(fmt.Sprint(i), 0)
				for j := range 60 {
					crash.InFlight = append(crash.InFlight, currantwood.Fingerprint(i*60+j))
				}
				q.RecordCrash(start, crash)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Status(start, 7)
			}
		})
	}
}
