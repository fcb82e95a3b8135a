package gateway

import (
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

var _ = Describe("responseBuffer", func() {
	It("returns a body up to the limit whole, and fails on a longer one instead of cutting it", func() {
		b := newResponseBuffer(1 << 30)
		body, err := b.readAll(strings.NewReader(strings.Repeat("x", maxResponseBytes)))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(maxResponseBytes))
		_, err = b.readAll(strings.NewReader(strings.Repeat("x", maxResponseBytes+1)))
		Expect(err).To(MatchError(errResponseTooLong))
		_, err = b.readAll(zeros{})
		Expect(err).To(MatchError(errResponseTooLong))
	})

	It("bounds all bodies together, until they are released", func() {
		b := newResponseBuffer(112e6)
		first, err := b.readAll(io.LimitReader(zeros{}, maxResponseBytes))
		Expect(err).NotTo(HaveOccurred())
		second, err := b.readAll(io.LimitReader(zeros{}, maxResponseBytes))
		Expect(err).To(MatchError(errResponseTooLong))
		b.release(second)
		b.release(first)
		Expect(b.used.Load()).To(BeZero())
		_, err = b.readAll(io.LimitReader(zeros{}, maxResponseBytes))
		Expect(err).NotTo(HaveOccurred())
	})

	It("passes on the error of a body that breaks", func() {
		broken := errors.New("connection reset")
		_, err := newResponseBuffer(0).readAll(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(broken)))
		Expect(err).To(MatchError(broken))
	})
})
