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
	startTime      = time.Unix(1_700_000_000, 0)
	vmCounts       = []int{1525, 3050, 6100, 12200}
	customerCounts = []int{1200, 2400, 4800, 9500}
	upstreamCounts = []int{32, 64, 128, 256}
)

// newVMs returns VMs of sides that are spread over six regions and 21
// availability zones.
func newVMs(count int) []currantwood.VM {
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

// BenchmarkSlopeVMBytes measures the memory that a registrar uses per VM.
func BenchmarkSlopeVMBytes(b *testing.B) {
	reportSlope(b, "B/VM", vmCounts, func(size int) float64 {
		return retainedBytes(func() any {
			r := registrar.New(registrar.Options{})
			r.ApplyList(startTime, newVMs(size))
			return r
		})
	})
}

// BenchmarkSlopeVMList measures the time to process a VM list that changes nothing.
func BenchmarkSlopeVMList(b *testing.B) {
	reportSlope(b, "ns/VM", vmCounts, func(size int) float64 {
		list := newVMs(size)
		r := registrar.New(registrar.Options{})
		return nanosecondsPerCall(5, func() { r.ApplyList(startTime, list) })
	})
}

// newLimiterWithCustomers returns a limiter that has admitted one request of each
// customer.
func newLimiterWithCustomers(size int) *limiter.Limiter {
	l := limiter.New(limiter.DefaultOptions())
	for i := range size {
		customer := currantwood.CustomerID(fmt.Sprintf("customer-%d", i))
		l.Admit(startTime, currantwood.Demand{Customer: customer, Request: currantwood.RequestID(fmt.Sprint(i))})
	}
	return l
}

// BenchmarkSlopeCustomerBytes measures the memory that a limiter uses per customer.
func BenchmarkSlopeCustomerBytes(b *testing.B) {
	reportSlope(b, "B/customer", customerCounts, func(size int) float64 {
		return retainedBytes(func() any { return newLimiterWithCustomers(size) })
	})
}

// BenchmarkSlopeCustomerTick measures the time of one tick of a limiter.
func BenchmarkSlopeCustomerTick(b *testing.B) {
	reportSlope(b, "ns/customer", customerCounts, func(size int) float64 {
		l := newLimiterWithCustomers(size)
		return nanosecondsPerCall(10, func() { l.Tick(startTime) })
	})
}

// newRulesText returns rules of the given number of lines.
func newRulesText(lines int) string {
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

// BenchmarkSlopeRuleBytes measures the memory of a matcher per rule.
func BenchmarkSlopeRuleBytes(b *testing.B) {
	reportSlope(b, "B/line", customerCounts, func(size int) float64 {
		return retainedBytes(func() any { return mustMatcher(b, newRulesText(size)) })
	})
}

// BenchmarkSlopeRuleParse measures the time to parse rules and to build their matcher.
func BenchmarkSlopeRuleParse(b *testing.B) {
	reportSlope(b, "ns/line", customerCounts, func(size int) float64 {
		text := newRulesText(size)
		return nanosecondsPerCall(3, func() { mustMatcher(b, text) })
	})
}

// BenchmarkSlopePick measures the time to pick an upstream.
func BenchmarkSlopePick(b *testing.B) {
	reportSlope(b, "ns/candidate", upstreamCounts, func(size int) float64 {
		p := picker.New(picker.DefaultOptions("home"), randv2.New(randv2.NewPCG(1, 1)))
		candidates := make([]currantwood.Candidate, size)
		for i := range candidates {
			candidates[i] = currantwood.Candidate{
				Upstream: currantwood.UpstreamID(fmt.Sprint(i)), Region: "home", Headroom: 1 << 40, ReportedAt: startTime,
			}
		}
		now := startTime.Add(100 * time.Millisecond)
		return nanosecondsPerCall(2000, func() { p.Pick(now, currantwood.Demand{PromptTokens: 200, Region: "home"}, candidates) })
	})
}

// BenchmarkSlopeProber measures the time to check all upstreams for stalls.
func BenchmarkSlopeProber(b *testing.B) {
	reportSlope(b, "ns/upstream", upstreamCounts, func(size int) float64 {
		p := prober.New(prober.Options{}, rand.New(rand.NewSource(1)))
		for i := range size {
			p.Started(startTime, currantwood.UpstreamID(fmt.Sprint(i)), time.Second)
		}
		return nanosecondsPerCall(200, func() { p.EjectStalled(startTime) })
	})
}

// BenchmarkSlopeCrashBytes measures the memory of a quarantiner per crash with 60
// requests in flight.
func BenchmarkSlopeCrashBytes(b *testing.B) {
	reportSlope(b, "B/crash", []int{125, 250, 500, 1000}, func(size int) float64 {
		return retainedBytes(func() any {
			q := quarantiner.New(quarantiner.Options{})
			for i := range size {
				crash := quarantiner.Crash{ID: fmt.Sprint(i), At: startTime}
				for j := range 60 {
					crash.InFlight = append(crash.InFlight, currantwood.Fingerprint(i*60+j))
				}
				q.RecordCrash(startTime, crash)
			}
			return q
		})
	})
}

// newOperationsPage returns a page of the operations log with the intents and the
// outcomes of count operations, one record in a batch. from is the number of the
// first operation.
func newOperationsPage(from, count int) ledger.Page {
	page := ledger.Page{Next: currantwood.Offset(2 * (from + count))}
	for i := from; i < from+count; i++ {
		record := ledger.Record{
			Kind: ledger.RecordIntent, At: startTime, Window: 24 * time.Hour, Deadline: startTime.Add(time.Minute),
			Scope:   ledger.Scope{Customer: "customer-17", Rule: "payments", Key: currantwood.OperationKey(fmt.Sprintf("key-of-36-bytes-as-uuids-are-%07d", i))},
			Attempt: currantwood.AttemptID(fmt.Sprintf("attempt-of-36-bytes-as-uuids-%07d", i)), Fingerprint: currantwood.Fingerprint(i),
		}
		outcome := record
		outcome.Kind, outcome.Window, outcome.Deadline = ledger.RecordOutcome, 0, time.Time{}
		outcome.Outcome = &ledger.Outcome{Response: currantwood.ServiceResponse{Status: 200, Body: []byte(`{"receipt":"12345678"}`)}}
		page.Entries = append(page.Entries, newLogged(2*i, record), newLogged(2*i+1, outcome))
	}
	return page
}

// newLogged returns a batch of one record at an offset of the log.
func newLogged(offset int, record ledger.Record) ledger.LogEntry {
	return ledger.LogEntry{
		Offset: currantwood.Offset(offset),
		Batch:  ledger.Batch{At: startTime, Seen: currantwood.Offset(offset), Records: []ledger.Record{record}},
	}
}

var operationCounts = []int{5000, 10000, 20000, 40000}

// BenchmarkSlopeOperationBytes measures the memory of a ledger per operation.
func BenchmarkSlopeOperationBytes(b *testing.B) {
	reportSlope(b, "B/operation", operationCounts, func(size int) float64 {
		return retainedBytes(func() any {
			l := ledger.New()
			l.ApplyPage(startTime, newOperationsPage(0, size))
			if l.Operations() != size {
				b.Fatalf("ledger has %d operations, want %d", l.Operations(), size)
			}
			return l
		})
	})
}

// BenchmarkSlopeOperationRead measures the time to read operations into an empty
// ledger.
func BenchmarkSlopeOperationRead(b *testing.B) {
	reportSlope(b, "ns/operation", operationCounts, func(size int) float64 {
		page := newOperationsPage(0, size)
		return nanosecondsPerCall(1, func() { ledger.New().ApplyPage(startTime, page) })
	})
}

// BenchmarkSlopeOperationLogBytes measures the encoded size of a batch per
// operation, with its intent and its outcome.
func BenchmarkSlopeOperationLogBytes(b *testing.B) {
	reportSlope(b, "B/operation", []int{1, 4, 16, 64}, func(size int) float64 {
		var batch ledger.Batch
		for _, logged := range newOperationsPage(0, size).Entries {
			batch.Records = append(batch.Records, logged.Batch.Records...)
		}
		data, err := batch.Encode()
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	})
}

// BenchmarkSlopeHeadFetch measures the time to transfer a changed head of the rules
// from one entry to another: the creation of the receiving
// spreader, the answer to its fetch and the adoption of the head.
func BenchmarkSlopeHeadFetch(b *testing.B) {
	reportSlope(b, "ns/line", customerCounts, func(size int) float64 {
		base := newRulesText(size)
		next := strings.Replace(base, "priority=5", "priority=6", 1)
		from, to := newSpreader(base), newSpreader(base)
		from.PeerUp(startTime, spreader.Peer{ID: "to", Region: "r"})
		from.Adopt(startTime, newAnchor(2, next))
		return nanosecondsPerCall(1, func() {
			fetched := from.Handle(startTime, "to", &wire.Frame{Body: &wire.Frame_HeadFetch{HeadFetch: &wire.HeadFetch{Have: 1}}})
			to = newSpreader(base)
			to.PeerUp(startTime, spreader.Peer{ID: "from", Region: "r"})
			to.Handle(startTime, "from", fetched[0].Frame)
			if to.Snapshot().Head.Revision != 2 {
				b.Fatal("the fetched head was not adopted")
			}
		})
	})
}

// newSpreader returns a spreader whose head is the text at revision 1.
func newSpreader(text string) *spreader.Spreader {
	s := spreader.New(spreader.Options{Region: "r", Random: randv2.New(randv2.NewPCG(1, 1))})
	s.Adopt(startTime, newAnchor(1, text))
	return s
}

func newAnchor(revision currantwood.Revision, text string) headkeeper.Snapshot {
	return headkeeper.Snapshot{Head: currantwood.RulesHead{Revision: revision, Publication: "p", Text: text}}
}
