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

// sendPayment returns a function that sends a payment with the given Idempotency-Key
// headers.
func sendPayment(key ...string) func(*environment) response {
	return func(env *environment) response {
		return env.send(0, http.MethodPost, "/payments", http.Header{"Idempotency-Key": key}, paymentBody)
	}
}

var _ = DescribeTable("the refusal of a request matches what the desks ran",
	func(prepare func(*environment), send func(*environment) response, status int, kind, ran string, newRuns int) {
		env := newEnvironment()
		before := env.totalRuns()
		prepare(env)
		got := send(env)
		Expect(got.Status).To(Equal(status), got.Body)
		Expect(got.Kind).To(Equal(kind))
		Expect(got.Ran).To(Equal(ran))
		Expect(got.Operation != "").To(Equal(ran == "unknown"))
		env.Log.SetFaults(logservice.Faults{})
		env.setDeskFaults(service.Faults{})
		if newRuns > 0 {
			Eventually(env.totalRuns).WithTimeout(waitTimeout).Should(Equal(before + newRuns))
		}
		Consistently(env.totalRuns).WithTimeout(300 * time.Millisecond).Should(Equal(before + newRuns))
	},
	Entry("without a key", noFaults, sendPayment(), 400, "key-required", "not-run", 0),
	Entry("an empty key", noFaults, sendPayment(""), 400, "key-required", "not-run", 0),
	Entry("two keys", noFaults, sendPayment("a", "b"), 400, "bad-request", "not-run", 0),
	Entry("a key with an unclosed quote", noFaults, sendPayment(`"a`), 400, "bad-request", "not-run", 0),
	Entry("a key that is too long", noFaults, sendPayment(strings.Repeat("a", 256)), 400, "bad-request", "not-run", 0),
	Entry("a used key with another body", noFaults, func(env *environment) response {
		return env.send(1, http.MethodPost, "/payments", http.Header{"Idempotency-Key": {`"warm-up"`}}, "amount=9")
	}, 422, "key-conflict", "not-run", 0),
	Entry("no rule matches", noFaults, func(env *environment) response {
		return env.send(0, http.MethodPut, "/payments", http.Header{"Idempotency-Key": {"a"}}, paymentBody)
	}, 404, "no-rule", "not-run", 0),
	Entry("the log is down", withLogFaults(logservice.Faults{Down: true}), sendPayment("a"), 503, "log-down", "not-run", 0),
	Entry("the log takes longer than the deadline", withLogFaults(logservice.Faults{DelayMS: 4000}), sendPayment("a"), 504, "deadline", "not-run", 0),
	Entry("log readers lag for longer than the deadline", withLogFaults(logservice.Faults{ReadLagMS: 4000}), sendPayment("a"), 504, "deadline", "not-run", 0),
	Entry("the response of the desk is lost", withDeskFaults(service.Faults{LoseResponses: 1}), sendPayment("a"), 504, "outcome-unknown", "unknown", 1),
	Entry("the desk is frozen until after the deadline", withDeskFaults(service.Faults{Freeze: true}), sendPayment("a"), 504, "outcome-unknown", "unknown", 1),
	Entry("the operation is still running", func(env *environment) {
		env.setDeskFaults(service.Faults{Freeze: true})
		env.startPayment(1, "a")
	}, sendPayment("a"), 409, "in-progress", "unknown", 1),
	Entry("all sides are leaving", func(env *environment) {
		for _, desk := range env.desks() {
			desk.Side.Leave()
		}
	}, sendPayment("a"), 503, "no-upstream", "not-run", 0),
	Entry("a query for an unknown operation", noFaults, func(env *environment) response {
		return env.queryOperation(0, "op-ZmVlCm5vYm9keQ")
	}, 404, "not-found", "unknown", 0),
	Entry("a query with a malformed operation ID", noFaults, func(env *environment) response { return env.queryOperation(0, "op-") }, 400, "bad-request", "not-run", 0),
	Entry("a query while the log is down", withLogFaults(logservice.Faults{Down: true}), func(env *environment) response {
		return env.queryOperation(0, "op-ZmVlCndhcm0tdXA")
	}, 503, "log-down", "unknown", 0),
)

func noFaults(*environment) {}

func withLogFaults(faults logservice.Faults) func(*environment) {
	return func(env *environment) { env.Log.SetFaults(faults) }
}

func withDeskFaults(faults service.Faults) func(*environment) {
	return func(env *environment) { env.setDeskFaults(faults) }
}

// totalRuns counts the runs at all desks, including those of calls without a key.
func (env *environment) totalRuns() int {
	sum := 0
	for _, desk := range env.desks() {
		for _, key := range desk.Service.Counts().RunsByKey {
			sum += key.Runs
		}
	}
	return sum
}

var _ = It("refuses payments at once while the log is down, and serves lookups and generations", func() {
	env := newEnvironment()
	env.Log.SetFaults(logservice.Faults{Down: true})
	for range 5 {
		got := env.pay(0, "k", paymentBody)
		Expect(got.Kind).To(Equal("log-down"))
		Expect(got.Ran).To(Equal("not-run"))
		Expect(got.Header.Get("Retry-After")).To(Equal("1"))
		Expect(got.Took).To(BeNumerically("<", paymentDeadline/2))
		lookup := env.send(0, http.MethodGet, "/payments/7", http.Header{}, "")
		Expect(lookup.Status).To(Equal(http.StatusOK), lookup.Body)
	}
	summary := env.send(0, http.MethodPost, "/v1/completions", http.Header{}, `{"model":"court-summary","prompt":"fees","standin-tokens":20}`)
	Expect(summary.Status).To(Equal(http.StatusOK), summary.Body)
	Expect(env.pay(0, "warm-up", paymentBody).Replayed).To(BeTrue())
	env.Log.SetFaults(logservice.Faults{})
	env.payUntilServed(0, "k")
	env.check()
})
