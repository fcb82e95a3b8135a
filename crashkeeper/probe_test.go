package crashkeeper

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// newBlocked returns a keeper in which a suspect was blocked at start.
func newBlocked(s currantwood.Suspect) *Keeper {
	k := New()
	for i := range maxCrashes {
		k.Record(start, AgedCrash{Crash: Crash{Suspect: s, Upstream: currantwood.UpstreamID(fmt.Sprint(i))}})
	}
	Expect(k.Blocked(start, s)).To(BeTrue())
	return k
}

var _ = Describe("A probe", func() {
	DescribeTable("is sent some time after the last crash, only with a suspect that requests share",
		func(s currantwood.Suspect, after time.Duration, sent bool) {
			Expect(newBlocked(s).TakeProbe(start.Add(after), s)).To(Equal(sent))
		},
		Entry("a path", path(7), probeDelay, true),
		Entry("a path, too early", path(7), probeDelay-1, false),
		Entry("a request", request(7), probeDelay, false),
	)

	It("is sent maxProbes times at most, by whichever gateways, while the upstreams crash", func() {
		keepers := []*Keeper{newBlocked(path(7)), newBlocked(path(7))}
		probes := 0
		for now := start; now.Before(start.Add(crashLifetime - time.Second)); now = now.Add(time.Second) {
			if k := keepers[probes%2]; k.TakeProbe(now, path(7)) {
				probes++
				k.Record(now, AgedCrash{Crash: Crash{Suspect: path(7), Upstream: currantwood.UpstreamID(fmt.Sprint("probed-", probes))}})
			}
			exchange(now, keepers[0], keepers[1], currantwood.Suspect{})
			exchange(now, keepers[1], keepers[0], currantwood.Suspect{})
		}
		Expect(probes).To(Equal(maxProbes))
	})

	It("that is completed lets all requests pass, and starts anew after later crashes", func() {
		k := newBlocked(path(7))
		now := start.Add(probeDelay)
		Expect(k.TakeProbe(now, path(7))).To(BeTrue())
		k.RecordCompletion(now, path(7))
		Expect(k.Blocked(now, path(7))).To(BeFalse())
		for i := range maxCrashes {
			k.Record(now.Add(time.Second), AgedCrash{Crash: Crash{Suspect: path(7), Upstream: currantwood.UpstreamID(fmt.Sprint("later-", i))}})
		}
		Expect(k.TakeProbe(now.Add(time.Second+probeDelay), path(7))).To(BeTrue())
	})
})
