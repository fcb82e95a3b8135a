package logclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/logclient"
	"github.com/currantwood/currantwood/standin/logservice"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const stream = currantwood.StreamName("rules/head")

// appendCase is one fault, what Append must say and what is in the log after.
type appendCase struct {
	faults logservice.Faults
	// before changes the server; nil leaves it as it is.
	before func(server *httptest.Server)
	want   error
	kept   int
}

var _ = Describe("the Log contract", func() {
	var (
		service *logservice.Service
		server  *httptest.Server
		log     currantwood.Log
		ctx     context.Context
	)
	BeforeEach(func() {
		service = logservice.New()
		server = httptest.NewServer(service)
		DeferCleanup(server.Close)
		log = logclient.New(logclient.Options{Address: server.URL, Timeout: 200 * time.Millisecond})
		ctx = context.Background()
	})

	DescribeTable("an append under a fault", func(c appendCase) {
		service.SetFaults(c.faults)
		if c.before != nil {
			c.before(server)
		}
		_, err := log.Append(ctx, stream, []byte("x"))
		if c.want == nil {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
			Expect(err.Error()).To(ContainSubstring("append at log service " + server.URL))
		}
		Eventually(func() int { return service.Counts().Appends }).Should(Equal(c.kept))
	},
		Entry("none", appendCase{kept: 1}),
		Entry("down", appendCase{faults: logservice.Faults{Down: true}, want: currantwood.ErrLogDown}),
		Entry("answer lost after the effect", appendCase{
			faults: logservice.Faults{LoseAnswers: 1}, want: currantwood.ErrAppendUnknown, kept: 1}),
		Entry("too slow, takes effect after the caller has gone", appendCase{
			faults: logservice.Faults{DelayMS: 400}, want: currantwood.ErrAppendUnknown, kept: 1}),
		Entry("nobody listens", appendCase{
			before: func(s *httptest.Server) { s.Close() }, want: currantwood.ErrLogDown}),
		Entry("504 by something in between", appendCase{
			before: func(s *httptest.Server) {
				s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusGatewayTimeout)
				})
			}, want: currantwood.ErrAppendUnknown}),
		Entry("200 with a body cut short", appendCase{
			before: func(s *httptest.Server) {
				s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte(`{"off`))
				})
			}, want: currantwood.ErrAppendUnknown}),
	)

	It("refuses beyond its rate and says so", func() {
		service.SetFaults(logservice.Faults{AppendsPerSecond: 1})
		_, err := log.Append(ctx, stream, []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(ctx, stream, []byte("2"))
		Expect(errors.Is(err, currantwood.ErrLogDown)).To(BeTrue())
	})

	It("reads in order, in parts, and keeps streams apart", func() {
		for _, data := range []string{"a", "b", "c"} {
			_, err := log.Append(ctx, stream, []byte(data))
			Expect(err).NotTo(HaveOccurred())
		}
		window, err := log.Read(ctx, stream, 1, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(window).To(Equal(currantwood.RecordBatch{First: 0, End: 3, Records: []currantwood.Record{{Offset: 1, Data: []byte("b")}}}))
		empty, err := log.Read(ctx, "other", 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(empty).To(Equal(currantwood.RecordBatch{}))
	})

	It("drops what is past its retention and goes on counting offsets", func() {
		service.SetFaults(logservice.Faults{RetentionMS: 50})
		_, err := log.Append(ctx, stream, []byte("old"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func(g Gomega) {
			window, err := log.Read(ctx, stream, 0, 10)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(window).To(Equal(currantwood.RecordBatch{First: 1, End: 1}))
		}).Should(Succeed())
		Expect(log.Append(ctx, stream, []byte("new"))).To(Equal(currantwood.Offset(1)))
	})

	It("lets a reader wait for a record, also one that shows late", func() {
		service.SetFaults(logservice.Faults{ReadLagMS: 1000})
		waiting := logclient.New(logclient.Options{Address: server.URL, Wait: 10 * time.Second})
		_, err := log.Append(ctx, stream, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		at, err := log.Read(ctx, stream, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(at.Records).To(BeEmpty())
		window, err := waiting.Read(ctx, stream, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(window.Records).To(HaveLen(1))
	})

	It("says where a read failed", func() {
		service.SetFaults(logservice.Faults{Down: true})
		_, err := log.Read(ctx, stream, 0, 10)
		Expect(err).To(MatchError(ContainSubstring("read at log service " + server.URL)))
	})
})
