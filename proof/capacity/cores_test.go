package capacity

import (
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/ledger"
	"github.com/currantwood/currantwood/limiter"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/parser"
	"github.com/currantwood/currantwood/picker"
	"github.com/currantwood/currantwood/prober"
	"github.com/currantwood/currantwood/quarantiner"
	"github.com/currantwood/currantwood/registrar"
	"github.com/currantwood/currantwood/spreader"
	"github.com/currantwood/currantwood/wire"
)

var (
	start     = time.Unix(1_700_000_000, 0)
	fleet     = []int{1525, 3050, 6100, 12200}
	customers = []int{1200, 2400, 4800, 9500}
	upstreams = []int{32, 64, 128, 256}
)

func vms(count int) []currantwood.VM {
	list := make([]currantwood.VM, count)
	for i := range list {
		list[i] = currantwood.VM{
			ID:              currantwood.VMID(fmt.Sprintf("vm-side-%06d", i)),
			Role:            currantwood.RoleSide.String(),
			Region:          currantwood.RegionID(fmt.Sprintf("region-%d", i%6)),
			Zone:            currantwood.ZoneID(fmt.Sprintf("zone-%d", i%21)),
			Address:         fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
			OperatorAddress: fmt.Sprintf("10.%d.%d.1:7001", i/250, i%250),
			Upstream:        currantwood.UpstreamID(fmt.Sprintf("engine-%06d", i)),
			Group:           "group-1", Model: "model-1",
		}
	}
	return list
}

func BenchmarkSlopeMemberBytes(b *testing.B) {
	slope(b, "B/VM", fleet, func(size int) float64 {
		return heldBytes(func() any {
			r := registrar.New(registrar.Options{})
			r.List(start, vms(size))
			return r
		})
	})
}

func BenchmarkSlopeMemberList(b *testing.B) {
	slope(b, "ns/VM", fleet, func(size int) float64 {
		list := vms(size)
		r := registrar.New(registrar.Options{})
		return perCall(5, func() { r.List(start, list) })
	})
}

func fullLimiter(size int) *limiter.Limiter {
	l := limiter.New(limiter.DefaultOptions())
	for i := range size {
		customer := currantwood.CustomerID(fmt.Sprintf("customer-%d", i))
		l.Admit(start, currantwood.Demand{Customer: customer, Request: currantwood.RequestID(fmt.Sprint(i))})
	}
	return l
}

func BenchmarkSlopeCustomerBytes(b *testing.B) {
	slope(b, "B/customer", customers, func(size int) float64 {
		return heldBytes(func() any { return fullLimiter(size) })
	})
}

func BenchmarkSlopeCustomerTick(b *testing.B) {
	slope(b, "ns/customer", customers, func(size int) float64 {
		l := fullLimiter(size)
		return perCall(10, func() { l.Tick(start) })
	})
}

func rulesText(lines int) string {
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, "rule r%d method=POST path=/v1/p%d/* model=m group=g class=stream repeatable=yes priority=5 deadline=10m # asked-by Ann: load test\n", i, i)
	}
	return text.String()
}

func mustMatcher(b *testing.B, text string) *matcher.Matcher {
	rules, err := parser.Parse(text)
	if err != nil {
		b.Fatal(err)
	}
	return matcher.New(rules)
}

func BenchmarkSlopeRuleBytes(b *testing.B) {
	slope(b, "B/line", customers, func(size int) float64 {
		return heldBytes(func() any { return mustMatcher(b, rulesText(size)) })
	})
}

func BenchmarkSlopeRuleInForce(b *testing.B) {
	slope(b, "ns/line", customers, func(size int) float64 {
		text := rulesText(size)
		return perCall(3, func() { mustMatcher(b, text) })
	})
}

func BenchmarkSlopePick(b *testing.B) {
	slope(b, "ns/candidate", upstreams, func(size int) float64 {
		p := picker.New(picker.DefaultOptions("home"), randv2.New(randv2.NewPCG(1, 1)))
		candidates := make([]currantwood.Candidate, size)
		for i := range candidates {
			candidates[i] = currantwood.Candidate{
				Upstream: currantwood.UpstreamID(fmt.Sprint(i)), Region: "home", Headroom: 1 << 40, ReportedAt: start,
			}
		}
		now := start.Add(100 * time.Millisecond)
		return perCall(2000, func() { p.Pick(now, currantwood.Demand{PromptTokens: 200, Region: "home"}, candidates) })
	})
}

func BenchmarkSlopeProber(b *testing.B) {
	slope(b, "ns/upstream", upstreams, func(size int) float64 {
		p := prober.New(prober.Options{}, rand.New(rand.NewSource(1)))
		for i := range size {
			p.Started(start, currantwood.UpstreamID(fmt.Sprint(i)), time.Second)
		}
		return perCall(200, func() { p.EjectStalled(start) })
	})
}

func BenchmarkSlopeCrashBytes(b *testing.B) {
	slope(b, "B/crash", []int{125, 250, 500, 1000}, func(size int) float64 {
		return heldBytes(func() any {
			q := quarantiner.New(quarantiner.Options{})
			for i := range size {
				crash := quarantiner.Crash{ID: fmt.Sprint(i), At: start}
				for j := range 60 {
					crash.InFlight = append(crash.InFlight, currantwood.Fingerprint(i*60+j))
				}
				q.RecordCrash(start, crash)
			}
			return q
		})
	})
}

// operations is a page of the operations log with one operation in each batch,
// each with its outcome, from the given offset on.
func operations(from, count int) ledger.Page {
	page := ledger.Page{Next: currantwood.Offset(2 * (from + count))}
	for i := from; i < from+count; i++ {
		record := ledger.Record{
			Kind: ledger.RecordIntent, At: start, Window: 24 * time.Hour, Deadline: start.Add(time.Minute),
			Scope:   ledger.Scope{Customer: "customer-17", Rule: "payments", Key: currantwood.OperationKey(fmt.Sprintf("key-of-36-bytes-as-uuids-are-%07d", i))},
			Attempt: currantwood.AttemptID(fmt.Sprintf("attempt-of-36-bytes-as-uuids-%07d", i)), Fingerprint: currantwood.Fingerprint(i),
		}
		outcome := record
		outcome.Kind, outcome.Window, outcome.Deadline = ledger.RecordOutcome, 0, time.Time{}
		outcome.Outcome = &ledger.Outcome{Answer: currantwood.ServiceResponse{Status: 200, Body: []byte(`{"receipt":"12345678"}`)}}
		page.Entries = append(page.Entries, entry(2*i, record), entry(2*i+1, outcome))
	}
	return page
}

func entry(offset int, record ledger.Record) ledger.Logged {
	return ledger.Logged{
		Offset: currantwood.Offset(offset),
		Batch:  ledger.Batch{At: start, Seen: currantwood.Offset(offset), Records: []ledger.Record{record}},
	}
}

var keys = []int{5000, 10000, 20000, 40000}

func BenchmarkSlopeOperationBytes(b *testing.B) {
	slope(b, "B/operation", keys, func(size int) float64 {
		return heldBytes(func() any {
			l := ledger.New()
			l.Read(start, operations(0, size))
			if l.Operations() != size {
				b.Fatalf("%d operations", l.Operations())
			}
			return l
		})
	})
}

func BenchmarkSlopeOperationRead(b *testing.B) {
	slope(b, "ns/operation", keys, func(size int) float64 {
		page := operations(0, size)
		return perCall(1, func() { ledger.New().Read(start, page) })
	})
}

func BenchmarkSlopeOperationLogBytes(b *testing.B) {
	slope(b, "B/operation", []int{1, 4, 16, 64}, func(size int) float64 {
		var batch ledger.Batch
		for _, logged := range operations(0, size).Entries {
			batch.Records = append(batch.Records, logged.Batch.Records...)
		}
		data, err := batch.Encode()
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	})
}

// BenchmarkSlopeHop is one entry's work to take a changed head from a peer and hand it on.
func BenchmarkSlopeHop(b *testing.B) {
	slope(b, "ns/line", customers, func(size int) float64 {
		base := rulesText(size)
		next := strings.Replace(base, "priority=5", "priority=6", 1)
		from, to := newSpreader(base), newSpreader(base)
		from.PeerUp(start, spreader.Peer{ID: "to", Region: "r"})
		from.Adopt(start, anchor(2, next))
		return perCall(1, func() {
			fetched := from.Handle(start, "to", &wire.Frame{Body: &wire.Frame_HeadFetch{HeadFetch: &wire.HeadFetch{Have: 1}}})
			to = newSpreader(base)
			to.PeerUp(start, spreader.Peer{ID: "from", Region: "r"})
			to.Handle(start, "from", fetched[0].Frame)
			if to.Anchor().Head.Revision != 2 {
				b.Fatal("head was not taken")
			}
		})
	})
}

func newSpreader(text string) *spreader.Spreader {
	s := spreader.New(spreader.Options{Region: "r", Random: randv2.New(randv2.NewPCG(1, 1))})
	s.Adopt(start, anchor(1, text))
	return s
}

func anchor(revision currantwood.Revision, text string) headkeeper.Anchor {
	return headkeeper.Anchor{Head: currantwood.RulesHead{Revision: revision, Publication: "p", Text: text}}
}
