package player_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/player"
)

// event returns the server-sent event of one completion token, as an entry sends it.
// Its id is a currantwood.Position: request, generation, upstream, and the index of the
// next token.
func event(index int, mark string) string {
	return fmt.Sprintf("id: r/g/u/%d\ndata: {\"choices\":[{\"text\":\"%d:%s \"}]}\n\n", index+1, index, mark)
}

const (
	done   = "data: [DONE]\n\n"
	failed = "event: error\ndata: {\"error\":{\"code\":\"generation-lost\",\"ran\":\"ran\"}}\n\n"
)

// count is the expected value of one counter of the report.
type count struct {
	name  string
	value func(*player.Report) uint64
	want  uint64
}

var _ = Describe("Player", func() {
	completed := func(n uint64) count {
		return count{"completed", func(r *player.Report) uint64 { return r.Completed }, n}
	}
	violations := func(n uint64) count {
		return count{"violations", (*player.Report).Violations, n}
	}
	DescribeTable("counts what a client receives",
		func(bodies []string, counts ...count) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n := min(int(calls.Add(1)), len(bodies))
				_, _ = fmt.Fprint(w, bodies[n-1])
			}))
			defer server.Close()
			p := player.New(player.Options{Entries: []string{server.URL}, HTTP: server.Client()})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			report := p.Play(ctx, []player.Request{{Method: http.MethodPost, Path: "/v1/completions", Stream: true, Tokens: 2}})
			for _, c := range counts {
				Expect(c.value(report)).To(Equal(c.want), c.name)
			}
		},
		Entry("complete stream", []string{event(0, "a") + event(1, "a") + done}, completed(1), violations(0)),
		Entry("stream that lacks a token", []string{event(0, "a") + done}, completed(1), violations(1)),
		Entry("duplicated token", []string{event(0, "a") + event(0, "a") + event(1, "a") + done}, completed(1), violations(1)),
		// Index 1 counts as out of order, the late index 0 as duplicated and as lost.
		Entry("tokens out of order", []string{event(1, "a") + event(0, "a") + done}, completed(1), violations(3)),
		Entry("tokens of two generations", []string{event(0, "a") + event(1, "b") + done}, completed(1), violations(1)),
		Entry("stream resumed after a lost connection", []string{event(0, "a"), event(1, "a") + done}, completed(1), violations(0)),
		Entry("stream that ends with a typed error", []string{event(0, "a") + failed}, completed(0), violations(0)),
		Entry("generation restarted from its first token", []string{event(0, "a") + "event: restart\ndata: {\"restart\":true}\n\n" + event(0, "b") + event(1, "b") + done}, completed(1), violations(0)),
		Entry("request that never gets a response body", []string{""}, completed(0), violations(1)),
	)
})
