package victimpicker

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const none = -1

var _ = DescribeTable("Connection picks the least progress for its memory, and never a running request",
	func(expected int, candidates ...Candidate) {
		picked, found := Picker{}.Connection(candidates)
		Expect(found).To(Equal(expected != none))
		Expect(picked).To(Equal(expected))
	},
	Entry("none", none),
	Entry("all run", none, Candidate{Running, 0, 9}, Candidate{Running, time.Hour, 9}),
	Entry("the head that lags", 1, Candidate{Head, time.Second, 9}, Candidate{Head, 2 * time.Second, 9}),
	Entry("the head that takes more memory", 0, Candidate{Head, time.Second, 30}, Candidate{Head, 2 * time.Second, 9}),
	Entry("a new connection rather than one that clients may still use", 1, Candidate{Idle, 14 * time.Second, 9}, Candidate{Head, 0, 9}),
	Entry("a connection that is idle for too long", 0, Candidate{Idle, 18 * time.Second, 9}, Candidate{Head, time.Second, 9}),
	Entry("the longest idle if there is no other", 1, Candidate{Idle, time.Second, 9}, Candidate{Idle, 2 * time.Second, 1}),
	Entry("a reader that has stopped", 1, Candidate{Running, 0, 9}, Candidate{Writing, 6 * time.Second, 9}),
	Entry("not a slow reader", none, Candidate{Running, 0, 9}, Candidate{Writing, 4 * time.Second, 9}),
)

var _ = DescribeTable("Body picks the unfinished body with the least progress for its memory",
	func(expected int, candidates ...Candidate) {
		picked, found := Picker{}.Body(candidates)
		Expect(found).To(Equal(expected != none))
		Expect(picked).To(Equal(expected))
	},
	Entry("all make progress", none, Candidate{Body, 900 * time.Millisecond, 9}, Candidate{Head, time.Hour, 9}),
	Entry("the stalled one", 1, Candidate{Body, time.Second, 9}, Candidate{Body, 2 * time.Second, 9}, Candidate{Idle, time.Hour, 9}),
)

var _ = DescribeTable("Head picks a connection whose head takes memory",
	func(expected int, candidates ...Candidate) {
		picked, found := Picker{}.Head(candidates)
		Expect(found).To(Equal(expected != none))
		Expect(picked).To(Equal(expected))
	},
	Entry("not one without a head, however it lags", 1, Candidate{Head, time.Hour, 0}, Candidate{Head, time.Second, 1}),
	Entry("one whose body stalls", 0, Candidate{Body, time.Minute, 9}, Candidate{Head, time.Second, 9}),
	Entry("no idle, running or slowly read one", none, Candidate{Idle, time.Hour, 9}, Candidate{Running, 0, 9}, Candidate{Writing, time.Second, 9}),
)
