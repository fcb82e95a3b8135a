package publisher_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/logclient"
	"github.com/currantwood/currantwood/publisher"
	"github.com/currantwood/currantwood/standin/logservice"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call of the log service, unless a test sets others.
	callTimeout = 100 * time.Millisecond
	// readTimeout bounds a read where appends have a shorter timeout.
	readTimeout = 5 * callTimeout
)

// lastID is the last number used in a publication id or text.
var lastID atomic.Int64

// appendTimeoutLog gives appends a shorter timeout than reads.
type appendTimeoutLog struct {
	currantwood.Log
	timeout time.Duration
	// afterAppend is called after each append, before its result is returned; may
	// be nil.
	afterAppend func()
}

func (l appendTimeoutLog) Append(ctx context.Context, stream currantwood.StreamName, data []byte) (currantwood.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	offset, err := l.Log.Append(ctx, stream, data)
	if l.afterAppend != nil {
		l.afterAppend()
	}
	return offset, err
}

func newPublisher(address string) *publisher.Publisher {
	return newPublisherOver(logclient.New(logclient.Options{Address: address, Timeout: callTimeout}))
}

func newPublisherOver(log currantwood.Log) *publisher.Publisher {
	return publisher.New(publisher.Options{
		Log:   log,
		NewID: func() currantwood.PublicationID { return currantwood.PublicationID(fmt.Sprint("p", lastID.Add(1))) },
	})
}

// publishCase is a fault of the log service and the expected result.
type publishCase struct {
	faults logservice.Faults
	// during runs concurrently with the publication; may be nil.
	during func(service *logservice.Service)
	// afterAppend runs after each append, before the publisher gets its result;
	// may be nil.
	afterAppend func(service *logservice.Service)
	// publishTimeout bounds the call of Publish; 0 means no timeout.
	publishTimeout time.Duration
	// appendTimeout bounds an append; 0 means callTimeout.
	appendTimeout time.Duration
	wantOutcome   publisher.Outcome
	// wantError is true if an error is expected in place of an outcome.
	wantError bool
	// wantRevision is the revision of the head after the faults have ended.
	wantRevision currantwood.Revision
	// wantAppends is the number of records of the publication in the log; -1
	// allows any.
	wantAppends int
}

var _ = Describe("Publisher", func() {
	var (
		service *logservice.Service
		address string
		ctx     context.Context
	)
	BeforeEach(func() {
		service = logservice.New()
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		address = server.URL
		ctx = context.Background()
	})
	publish := func(base publisher.Base, by, text string) publisher.Result {
		result, err := newPublisher(address).Publish(ctx, publisher.Edit{Base: base, PublishedBy: by, Text: text})
		Expect(err).NotTo(HaveOccurred())
		return result
	}
	baseOf := func(r publisher.Result) publisher.Base {
		return publisher.Base{Revision: r.Revision, Publication: r.Publication}
	}

	DescribeTable("reports the outcome of the first text under a fault", func(c publishCase) {
		service.SetFaults(c.faults)
		publishCtx := ctx
		if c.publishTimeout > 0 {
			var cancel context.CancelFunc
			publishCtx, cancel = context.WithTimeout(ctx, c.publishTimeout)
			defer cancel()
		}
		if c.during != nil {
			go c.during(service)
		}
		timeout := cmp.Or(c.appendTimeout, callTimeout)
		log := logclient.New(logclient.Options{Address: address, Timeout: readTimeout})
		publisherLog := appendTimeoutLog{Log: log, timeout: timeout}
		if c.afterAppend != nil {
			publisherLog.afterAppend = func() { c.afterAppend(service) }
		}
		result, err := newPublisherOver(publisherLog).Publish(publishCtx, publisher.Edit{PublishedBy: "Ann", Text: "a"})
		Expect(err != nil).To(Equal(c.wantError), "%v", err)
		Expect(result.Outcome).To(Equal(c.wantOutcome))
		service.SetFaults(logservice.Faults{})
		Eventually(func(g Gomega) {
			head, err := newPublisher(address).Head(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(head.Head.Revision).To(Equal(c.wantRevision))
		}).Should(Succeed())
		if c.wantAppends >= 0 {
			Expect(service.Counts().Appends).To(Equal(c.wantAppends))
		}
	},
		Entry("no fault", publishCase{wantOutcome: publisher.Accepted, wantRevision: 1, wantAppends: 1}),
		Entry("a lost response: the log is read before any retry", publishCase{
			faults: logservice.Faults{LoseResponses: 1}, wantOutcome: publisher.Accepted, wantRevision: 1, wantAppends: 1}),
		Entry("a lost response and lagging reads: the text is appended again", publishCase{
			faults: logservice.Faults{LoseResponses: 1, ReadLagMS: 300}, wantOutcome: publisher.Accepted, wantRevision: 1, wantAppends: -1}),
		Entry("appends that take effect after they timed out", publishCase{
			faults: logservice.Faults{DelayMS: 60}, appendTimeout: 10 * time.Millisecond,
			wantOutcome: publisher.Accepted, wantRevision: 1, wantAppends: -1}),
		Entry("the log service is down throughout", publishCase{
			faults: logservice.Faults{Down: true}, publishTimeout: 200 * time.Millisecond, wantError: true, wantAppends: 0}),
		Entry("the log service is down, then recovers", publishCase{
			faults: logservice.Faults{Down: true},
			during: func(s *logservice.Service) {
				time.Sleep(callTimeout)
				s.SetFaults(logservice.Faults{})
			}, wantOutcome: publisher.Accepted, wantRevision: 1, wantAppends: 1}),
		Entry("a lost response, then the log service is down until the publish timeout", publishCase{
			faults:      logservice.Faults{LoseResponses: 1},
			afterAppend: func(s *logservice.Service) { s.SetFaults(logservice.Faults{Down: true}) }, publishTimeout: time.Second, wantOutcome: publisher.Unknown, wantRevision: 1, wantAppends: 1}),
	)

	It("reports the publication that was accepted first and appends nothing for a known conflict", func() {
		first := publish(publisher.Base{}, "Ann", "a")
		second := publish(baseOf(first), "Bo", "b")
		Expect(second.Outcome).To(Equal(publisher.Accepted))
		appends := service.Counts().Appends
		late := publish(baseOf(first), "Cy", "c")
		Expect(late.Outcome).To(Equal(publisher.Conflict))
		Expect(late.AcceptedBefore).To(Equal(publisher.AcceptedPublication{Revision: 2, Publication: second.Publication, PublishedBy: "Bo"}))
		Expect(late.Head.Text).To(Equal("b"))
		Expect(service.Counts().Appends).To(Equal(appends))
	})

	It("returns Same for a text that is already the head, whoever published it", func() {
		first := publish(publisher.Base{}, "Ann", "a")
		second := publish(baseOf(first), "Bo", "b")
		same := publish(baseOf(first), "Cy", "b")
		Expect(same.Outcome).To(Equal(publisher.Same))
		Expect(same.Revision).To(Equal(second.Revision))
	})

	It("waits until the log includes the edit's base before it checks for a conflict", func() {
		first := publish(publisher.Base{}, "Ann", "a")
		second := publish(baseOf(first), "Ann", "b")
		service.SetFaults(logservice.Faults{ReadLagMS: 300})
		third := publish(baseOf(second), "Ann", "a")
		Expect(third.Outcome).To(Equal(publisher.Accepted))
		Expect(third.Revision).To(Equal(currantwood.Revision(3)))
	})

	It("returns ErrNoHead if the head has expired", func() {
		publish(publisher.Base{}, "Ann", "a")
		service.SetFaults(logservice.Faults{RetentionMS: 1})
		Eventually(func() error {
			_, err := newPublisher(address).Head(ctx)
			return err
		}).Should(MatchError(publisher.ErrNoHead))
		_, err := newPublisher(address).Publish(ctx, publisher.Edit{Text: "b"})
		Expect(errors.Is(err, publisher.ErrNoHead)).To(BeTrue())
	})

	It("skips malformed records in the log", func() {
		log := logclient.New(logclient.Options{Address: address})
		_, err := log.Append(ctx, headkeeper.Stream, []byte("{garbage"))
		Expect(err).NotTo(HaveOccurred())
		Expect(publish(publisher.Base{}, "Ann", "a").Outcome).To(Equal(publisher.Accepted))
	})
})
