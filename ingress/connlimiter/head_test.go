package connlimiter

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Limiter", func() {
	// Guards against a head that isn't counted, as an empty line before it, which net/http
	// skips after a POST, is taken for its end.
	It("refuses a head with too many fields after an empty line", func() {
		s := newLimitedServer(10, 1<<30)
		c := s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb")
		Expect(c.status()).To(Equal(http.StatusOK))
		c.send("\r\nGET / HTTP/1.1\r\nHost: a\r\n" + fields(60) + "\r\n")
		Expect(c.status()).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// Guards against a head that isn't counted, as the line end at which net/http's buffer was
	// cut off is taken for the end of the head.
	It("refuses a pipelined head with too many fields that is cut off at a line end", func() {
		s := newLimitedServer(10, 1<<30)
		c := s.dial(get + "GET / HTTP/1.1\r\nHost: a")
		Expect(c.status()).To(Equal(http.StatusOK))
		c.send("\r\n" + fields(60) + "\r\n")
		Expect(c.status()).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})
})
