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

// appendCase is a fault, the error that Append must return and the number of
// records that the log must hold afterwards.
type appendCase struct {
	faults logservice.Faults
	// before changes the server before the append; nil leaves it as it is.
	before func(server *httptest.Server)
	want   error
	kept   int
}

var _ = Describe("Client", func() {
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

	DescribeTable("classifies the errors of Append", func(c appendCase) {
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
		Entry("no fault", appendCase{kept: 1}),
		Entry("service down", appendCase{faults: logservice.Faults{Down: true}, want: currantwood.ErrLogDown}),
		Entry("response lost after the record was appended", appendCase{
			faults: logservice.Faults{LoseResponses: 1}, want: currantwood.ErrAppendUnknown, kept: 1}),
		Entry("timeout, the record is appended afterwards", appendCase{
			faults: logservice.Faults{DelayMS: 400}, want: currantwood.ErrAppendUnknown, kept: 1}),
		Entry("connection refused", appendCase{
			before: func(s *httptest.Server) { s.Close() }, want: currantwood.ErrLogDown}),
		Entry("status 504 from a proxy", appendCase{
			before: func(s *httptest.Server) {
				s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusGatewayTimeout)
				})
			}, want: currantwood.ErrAppendUnknown}),
		Entry("status 200 with a truncated body", appendCase{
			before: func(s *httptest.Server) {
				s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte(`{"off`))
				})
			}, want: currantwood.ErrAppendUnknown}),
	)

	It("returns ErrLogDown, as nothing was appended, if the service rejects an append above its rate limit", func() {
		service.SetFaults(logservice.Faults{AppendsPerSecond: 1})
		_, err := log.Append(ctx, stream, []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(ctx, stream, []byte("2"))
		Expect(errors.Is(err, currantwood.ErrLogDown)).To(BeTrue())
	})

	It("reads a part of a stream in order and keeps streams apart", func() {
		for _, data := range []string{"a", "b", "c"} {
			_, err := log.Append(ctx, stream, []byte(data))
			Expect(err).NotTo(HaveOccurred())
		}
		batch, err := log.Read(ctx, stream, 1, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch).To(Equal(currantwood.RecordBatch{First: 0, End: 3, Records: []currantwood.Record{{Offset: 1, Data: []byte("b")}}}))
		empty, err := log.Read(ctx, "other", 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(empty).To(Equal(currantwood.RecordBatch{}))
	})

	It("reads no records older than the retention, and later offsets still increase", func() {
		service.SetFaults(logservice.Faults{RetentionMS: 50})
		_, err := log.Append(ctx, stream, []byte("old"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func(g Gomega) {
			batch, err := log.Read(ctx, stream, 0, 10)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(batch).To(Equal(currantwood.RecordBatch{First: 1, End: 1}))
		}).Should(Succeed())
		Expect(log.Append(ctx, stream, []byte("new"))).To(Equal(currantwood.Offset(1)))
	})

	It("waits for a record at the requested offset, even if it becomes visible late", func() {
		service.SetFaults(logservice.Faults{ReadLagMS: 1000})
		waiting := logclient.New(logclient.Options{Address: server.URL, Wait: 10 * time.Second})
		_, err := log.Append(ctx, stream, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		immediate, err := log.Read(ctx, stream, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(immediate.Records).To(BeEmpty())
		batch, err := waiting.Read(ctx, stream, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveLen(1))
	})

	It("names the step and the service if a read fails", func() {
		service.SetFaults(logservice.Faults{Down: true})
		_, err := log.Read(ctx, stream, 0, 10)
		Expect(err).To(MatchError(ContainSubstring("read at log service " + server.URL)))
	})
})
