package crashkeeper

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// newBlocked returns a keeper in which a suspect was blocked at start. completed is
// whether it was completed some time before.
func newBlocked(s currantwood.Suspect, completed bool) *Keeper {
	k := New()
	if completed {
		k.RecordCompletion(start.Add(-time.Minute), s, start.Add(-time.Minute))
	}
	for i := range crashLimit(s.Kind) {
		age := settleTime
		if i == 0 {
			age = 0
		}
		k.Record(start, AgedCrash{Crash: Crash{Suspect: s, Upstream: currantwood.UpstreamID(fmt.Sprint(i))}, Age: age})
	}
	Expect(isBlocked(k, start, s)).To(BeTrue())
	return k
}

var _ = Describe("A probe", func() {
	DescribeTable("is sent some time after the last crash, only with a suspect that requests share",
		func(s currantwood.Suspect, completed bool, after time.Duration, sent bool) {
			Expect(newBlocked(s, completed).TakeProbe(start.Add(after), []currantwood.Suspect{s})).To(Equal(sent))
		},
		Entry("a path that was completed before", path(7), true, probeDelay, true),
		Entry("the same, too early", path(7), true, probeDelay-1, false),
		Entry("a path that never was", path(7), false, newSuspectProbeDelay, true),
		Entry("the same, too early", path(7), false, newSuspectProbeDelay-1, false),
		Entry("a part of a prompt that was completed before", part(7), true, probeDelay, true),
		Entry("a request", request(7), false, newSuspectProbeDelay, false),
	)

	It("is sent maxProbes times at most, by whichever gateways, while the upstreams crash", func() {
		keepers := []*Keeper{newBlocked(path(7), true), newBlocked(path(7), true)}
		probes := 0
		for now := start; now.Before(start.Add(crashLifetime - time.Second)); now = now.Add(time.Second) {
			if k := keepers[probes%2]; k.TakeProbe(now, []currantwood.Suspect{path(7)}) {
				probes++
				k.Record(now, AgedCrash{Crash: Crash{Suspect: path(7), Upstream: currantwood.UpstreamID(fmt.Sprint("probed-", probes))}})
			}
			exchange(now, keepers[0], keepers[1], currantwood.Suspect{})
			exchange(now, keepers[1], keepers[0], currantwood.Suspect{})
		}
		Expect(probes).To(Equal(maxProbes))
	})

	It("that is completed lets all requests pass, and starts anew after later crashes", func() {
		k := newBlocked(path(7), true)
		now := start.Add(probeDelay)
		Expect(k.TakeProbe(now, []currantwood.Suspect{path(7)})).To(BeTrue())
		k.RecordCompletion(now, path(7), now)
		Expect(isBlocked(k, now, path(7))).To(BeFalse())
		for i := range maxCrashes {
			at := now.Add(time.Second + time.Duration(i)*settleTime/2)
			k.Record(at, AgedCrash{Crash: Crash{Suspect: path(7), Upstream: currantwood.UpstreamID(fmt.Sprint("later-", i))}})
		}
		Expect(k.TakeProbe(now.Add(time.Second+settleTime+probeDelay), []currantwood.Suspect{path(7)})).To(BeTrue())
	})
})
