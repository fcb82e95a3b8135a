package operations_test

import (
	"fmt"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/service"
)

// payThroughBothEntries sends a payment for each of n keys through both entries at
// the same time.
func (env *environment) payThroughBothEntries(n int) []response {
	responses := make([]response, 2*n)
	var wait sync.WaitGroup
	for i := range responses {
		wait.Go(func() {
			defer GinkgoRecover()
			responses[i] = env.pay(i%2, fmt.Sprintf("k%03d", i/2), paymentBody)
		})
	}
	wait.Wait()
	return responses
}

var _ = DescribeTable("payments with the same key sent in two regions at the same time",
	func(log logservice.Faults, desk service.Faults, allServed bool) {
		const keys = 40
		env := newEnvironment()
		env.Log.SetFaults(log)
		env.setDeskFaults(desk)
		responses := env.payThroughBothEntries(keys)
		if allServed {
			for _, got := range responses {
				Expect(got.Status).To(Equal(http.StatusOK), got.Body)
			}
		}
		env.Log.SetFaults(logservice.Faults{})
		env.setDeskFaults(service.Faults{})
		env.check()
		for i := range keys {
			key := fmt.Sprintf("k%03d", i)
			if desk.LoseResponses == 0 && env.runs(key) == 0 {
				env.payUntilServed(0, key)
			}
		}
		env.check()
	},
	Entry("without a fault", logservice.Faults{}, service.Faults{}, true),
	Entry("responses to appends are lost", logservice.Faults{LoseResponses: 6}, service.Faults{}, false),
	Entry("the log is slow", logservice.Faults{DelayMS: 150}, service.Faults{}, true),
	Entry("the log takes longer than the deadline", logservice.Faults{DelayMS: 2500}, service.Faults{}, false),
	Entry("the log accepts 30 appends per second", logservice.Faults{AppendsPerSecond: 30}, service.Faults{}, false),
	Entry("log readers lag", logservice.Faults{ReadLagMS: 400}, service.Faults{}, true),
	Entry("log readers lag for longer than the deadline", logservice.Faults{ReadLagMS: 3000}, service.Faults{}, false),
	Entry("the desks are slow", logservice.Faults{}, service.Faults{DelayMS: 300}, true),
	Entry("the desks take longer than the deadline", logservice.Faults{}, service.Faults{DelayMS: 2500}, false),
	Entry("responses of the desks are lost", logservice.Faults{}, service.Faults{LoseResponses: 5}, false),
	Entry("responses to appends and responses of the desks are lost", logservice.Faults{LoseResponses: 6, DelayMS: 50}, service.Faults{LoseResponses: 5}, false),
)
