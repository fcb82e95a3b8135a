package routematcher

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var _ = DescribeTable("Match",
	func(host, path, want string) {
		m := New([]currantwood.Route{
			{ID: "all", Host: "a.example", Prefix: "/"},
			{ID: "plans", Host: "a.example", Prefix: "/plans/"},
			{ID: "deep", Host: "a.example", Prefix: "/plans/deep/"},
			{ID: "other", Host: "b.example", Prefix: "/plans/"},
		})
		got := "none"
		if route := m.Match(host, path); route != nil {
			got = route.ID
		}
		Expect(got).To(Equal(want))
	},
	Entry("longest prefix", "a.example", "/plans/deep/1", "deep"),
	Entry("the prefix itself", "a.example", "/plans/", "plans"),
	Entry("a path that lacks the final slash of a prefix doesn't match that prefix", "a.example", "/plans", "all"),
	Entry("a prefix doesn't match a part of a path segment", "a.example", "/plans/deeper", "plans"),
	Entry("host with a port and in another letter case", "A.Example:80", "/plans/1", "plans"),
	Entry("another host", "b.example", "/plans/1", "other"),
	Entry("no route of the host matches", "b.example", "/view/1", "none"),
	Entry("unknown host", "c.example", "/plans/1", "none"),
	Entry("an encoded slash doesn't separate path segments", "b.example", "/plans%2F1", "none"),
)
