package gateway

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/forecaster"
)

// Guards against a client that isn't recognized since it comes back to another gateway.
var _ = Describe("The key of a promise", func() {
	key := func(customer currantwood.CustomerID, body string) forecaster.Key {
		return (&request{r: &http.Request{RequestURI: "/generate"}, customer: customer, body: []byte(body)}).promiseKey()
	}

	It("is the same in all processes, and another for other requests", func() {
		Expect(key("a", "body")).To(Equal(forecaster.Key(2183045949165053800)))
		Expect(key("b", "body")).NotTo(Equal(key("a", "body")))
		Expect(key("a", "other")).NotTo(Equal(key("a", "body")))
	})
})
