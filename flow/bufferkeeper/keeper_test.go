package bufferkeeper

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var _ = Describe("Keeper", func() {
	// Guards against one client that takes the memory of all others.
	It("refuses what exceeds the limit of a stream and ends no other for it", func() {
		k := New[string](100, 1000)
		k.Open(at(0), "a")
		k.Open(at(0), "b")
		Expect(k.Reserve("b", 50)).To(BeTrue())
		Expect(k.Reserve("a", 100)).To(BeTrue())
		Expect(k.Reserve("a", 1)).To(BeFalse())
		_, found := k.Pick(at(time.Hour), "a", 1)
		Expect(found).To(BeFalse())
		k.Release(at(time.Second), "a", 40)
		Expect(k.Reserve("a", 40)).To(BeTrue())
	})

	// Guards against memory that is charged without a buffer and never given back.
	It("charges nothing to a stream that isn't open", func() {
		k := New[string](100, 1000)
		Expect(k.Reserve("a", 1)).To(BeFalse())
		k.Release(at(0), "a", 1)
		k.Close("a")
		Expect(k.Bytes()).To(BeZero())
	})

	// Guards against ending the stream of a client that still reads.
	It("picks the stream whose client has stopped for longest, not one whose client reads", func() {
		k := New[string](100, 200)
		for i, s := range []string{"reader", "first", "second"} {
			k.Open(at(time.Duration(i)*time.Millisecond), s)
			Expect(k.Reserve(s, 60)).To(BeTrue())
		}
		k.Open(at(0), "newcomer")
		k.Release(at(1500*time.Millisecond), "reader", 1)
		Expect(k.Reserve("newcomer", 30)).To(BeFalse())
		victim, found := k.Pick(at(1600*time.Millisecond), "newcomer", 30)
		Expect(found).To(BeTrue())
		Expect(victim).To(Equal("first"))
		_, found = k.Pick(at(1600*time.Millisecond), "newcomer", 30)
		Expect(found).To(BeFalse(), "a second stream was picked although the first gives back enough")
		Expect(k.Bytes()).To(BeEquivalentTo(179), "memory is free before it is given back")
		Expect(k.Reserve("first", 1)).To(BeFalse())
		k.Close("first")
		Expect(k.Reserve("newcomer", 30)).To(BeTrue())
	})

	// Guards against ending streams for pauses that no upstream notices.
	It("picks no stream whose client stopped a moment ago", func() {
		k := New[string](100, 100)
		k.Open(at(0), "a")
		Expect(k.Reserve("a", 100)).To(BeTrue())
		k.Open(at(0), "b")
		_, found := k.Pick(at(minStopTime-1), "b", 1)
		Expect(found).To(BeFalse())
		victim, found := k.Pick(at(minStopTime), "b", 1)
		Expect(found).To(BeTrue())
		Expect(victim).To(Equal("a"))
	})

	It("may pick the stream that asks", func() {
		k := New[string](100, 100)
		k.Open(at(0), "a")
		Expect(k.Reserve("a", 70)).To(BeTrue())
		k.Open(at(time.Second), "b")
		Expect(k.Reserve("b", 30)).To(BeTrue())
		victim, found := k.Pick(at(2*time.Second), "a", 10)
		Expect(found).To(BeTrue())
		Expect(victim).To(Equal("a"))
	})

	// Guards against sums that drift, which would block all buffers or bound none.
	It("never exceeds a limit and counts all that is given back, in random orders", func() {
		random := rand.New(rand.NewSource(7))
		for range 200 {
			k := New[int](50, 120)
			held := map[int]int64{}
			for step := range 400 {
				now, s := at(time.Duration(step)*100*time.Millisecond), random.Intn(8)
				bytes := int64(1 + random.Intn(30))
				_, open := held[s]
				switch action := random.Intn(10); {
				case !open:
					k.Open(now, s)
					held[s] = 0
				case action < 6:
					if k.Reserve(s, bytes) {
						held[s] += bytes
					} else if victim, found := k.Pick(now, s, bytes); found {
						Expect(held[victim]).To(BeNumerically(">", 0))
					}
				case action < 9:
					bytes = min(bytes, held[s])
					k.Release(now, s, bytes)
					held[s] -= bytes
				default:
					k.Close(s)
					delete(held, s)
				}
				sum := int64(0)
				for _, b := range held {
					Expect(b).To(BeNumerically("<=", 50))
					sum += b
				}
				Expect(k.Bytes()).To(Equal(sum))
				Expect(sum).To(BeNumerically("<=", 120))
				Expect(k.ending).To(BeNumerically("<=", sum))
			}
			for s := range held {
				k.Close(s)
			}
			Expect(k.Bytes()).To(BeZero())
			Expect(k.ending).To(BeZero())
		}
	})
})
