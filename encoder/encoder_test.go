package encoder_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/encoder"
)

var update = flag.Bool("update", false, "write the golden files")

// expectGolden expects got to equal the golden file of that name.
func expectGolden(name string, got []byte) {
	path := filepath.Join("testdata", name)
	if *update {
		Expect(os.WriteFile(path, got, 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got)).To(Equal(string(want)))
}

func newEncoder(chat bool) *encoder.Encoder {
	e := encoder.New(encoder.Options{
		Request: "r1", Model: "summary-7b", Created: time.Unix(1772438400, 0),
		Chat: chat, IncludeUsage: true, PromptTokens: 12,
	})
	e.SetGeneration("g1", "kingston-1")
	return e
}

var _ = Describe("Encoder", func() {
	texts := []string{"Filed", " \"today\"", "\n", " é<b>", "\u2028"}

	DescribeTable("encodes streams", func(chat bool, file string) {
		e := newEncoder(chat)
		out := e.AppendTokens(nil, 0, texts[:2])
		out = e.AppendHeartbeat(out)
		out = e.AppendTokens(out, 2, texts[2:])
		expectGolden(file, e.AppendDone(out, 5, "stop"))
	},
		Entry("completions", false, "completions.golden"),
		Entry("chat completions", true, "chat-completions.golden"),
	)

	DescribeTable("encodes response bodies", func(chat bool, file string) {
		out := newEncoder(chat).AppendBody(nil, texts, "stop")
		Expect(json.Valid(out)).To(BeTrue())
		expectGolden(file, out)
	},
		Entry("completions", false, "completions-whole.golden"),
		Entry("chat completions", true, "chat-completions-whole.golden"),
	)

	It("encodes a restart, then the new generation from index 0", func() {
		e := newEncoder(true)
		out := e.AppendTokens(nil, 0, texts[:1])
		e.SetGeneration("g2", "kingston-2")
		expectGolden("restart.golden", e.AppendTokens(e.AppendRestart(out), 0, texts[:1]))
	})

	It("ends an incomplete stream with an error event and without [DONE]", func() {
		out, err := newEncoder(true).AppendError(nil, &currantwood.Refusal{
			Kind: currantwood.KindGenerationLost, Ran: currantwood.RanDone,
			RetryAfter: 1500 * time.Millisecond, Detail: "the engine died",
		})
		Expect(err).NotTo(HaveOccurred())
		expectGolden("failure.golden", out)
	})
})

var _ = Describe("ParsePosition", func() {
	DescribeTable("rejects malformed event IDs", func(id string) {
		_, err := currantwood.ParsePosition(id)
		Expect(err).To(MatchError(ContainSubstring("event id")))
	},
		Entry("empty", ""), Entry("a number", "17"), Entry("no generation", "r//u/1"),
		Entry("a negative index", "r/g/u/-1"), Entry("too many parts", "r/g/u/1/2"),
	)

	It("parses the text of a position", func() {
		want := currantwood.Position{Request: "r", Generation: "g", Upstream: "u", Next: 9}
		Expect(currantwood.ParsePosition(want.String())).To(Equal(want))
	})
})
