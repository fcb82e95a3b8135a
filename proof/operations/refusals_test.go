package operations_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/service"
)

// payment sends a payment with the given key header, or with none.
func payment(key ...string) func(*world) reply {
	return func(w *world) reply {
		return w.send(0, http.MethodPost, "/payments", http.Header{"Idempotency-Key": key}, body)
	}
}

var _ = DescribeTable("a refusal against what the desks ran",
	func(prepare func(*world), send func(*world) reply, status int, kind, ran string, newRuns int) {
		w := newWorld()
		before := w.allRuns()
		prepare(w)
		got := send(w)
		Expect(got.Status).To(Equal(status), got.Body)
		Expect(got.Kind).To(Equal(kind))
		Expect(got.Ran).To(Equal(ran))
		Expect(got.Op != "").To(Equal(ran == "unknown"))
		w.Log.SetFaults(logservice.Faults{})
		w.allDesks(service.Faults{})
		if newRuns > 0 {
			Eventually(w.allRuns).WithTimeout(patience).Should(Equal(before + newRuns))
		}
		Consistently(w.allRuns).WithTimeout(300 * time.Millisecond).Should(Equal(before + newRuns))
	},
	Entry("no key", healthy, payment(), 400, "key-required", "not-run", 0),
	Entry("empty key", healthy, payment(""), 400, "key-required", "not-run", 0),
	Entry("two keys", healthy, payment("a", "b"), 400, "bad-request", "not-run", 0),
	Entry("key with an open quote", healthy, payment(`"a`), 400, "bad-request", "not-run", 0),
	Entry("key too long", healthy, payment(strings.Repeat("a", 256)), 400, "bad-request", "not-run", 0),
	Entry("other input under the same key", healthy, func(w *world) reply {
		return w.send(1, http.MethodPost, "/payments", http.Header{"Idempotency-Key": {`"warm-up"`}}, "amount=9")
	}, 422, "key-conflict", "not-run", 0),
	Entry("no rule", healthy, func(w *world) reply {
		return w.send(0, http.MethodPut, "/payments", http.Header{"Idempotency-Key": {"a"}}, body)
	}, 404, "no-rule", "not-run", 0),
	Entry("log down", faultyLog(logservice.Faults{Down: true}), payment("a"), 503, "log-down", "not-run", 0),
	Entry("log too slow", faultyLog(logservice.Faults{DelayMS: 4000}), payment("a"), 504, "deadline", "not-run", 0),
	Entry("reader too slow", faultyLog(logservice.Faults{ReadLagMS: 4000}), payment("a"), 504, "deadline", "not-run", 0),
	Entry("desk's answer lost", faultyDesks(service.Faults{LoseAnswers: 1}), payment("a"), 504, "outcome-unknown", "unknown", 1),
	Entry("desk frozen, then woken", faultyDesks(service.Faults{Freeze: true}), payment("a"), 504, "outcome-unknown", "unknown", 1),
	Entry("still running", func(w *world) {
		w.allDesks(service.Faults{Freeze: true})
		w.inFlight(1, "a")
	}, payment("a"), 409, "in-progress", "unknown", 1),
	Entry("all sides leave", func(w *world) {
		for _, desk := range w.desks() {
			desk.Side.Leave()
		}
	}, payment("a"), 503, "no-upstream", "not-run", 0),
	Entry("an operation that nobody knows", healthy, func(w *world) reply {
		return w.ask(0, "op-ZmVlCm5vYm9keQ")
	}, 404, "not-found", "unknown", 0),
	Entry("a question that isn't one", healthy, func(w *world) reply { return w.ask(0, "op-") }, 400, "bad-request", "not-run", 0),
	Entry("a question while the log is down", faultyLog(logservice.Faults{Down: true}), func(w *world) reply {
		return w.ask(0, "op-ZmVlCndhcm0tdXA")
	}, 503, "log-down", "unknown", 0),
)

func healthy(*world) {}

func faultyLog(faults logservice.Faults) func(*world) {
	return func(w *world) { w.Log.SetFaults(faults) }
}

func faultyDesks(faults service.Faults) func(*world) {
	return func(w *world) { w.allDesks(faults) }
}

// allRuns counts the runs of all keys, and of calls without one.
func (w *world) allRuns() int {
	sum := 0
	for _, desk := range w.desks() {
		for _, key := range desk.Service.Counts().RunsByKey {
			sum += key.Runs
		}
	}
	return sum
}

var _ = It("refuses payments at once while the log is down, and serves lookups and generations", func() {
	w := newWorld()
	w.Log.SetFaults(logservice.Faults{Down: true})
	for range 5 {
		got := w.pay(0, "k", body)
		Expect(got.Kind).To(Equal("log-down"))
		Expect(got.Ran).To(Equal("not-run"))
		Expect(got.Header.Get("Retry-After")).To(Equal("1"))
		Expect(got.Took).To(BeNumerically("<", deadline/2))
		look := w.send(0, http.MethodGet, "/payments/7", http.Header{}, "")
		Expect(look.Status).To(Equal(http.StatusOK), look.Body)
	}
	summary := w.send(0, http.MethodPost, "/v1/completions", http.Header{}, `{"model":"court-summary","prompt":"fees","standin-tokens":20}`)
	Expect(summary.Status).To(Equal(http.StatusOK), summary.Body)
	Expect(w.pay(0, "warm-up", body).Replayed).To(BeTrue())
	w.Log.SetFaults(logservice.Faults{})
	w.untilPaid(0, "k")
	w.check()
})
