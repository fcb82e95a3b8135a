package connkeeper

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/memorykeeper"
)

var _ = Describe("Pool", func() {
	// Guards against gateways that together keep more connections than an upstream
	// accepts.
	DescribeTable("keeps a bounded number of idle connections to an address",
		func(limit, want int) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			address := listener.Addr().String()
			p := New(time.Now, memorykeeper.New(0, 1<<20, nil))
			p.SetMaxIdle(limit)
			var used []*conn
			for range MaxIdlePerAddress + 4 {
				c, err := p.acquire(context.Background(), "u", address, "r")
				Expect(err).NotTo(HaveOccurred())
				used = append(used, c)
			}
			for _, c := range used {
				p.release(c, address, time.Minute)
			}
			Expect(p.idle[address]).To(HaveLen(want))
			// The newest stay.
			Expect(p.idle[address][want-1]).To(BeIdenticalTo(used[len(used)-1]))
			p.CloseIdle(address)
		},
		Entry("as set", 3, 3),
		Entry("at most MaxIdlePerAddress", 100, MaxIdlePerAddress),
	)
})
