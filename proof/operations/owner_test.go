package operations_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/service"
)

// startPayment sends a payment, waits until it has reached a desk, and returns the
// desk and a channel for the response. The desks must be slow or frozen.
func (env *environment) startPayment(entry int, key string) (*demonstrator.Upstream, <-chan response) {
	before := make([]int, len(env.desks()))
	for i, desk := range env.desks() {
		before[i] = desk.Service.Counts().Calls
	}
	responses := make(chan response, 1)
	go func() {
		defer GinkgoRecover()
		responses <- env.pay(entry, key, paymentBody)
	}()
	var reached *demonstrator.Upstream
	Eventually(func() *demonstrator.Upstream {
		for i, desk := range env.desks() {
			if desk.Service.Counts().Calls > before[i] {
				reached = desk
			}
		}
		return reached
	}).WithTimeout(waitTimeout).ShouldNot(BeNil())
	return reached, responses
}

// replaceSide replaces the side of an upstream. With kill, the old one ends at once,
// else it shuts down gracefully first.
func (env *environment) replaceSide(u *demonstrator.Upstream, kill bool) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	Expect(env.ReplaceSide(ctx, u, kill)).To(Succeed())
}

var _ = Describe("the owner of an operation", func() {
	It("is killed between dispatch and outcome: the outcome stays unknown and the operation never runs again", func() {
		env := newEnvironment()
		env.setDeskFaults(service.Faults{Freeze: true})
		desk, responses := env.startPayment(0, "k")
		env.replaceSide(desk, true)
		var got response
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.Ran).To(Equal("unknown"))
		env.setDeskFaults(service.Faults{})
		Eventually(func() string { return env.pay(1, "k", paymentBody).Kind }).WithTimeout(waitTimeout).Should(Equal("outcome-unknown"))
		Expect(env.queryOperation(0, got.Operation).Kind).To(Equal("outcome-unknown"))
		env.check()
	})

	It("is killed between intent and dispatch: nothing runs, unknown is told", func() {
		env := newEnvironment()
		env.Log.SetFaults(logservice.Faults{ReadLagMS: 60_000})
		appends := env.operationAppends()
		responses := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			responses <- env.pay(0, "k", paymentBody)
		}()
		Eventually(env.operationAppends).WithTimeout(waitTimeout).Should(BeNumerically(">", appends))
		for _, desk := range env.desks() {
			env.replaceSide(desk, true)
		}
		env.Log.SetFaults(logservice.Faults{})
		var got response
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.Ran).To(Equal("unknown"))
		Eventually(func() string { return env.pay(1, "k", paymentBody).Kind }).WithTimeout(waitTimeout).Should(Equal("outcome-unknown"))
		Expect(env.runs("k")).To(BeZero())
	})

	It("gets the outcome after the deadline: it is recorded and can be queried", func() {
		env := newEnvironment()
		env.setDeskFaults(service.Faults{Freeze: true})
		_, responses := env.startPayment(0, "k")
		resent := env.pay(1, "k", paymentBody)
		Expect(resent.Ran).To(Equal("unknown"))
		var got response
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.Kind).To(Equal("outcome-unknown"))
		Expect(got.Operation).To(Equal(resent.Operation))
		env.setDeskFaults(service.Faults{})
		Eventually(func() int { return env.queryOperation(1, got.Operation).Status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
		again := env.pay(0, "k", paymentBody)
		Expect(again.Replayed).To(BeTrue())
		env.check()
	})

	It("can't record the outcome while the log is down: its client gets the response at once, others get it later", func() {
		env := newEnvironment()
		env.setDeskFaults(service.Faults{Freeze: true})
		_, responses := env.startPayment(0, "k")
		env.Log.SetFaults(logservice.Faults{Down: true})
		env.setDeskFaults(service.Faults{})
		var got response
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.Status).To(Equal(http.StatusOK))
		env.Log.SetFaults(logservice.Faults{})
		again := env.payUntilServed(1, "k")
		Expect(again.Body).To(Equal(got.Body))
		env.check()
	})

	It("is killed while no other side accepts work: the outcome is unknown, although no other side ran it", func() {
		env := newEnvironment()
		env.setDeskFaults(service.Faults{Freeze: true})
		desk, responses := env.startPayment(0, "k")
		for _, other := range env.desks() {
			if other != desk {
				other.Side.Leave()
			}
		}
		desk.Side.Kill()
		var got response
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.Kind).To(Equal("outcome-unknown"))
		Expect(got.Operation).NotTo(BeEmpty())
		env.setDeskFaults(service.Faults{})
		Eventually(func() int { return env.runs("k") }).WithTimeout(waitTimeout).Should(Equal(1))
		env.check()
	})

	It("loses its entry: the client resends through another entry and gets the response of the only run", func() {
		env := newEnvironment()
		env.setDeskFaults(service.Faults{DelayMS: 700})
		_, responses := env.startPayment(0, "k")
		env.Entries[0].Kill()
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(HaveField("Status", 0)))
		Expect(env.payUntilServed(1, "k").Replayed).To(BeTrue())
		env.check()
	})

	It("loses its link: the entry retries at another side, which waits for the outcome", func() {
		env := newEnvironment()
		env.setDeskFaults(service.Faults{DelayMS: 700})
		_, responses := env.startPayment(0, "k")
		for n := range 8 {
			env.CloseConnection(n)
		}
		var got response
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&got))
		if got.Status != http.StatusOK {
			Expect(got.Ran).To(Equal("unknown"), got.Body)
		}
		env.payUntilServed(0, "k")
		env.check()
	})

	It("shuts down gracefully with calls in flight: they complete and are recorded", func() {
		env := newEnvironment()
		env.setDeskFaults(service.Faults{DelayMS: 500})
		desk, responses := env.startPayment(0, "k")
		env.replaceSide(desk, false)
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(HaveField("Status", http.StatusOK)))
		Expect(env.payUntilServed(1, "k").Replayed).To(BeTrue())
		env.check()
	})

	It("restarts after the log has dropped the record: the key is refused as expired", func() {
		env := newEnvironment()
		env.payUntilServed(0, "k")
		env.waitUntilQuiet()
		env.Log.SetFaults(logservice.Faults{RetentionMS: 1})
		env.Log.SetFaults(logservice.Faults{})
		for _, desk := range env.desks() {
			env.replaceSide(desk, true)
		}
		for entry := range env.Entries {
			var got response
			Eventually(func() string {
				got = env.pay(entry, "k", paymentBody)
				return got.Kind
			}).WithTimeout(waitTimeout).Should(Equal("key-expired"))
			Expect(got.Ran).To(Equal("not-run"))
			Expect(got.RetryAfterMS).To(BeNumerically("~", time.Hour.Milliseconds(), time.Minute.Milliseconds()))
		}
		env.check()
	})
})
