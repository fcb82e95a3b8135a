package spreader_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/spreader"
	"github.com/currantwood/currantwood/wire"
	"google.golang.org/protobuf/proto"
)

// BenchmarkHop measures the time in which one process adopts a one-line change
// from a peer, and the size of the diff, for texts of different lengths.
func BenchmarkHop(b *testing.B) {
	for _, lines := range []int{1000, 2500, 5000, 10000} {
		b.Run(fmt.Sprintf("lines=%d", lines), func(b *testing.B) { benchmarkHop(b, lines) })
	}
}

func benchmarkHop(b *testing.B, lines int) {
	var full strings.Builder
	for i := range lines {
		fmt.Fprintf(&full, "customer c%d key-hash=%s weight=2 max-streams=40 # asked-by Ann: load test\n", i, matcher.HashAPIKey(fmt.Sprint(i)))
	}
	first := anchorOf(1, full.String())
	second := anchorOf(2, strings.Replace(full.String(), "weight=2", "weight=3", 1))
	random := rand.New(rand.NewPCG(1, 2))
	newNode := func() *spreader.Spreader {
		node := spreader.New(spreader.Options{Random: random})
		node.PeerUp(start, spreader.Peer{ID: "peer"})
		node.Adopt(start, first)
		return node
	}
	source := newNode()
	source.Adopt(start, second)
	fetch := &wire.Frame{Body: &wire.Frame_HeadFetch{HeadFetch: &wire.HeadFetch{Have: 1}}}
	answer := source.Handle(start, "peer", fetch)[0].Frame
	for b.Loop() {
		b.StopTimer()
		node := newNode()
		b.StartTimer()
		node.Handle(start, "peer", answer)
		if node.Snapshot().Head.Revision != 2 {
			b.Fatal("the head was not adopted")
		}
	}
	b.ReportMetric(float64(proto.Size(answer)), "bytes/hop")
}

func anchorOf(revision currantwood.Revision, text string) headkeeper.Snapshot {
	return headkeeper.Snapshot{
		Head: currantwood.RulesHead{Revision: revision, Publication: currantwood.PublicationID(fmt.Sprint("p", revision)), Text: text},
		Next: currantwood.Offset(revision),
	}
}
