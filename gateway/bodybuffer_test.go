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

var _ = Describe("bodyBuffer", func() {
	It("returns a body up to the limit whole, and fails on a longer one instead of cutting it", func() {
		b := newBodyBuffer(1<<30, maxResponseBytes)
		body, err := b.readAll(strings.NewReader(strings.Repeat("x", maxResponseBytes)), maxResponseBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(maxResponseBytes))
		_, err = b.readAll(strings.NewReader(strings.Repeat("x", maxResponseBytes+1)), maxResponseBytes)
		Expect(err).To(MatchError(errBodyTooLong))
		_, err = b.readAll(zeros{}, maxResponseBytes)
		Expect(err).To(MatchError(errBodyTooLong))
	})

	It("bounds all bodies together, until they are released", func() {
		b := newBodyBuffer(112e6, maxResponseBytes)
		first, err := b.readAll(io.LimitReader(zeros{}, maxResponseBytes), maxResponseBytes)
		Expect(err).NotTo(HaveOccurred())
		second, err := b.readAll(io.LimitReader(zeros{}, maxResponseBytes), maxResponseBytes)
		Expect(err).To(MatchError(errBodiesTooLong))
		b.release(second)
		b.release(first)
		Expect(b.used.Load()).To(BeZero())
		_, err = b.readAll(io.LimitReader(zeros{}, maxResponseBytes), maxResponseBytes)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against many bodies that together take more memory than their bytes.
	It("counts the memory that is allocated ahead of the bytes", func() {
		b := newBodyBuffer(1<<30, maxResponseBytes)
		body, err := b.readAll(strings.NewReader(strings.Repeat("x", 100_000)), maxResponseBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.used.Load()).To(BeEquivalentTo(cap(body)))
		Expect(cap(body)).To(BeNumerically("<", 160_000))
	})

	It("reads a body for which others give way, and fails if none does", func() {
		b := newBodyBuffer(0, 1000)
		held, err := b.readAll(strings.NewReader(strings.Repeat("x", 1000)), 1000)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.readAll(strings.NewReader("body"), 1000)
		Expect(err).To(MatchError(errBodiesTooLong))
		b.reclaim = func() bool {
			b.release(held)
			held = nil
			return true
		}
		body, err := b.readAll(strings.NewReader("body"), 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(BeEquivalentTo("body"))
	})

	// Guards against a small body that is refused while one that doesn't fit is tried.
	It("reads a body that fits although one that doesn't is refused at the same time", func() {
		b := newBodyBuffer(0, 1000)
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				default:
					b.reserve(2000)
				}
			}
		}()
		refused := 0
		for range 200_000 {
			if !b.reserve(1) {
				refused++
				continue
			}
			b.used.Add(-1)
		}
		close(stop)
		<-stopped
		Expect(refused).To(BeZero())
	})

	It("passes on the error of a body that breaks", func() {
		broken := errors.New("connection reset")
		_, err := newBodyBuffer(0, maxResponseBytes).readAll(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(broken)), maxResponseBytes)
		Expect(err).To(MatchError(broken))
	})
})
