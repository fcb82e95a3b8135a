package memorykeeper

import (
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// maxBytes bounds the bodies that are read.
const maxBytes = 8 << 20

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

var _ = Describe("Keeper", func() {
	It("returns a body up to the limit whole, and fails on a longer one instead of cutting it", func() {
		k := New(1<<30, maxBytes, nil)
		body, err := k.ReadAll(strings.NewReader(strings.Repeat("x", maxBytes)), maxBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(maxBytes))
		_, err = k.ReadAll(strings.NewReader(strings.Repeat("x", maxBytes+1)), maxBytes)
		Expect(err).To(MatchError(ErrBodyTooLong))
		_, err = k.ReadAll(zeros{}, maxBytes)
		Expect(err).To(MatchError(ErrBodyTooLong))
	})

	It("bounds all bodies together, until they are released", func() {
		k := New(112e6, maxBytes, nil)
		first, err := k.ReadAll(io.LimitReader(zeros{}, maxBytes), maxBytes)
		Expect(err).NotTo(HaveOccurred())
		second, err := k.ReadAll(io.LimitReader(zeros{}, maxBytes), maxBytes)
		Expect(err).To(MatchError(ErrExhausted))
		k.ReleaseBody(second)
		k.ReleaseBody(first)
		Expect(k.used.Load()).To(BeZero())
		_, err = k.ReadAll(io.LimitReader(zeros{}, maxBytes), maxBytes)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against many bodies that together take more memory than their bytes.
	It("counts the memory that is allocated ahead of the bytes", func() {
		k := New(1<<30, maxBytes, nil)
		body, err := k.ReadAll(strings.NewReader(strings.Repeat("x", 100_000)), maxBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(k.used.Load()).To(BeEquivalentTo(cap(body)))
		Expect(cap(body)).To(BeNumerically("<", 160_000))
	})

	It("reads a body for which others give way, and fails if none does", func() {
		k := New(0, 1000, nil)
		held, err := k.ReadAll(strings.NewReader(strings.Repeat("x", 1000)), 1000)
		Expect(err).NotTo(HaveOccurred())
		_, err = k.ReadAll(strings.NewReader("body"), 1000)
		Expect(err).To(MatchError(ErrExhausted))
		k.reclaim = func() bool {
			k.ReleaseBody(held)
			held = nil
			return true
		}
		body, err := k.ReadAll(strings.NewReader("body"), 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(BeEquivalentTo("body"))
	})

	// Guards against a small body that is refused while one that doesn't fit is tried.
	It("reads a body that fits although one that doesn't is refused at the same time", func() {
		k := New(0, 1000, nil)
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				default:
					k.reserve(2000)
				}
			}
		}()
		refused := 0
		for range 200_000 {
			if !k.reserve(1) {
				refused++
				continue
			}
			k.used.Add(-1)
		}
		close(stop)
		<-stopped
		Expect(refused).To(BeZero())
	})

	It("passes on the error of a body that breaks", func() {
		broken := errors.New("connection reset")
		_, err := New(0, maxBytes, nil).ReadAll(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(broken)), maxBytes)
		Expect(err).To(MatchError(broken))
	})
})
