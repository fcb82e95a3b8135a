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

// payTwice sends each of n keys through both entries at once.
func (w *world) payTwice(n int) []reply {
	replies := make([]reply, 2*n)
	var wait sync.WaitGroup
	for i := range replies {
		wait.Go(func() {
			defer GinkgoRecover()
			replies[i] = w.pay(i%2, fmt.Sprintf("k%03d", i/2), body)
		})
	}
	wait.Wait()
	return replies
}

var _ = DescribeTable("the same key at once in two regions",
	func(log logservice.Faults, desk service.Faults, allAnswered bool) {
		const keys = 40
		w := newWorld()
		w.Log.SetFaults(log)
		w.allDesks(desk)
		replies := w.payTwice(keys)
		if allAnswered {
			for _, got := range replies {
				Expect(got.Status).To(Equal(http.StatusOK), got.Body)
			}
		}
		w.Log.SetFaults(logservice.Faults{})
		w.allDesks(service.Faults{})
		w.check()
		for i := range keys {
			key := fmt.Sprintf("k%03d", i)
			if desk.LoseAnswers == 0 && w.runs(key) == 0 {
				w.untilPaid(0, key)
			}
		}
		w.check()
	},
	Entry("no fault", logservice.Faults{}, service.Faults{}, true),
	Entry("answers of appends lost", logservice.Faults{LoseAnswers: 6}, service.Faults{}, false),
	Entry("log slow", logservice.Faults{DelayMS: 150}, service.Faults{}, true),
	Entry("log slower than the deadline", logservice.Faults{DelayMS: 2500}, service.Faults{}, false),
	Entry("log takes 30 appends a second", logservice.Faults{AppendsPerSecond: 30}, service.Faults{}, false),
	Entry("readers lag", logservice.Faults{ReadLagMS: 400}, service.Faults{}, true),
	Entry("readers lag behind the deadline", logservice.Faults{ReadLagMS: 3000}, service.Faults{}, false),
	Entry("desks slow", logservice.Faults{}, service.Faults{DelayMS: 300}, true),
	Entry("desks slower than the deadline", logservice.Faults{}, service.Faults{DelayMS: 2500}, false),
	Entry("answers of desks lost", logservice.Faults{}, service.Faults{LoseAnswers: 5}, false),
	Entry("appends' and desks' answers lost", logservice.Faults{LoseAnswers: 6, DelayMS: 50}, service.Faults{LoseAnswers: 5}, false),
)
