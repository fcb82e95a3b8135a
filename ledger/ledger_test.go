package ledger

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "ledger")
}

// startTime is minute 0 of the specs.
var startTime = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// minute returns the time n minutes after startTime.
func minute(n float64) time.Time { return startTime.Add(time.Duration(n * float64(time.Minute))) }

const keyWindow = time.Hour

func payment(at time.Time) Operation {
	scope := Scope{Customer: "attorney", Rule: "fee", Key: "k1"}
	return Operation{Scope: scope, Fingerprint: 7, Deadline: at.Add(10 * time.Second), Window: keyWindow}
}

// intent returns an intent of another process.
func intent(attempt string, at time.Time) Record {
	o := payment(at)
	return Record{
		Kind: RecordIntent, Scope: o.Scope, Attempt: currantwood.AttemptID(attempt), At: at,
		Window: o.Window, Deadline: o.Deadline, Fingerprint: o.Fingerprint,
	}
}

func void(attempt string, at time.Time) Record {
	return Record{Kind: RecordVoid, Scope: payment(at).Scope, Attempt: currantwood.AttemptID(attempt), At: at, Window: keyWindow}
}

// page returns a page with one record per batch, starting at offset first. The log
// has dropped all records below first.
func page(first currantwood.Offset, records ...Record) Page {
	p := Page{First: first}
	for i, record := range records {
		offset := first + currantwood.Offset(i)
		p.Entries = append(p.Entries, LogEntry{Offset: offset, Batch: Batch{At: record.At, Seen: offset, Records: []Record{record}}})
	}
	p.Next = first + currantwood.Offset(len(records))
	return p
}

// firstAction returns the name of the first action, the kind of refusal if it is
// one, or "wait" if there is no action.
func firstAction(actions []Action) string {
	if len(actions) == 0 {
		return "wait"
	}
	if actions[0].Kind == ActionRefuse {
		return actions[0].Refusal.Kind.String()
	}
	return actions[0].Kind.String()
}

var _ = DescribeTable("A call at minute 70, with a window of one hour, in a process that has just read the log",
	func(log Page, want string) {
		l := New()
		l.ApplyPage(minute(70), log)
		Expect(firstAction(l.Begin(minute(70), "mine", payment(minute(70))))).To(Equal(want))
	},
	Entry("appends its intent if the log is empty and never dropped a record", page(0), "append"),
	Entry("is refused if the log is empty because it dropped records", page(9), "key-expired"),
	Entry("waits if the key has an owner within the window", page(0, intent("a", minute(20))), "wait"),
	Entry("appends its intent if the key had an owner before the window", page(0, intent("a", minute(5))), "append"),
	Entry("appends its intent if the owner was voided", page(0, intent("a", minute(60)), void("a", minute(61))), "append"),
	Entry("appends its intent if a void precedes the intent that it voids", page(0, void("a", minute(61)), intent("a", minute(60))), "append"),
	Entry("appends its intent if the owner was voided after another intent had lost to it",
		page(0, intent("a", minute(60)), intent("b", minute(60)), void("a", minute(61))), "append"),
	Entry("waits if only an intent that lost to the owner was voided",
		page(0, intent("a", minute(60)), intent("b", minute(60)), void("b", minute(61))), "wait"),
	Entry("appends its intent if the oldest batch is from before the window", page(9, Record{At: minute(5)}), "append"),
	Entry("is refused if the oldest batch is within the window", page(9, Record{At: minute(15)}), "key-expired"),
	Entry("is refused if the writer of the oldest batch had not read all the records that were dropped since",
		Page{First: 9, Next: 10, Entries: []LogEntry{{Offset: 9, Batch: Batch{At: minute(5), Seen: 3}}}}, "key-expired"),
	Entry("is refused if the only known claimant of a key with an uncertain owner was voided", page(9, intent("a", minute(60)), void("a", minute(61))), "key-expired"),
	Entry("waits if one of two claimants was voided",
		page(9, intent("a", minute(60)), intent("b", minute(60)), void("a", minute(61))), "wait"),
	Entry("is refused if both claimants were voided",
		page(9, intent("a", minute(60)), intent("b", minute(60)), void("a", minute(61)), void("b", minute(61))), "key-expired"),
	Entry("is refused if the log has a record that can't be decoded", Page{Next: 1, Entries: []LogEntry{{Unreadable: true}}}, "key-expired"),
)

var _ = DescribeTable("A call that arrives before the first read",
	func(first currantwood.Offset, want ActionKind) {
		l := New()
		record := l.Begin(minute(0), "mine", payment(minute(0)))[0].Record
		actions := l.ApplyPage(minute(0), page(first, record))
		Expect(actions[0].Kind).To(Equal(want))
	},
	Entry("owns its key if the log has dropped nothing", currantwood.Offset(0), ActionDispatch),
	Entry("is voided if the log doesn't reach back over the window", currantwood.Offset(9), ActionAppend),
)

var _ = It("keeps a key although the first known claimant was voided", func() {
	// An owner whose intent precedes this reader's first record won against "a". It
	// was voided before "b" was appended, so "b" owns the key and may have run. The
	// void of "a" must not free the key, although "a" is the first claimant that
	// this reader knows.
	l := New()
	l.ApplyPage(minute(62), page(9, Record{At: minute(0.5)}, intent("a", minute(59)), intent("b", minute(61)), void("a", minute(62))))
	Expect(firstAction(l.Begin(minute(62), "mine", payment(minute(62))))).To(Equal("wait"))
})

var _ = DescribeTable("A call whose append has failed",
	func(uncertainFirst, certain bool, want []ActionKind) {
		l := New()
		l.ApplyPage(minute(0), page(0))
		record := l.Begin(minute(0), "mine", payment(minute(0)))[0].Record
		if uncertainFirst {
			l.AppendFailed(minute(0), []Record{record}, false)
		}
		var kinds []ActionKind
		for _, action := range append(l.AppendFailed(minute(0), []Record{record}, certain), l.Tick(minute(1))...) {
			kinds = append(kinds, action.Kind)
		}
		Expect(kinds).To(Equal(want))
	},
	Entry("is refused at once without a void if the append certainly failed", false, true, []ActionKind{ActionRefuse}),
	Entry("is voided at the deadline if the result of the append is unknown", false, false, []ActionKind{ActionAppend, ActionRefuse}),
	Entry("is voided at the deadline if the first of two appends has an unknown result, as it may be in the log", true, true, []ActionKind{ActionAppend, ActionRefuse}),
)

var _ = It("removes operations and voided attempts once no call can need them", func() {
	l := New()
	l.ApplyPage(minute(0), page(0, intent("a", minute(0)), intent("b", minute(1)), void("b", minute(1))))
	Expect(l.Operations()).To(Equal(1))
	l.Tick(minute(60))
	Expect(l.Operations()).To(Equal(1))
	l.Tick(minute(60 + 11.2))
	Expect(l.Operations()).To(BeZero())
	Expect(l.voided).To(BeEmpty())
	Expect(l.expiry.items).To(BeEmpty())
})
