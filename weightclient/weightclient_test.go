package weightclient_test

import (
	"context"
	"net/http/httptest"

	"github.com/currantwood/currantwood/standin/weightstore"
	"github.com/currantwood/currantwood/weightclient"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the WeightStore contract", func() {
	It("grants up to the rate, then tells the wait, and names the peer when it is down", func() {
		store := weightstore.New()
		server := httptest.NewServer(store)
		DeferCleanup(server.Close)
		client := weightclient.New(weightclient.Options{Address: server.URL})
		store.SetFaults(weightstore.Faults{LoadsPerMinute: 1})

		granted, _, err := client.Reserve(context.Background(), "court-summary", "Kingston")
		Expect(err).NotTo(HaveOccurred())
		Expect(granted).To(BeTrue())
		granted, wait, err := client.Reserve(context.Background(), "court-summary", "Kingston")
		Expect(err).NotTo(HaveOccurred())
		Expect(granted).To(BeFalse())
		Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", 60)))

		store.SetFaults(weightstore.Faults{Down: true})
		_, _, err = client.Reserve(context.Background(), "court-summary", "Kingston")
		Expect(err).To(MatchError(ContainSubstring(server.URL)))
	})
})
