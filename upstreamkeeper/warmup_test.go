package upstreamkeeper

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// decodeWarmUp decodes "incarnation sequence seconds", the last being the warm-up time that
// is left.
func decodeWarmUp(key string, value []byte) (currantwood.UpstreamRecord, error) {
	r := currantwood.UpstreamRecord{ID: currantwood.UpstreamID(key), Group: "g", Address: key + ":1"}
	var left int
	_, err := fmt.Sscanf(string(value), "%d %d %d", &r.Incarnation, &r.Sequence, &left)
	r.WarmUp = time.Duration(left) * time.Second
	return r, err
}

// record is a record that arrives after some seconds, and the expected change.
type record struct {
	after  int
	value  string
	change string
}

var _ = Describe("Keeper of cold periods", func() {
	// Guards against an older record that makes an upstream warm, against a cold period of a
	// running incarnation that goes unnoticed, and against a change with each record.
	DescribeTable("goes by the newest record of the newest incarnation",
		func(coldFor int, records ...record) {
			k := New(decodeWarmUp)
			for _, r := range records {
				var changes string
				for _, e := range k.Apply(start.Add(time.Duration(r.after)*time.Second), []currantwood.KeyedRecord{{Key: "a", Value: []byte(r.value)}}) {
					changes += e.Change.String()
				}
				Expect(changes).To(Equal(r.change), "%v", r)
			}
			view, _ := k.Get("a")
			Expect(view.ColdUntil).To(Equal(start.Add(time.Duration(coldFor) * time.Second)))
		},
		Entry("the first", 20, record{0, "1 1 20", "appeared"}),
		Entry("one that goes on", 20, record{0, "1 1 20", "appeared"}, record{5, "1 2 15", ""}, record{9, "1 3 12", ""}),
		Entry("cold again", 29, record{0, "1 1 2", "appeared"}, record{5, "1 2 0", ""}, record{9, "1 3 20", "cold"}),
		Entry("longer than known", 25, record{0, "1 1 20", "appeared"}, record{5, "1 2 20", "cold"}),
		Entry("warm again", 5, record{0, "1 1 20", "appeared"}, record{5, "1 2 0", "warm"}),
		Entry("an older record that is warm", 20, record{0, "1 3 20", "appeared"}, record{5, "1 2 0", ""}, record{6, "1 3 0", ""}),
		Entry("a record of an earlier incarnation", 20, record{0, "2 1 20", "appeared"}, record{5, "1 9 0", ""}),
		Entry("a later incarnation", 25, record{0, "1 9 0", "appeared"}, record{5, "2 1 20", "reborn"}),
	)

	It("leaves the warm-up after the start as the first record states it", func() {
		k := New(decodeWarmUp)
		k.Apply(start, []currantwood.KeyedRecord{{Key: "a", Value: []byte("1 1 3")}, {Key: "a", Value: []byte("1 2 30")}})
		view, _ := k.Get("a")
		Expect(view.WarmAt).To(Equal(start.Add(3 * time.Second)))
	})
})
