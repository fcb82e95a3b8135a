package apportioner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var _ = DescribeTable("Apportioner divides memory and descriptors",
	func(memoryBytes int64, maxDescriptors, lowered, clients, side int) {
		a := New(currantwood.GatewaySettings{MemoryBytes: memoryBytes, MaxDescriptors: maxDescriptors, ConnectionLimits: currantwood.ConnectionLimits{Connections: lowered}})
		Expect(a.Clients().Connections).To(Equal(clients))
		Expect(a.Side().Connections).To(Equal(side))
		if memoryBytes > 0 && clients > minConnections {
			c := a.Clients()
			sockets := int64(c.Connections)*c.Buffers.Bytes() + int64(c.WideConnections)*c.WideBuffers.Bytes()
			Expect(float64(sockets)).To(BeNumerically("<=", 0.25*float64(memoryBytes)), "what the kernel may hold")
		}
	},
	Entry("the smallest VM", int64(109e6), 3075, 0, 505, 64),
	Entry("much memory, few descriptors", int64(536e6), 3075, 0, 1150, 64),
	Entry("much of both", int64(536e6), 10_250, 0, 2486, 64),
	Entry("very few descriptors", int64(112e6), 1000, 0, 320, 40),
	Entry("fewer descriptors than are for files", int64(112e6), 100, 0, 8, 8),
	Entry("nothing is known", int64(0), 0, 0, 593, 64),
	Entry("lowered by a setting", int64(536e6), 0, 20, 20, 64),
	Entry("a setting doesn't raise it", int64(109e6), 0, 5000, 505, 64),
)

var _ = It("no default is reached by a well-behaved client, and a setting replaces it", func() {
	l := New(currantwood.GatewaySettings{}).Clients().Limits
	Expect(l.HeadBytes).To(BeNumerically(">", 16_384))
	Expect(l.HeadFields).To(BeNumerically(">", 16_384/3))
	Expect(l.HeadAllowance).To(BeNumerically(">", 3*time.Second))
	Expect(New(currantwood.GatewaySettings{ConnectionLimits: currantwood.ConnectionLimits{HeadFields: 7}}).Side().Limits.HeadFields).To(Equal(7))
})
