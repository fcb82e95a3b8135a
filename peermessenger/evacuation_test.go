package peermessenger

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/peerwire"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
)

// Guards against an age that is lost, or made up for a gateway that doesn't send it.
var _ = DescribeTable("The age of a set of evacuated zones", func(age, want time.Duration) {
	set := evacuationkeeper.Set{Position: evacuationkeeper.Position{Era: 2, Next: 9}, Zones: []currantwood.ZoneID{"a"}, Age: age}
	decoded, known := decodeEvacuations(encodeEvacuations(set, true))
	Expect(known).To(BeTrue())
	Expect(decoded.Age).To(Equal(want))
	Expect(decoded.Zones).To(Equal(set.Zones))
},
	Entry("just read", time.Duration(0), time.Duration(0)),
	Entry("a while ago", 1500*time.Millisecond, 1500*time.Millisecond),
	Entry("longer than the message can say", 100*24*time.Hour, (1<<32-1)*time.Millisecond),
)

var _ = It("The age of a set of evacuated zones from an older gateway is unknown", func() {
	decoded, _ := decodeEvacuations(&peerwire.Evacuations{Zones: []string{"a"}})
	Expect(decoded.Age).To(BeNumerically("<", 0))
})
