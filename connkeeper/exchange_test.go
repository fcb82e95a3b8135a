package connkeeper

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/memorykeeper"
)

// testCoder decodes whether a response is a refusal, and its request.
type testCoder struct{ currantwood.HeaderCoder }

func (testCoder) Answer(_ int, h http.Header) currantwood.UpstreamResponse {
	return currantwood.UpstreamResponse{Request: currantwood.RequestID(h.Get("Id")), DeclaredNotRun: h.Get("Not-Run") != ""}
}

// Responses of scripted upstreams; %s is the ID of the request that has arrived.
const (
	success     = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
	refusal     = "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	bareRefusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// scriptedUpstream responds to the n-th request on each connection with the n-th script.
type scriptedUpstream struct {
	address string
	// arrivals receives the number of the connection of each request, from 1.
	arrivals chan int
}

func newScriptedUpstream(scripts ...string) *scriptedUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	u := &scriptedUpstream{address: listener.Addr().String(), arrivals: make(chan int, 100)}
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, number, scripts)
		}
	}()
	return u
}

func (u *scriptedUpstream) serve(conn net.Conn, number int, scripts []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, script := range scripts {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.arrivals <- number
		id := request.Header.Get("Id")
		for _, part := range splitScript(script) {
			if part == success || part == refusal {
				part = fmt.Sprintf(part, id)
			}
			_, _ = io.WriteString(conn, part)
			time.Sleep(5 * time.Millisecond)
		}
	}
	_, _ = reader.ReadByte()
}

// splitScript returns the responses of a script.
func splitScript(script string) []string {
	var parts []string
	for script != "" {
		for _, part := range []string{success, refusal, bareRefusal} {
			if len(script) >= len(part) && script[:len(part)] == part {
				parts = append(parts, part)
				script = script[len(part):]
			}
		}
	}
	return parts
}

var _ = Describe("Exchange", func() {
	var p *Pool
	BeforeEach(func() { p = New(time.Now, memorykeeper.New(0, 1<<20, nil)) })

	// send sends a request and returns the status and whether the response is a refusal.
	send := func(u *scriptedUpstream, id currantwood.RequestID) (status int, refused bool, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		call := &Call{Upstream: "u", Address: u.address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {string(id)}}, ID: id}
		x, err := p.Start(ctx, call, testCoder{})
		if err != nil {
			return 0, false, err
		}
		x.Finish()
		return x.Status, x.Answer.DeclaredNotRun, nil
	}

	// Guards against a request that is sent although its process was frozen, or waited for a
	// connection, so long that it may not be sent any more.
	It("sends nothing if the request is withheld", func() {
		u := newScriptedUpstream(success)
		cold := fmt.Errorf("upstream is cold")
		call := &Call{Upstream: "u", Address: u.address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "r1", MaySend: func() error { return cold }}
		_, err := p.Start(context.Background(), call, testCoder{})
		Expect(err).To(MatchError(ErrUnsent))
		Expect(err).To(MatchError(cold))
		Consistently(u.arrivals, "50ms").ShouldNot(Receive())
		By("and doesn't hinder the next one")
		status, _, err := send(u, "r2")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against a refusal that belongs to no request and is taken for the response to
	// one that the upstream runs, so that the request runs again elsewhere.
	It("isn't refused by a stray refusal without a request ID on a connection that was used before", func() {
		u := newScriptedUpstream(success, bareRefusal+success)
		for _, id := range []currantwood.RequestID{"r1", "r2"} {
			status, refused, err := send(u, id)
			Expect(err).NotTo(HaveOccurred())
			Expect(refused).To(BeFalse())
			Expect(status).To(Equal(http.StatusOK))
			Expect(<-u.arrivals).To(Equal(1))
		}
		By("and doesn't use another connection twice for a while")
		for number := 2; number <= 4; number++ {
			_, _, err := send(u, currantwood.RequestID(fmt.Sprint("more-", number)))
			Expect(err).NotTo(HaveOccurred())
			Expect(<-u.arrivals).To(Equal(number))
		}
	})

	// Guards against upstreams whose refusals never name the request: they must not cost
	// each request its time.
	It("is refused by a refusal without a request ID on a new connection, which isn't used again", func() {
		u := newScriptedUpstream(bareRefusal, bareRefusal)
		for number := 1; number <= 3; number++ {
			status, refused, err := send(u, currantwood.RequestID(fmt.Sprint("r", number)))
			Expect(err).NotTo(HaveOccurred())
			Expect(refused).To(BeTrue())
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(<-u.arrivals).To(Equal(number))
		}
	})

	It("is refused by a refusal that names its request, on a connection that stays open", func() {
		u := newScriptedUpstream(success, refusal, success)
		for i, want := range []bool{false, true, false} {
			_, refused, err := send(u, currantwood.RequestID(fmt.Sprint("r", i)))
			Expect(err).NotTo(HaveOccurred())
			Expect(refused).To(Equal(want))
			Expect(<-u.arrivals).To(Equal(1))
		}
	})

	// Guards against an earlier refusal that the upstream writes once more, when the same
	// request has come again.
	It("isn't sent on a connection on which the same request was refused", func() {
		u := newScriptedUpstream(refusal, success, refusal+success)
		for _, want := range []struct {
			id         currantwood.RequestID
			refused    bool
			connection int
		}{{"r1", true, 1}, {"r2", false, 1}, {"r1", true, 2}, {"r3", false, 2}} {
			_, refused, err := send(u, want.id)
			Expect(err).NotTo(HaveOccurred())
			Expect(refused).To(Equal(want.refused), "%+v", want)
			Expect(<-u.arrivals).To(Equal(want.connection), "%+v", want)
		}
	})

	// Guards against a process that was suspended after it had picked the upstream, and
	// sends what may not be sent any more.
	It("isn't sent if it may not be any more once there is a connection", func() {
		u := newScriptedUpstream(success, success)
		_, _, err := send(u, "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(<-u.arrivals).To(Equal(1))
		withdrawn := fmt.Errorf("the upstream is leaving")
		for _, id := range []currantwood.RequestID{"r2", "r3"} {
			call := &Call{Upstream: "u", Address: u.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {string(id)}}, ID: id, MaySend: func() error { return withdrawn }}
			_, err := p.Start(context.Background(), call, testCoder{})
			Expect(err).To(MatchError(withdrawn))
			Expect(err).To(MatchError(ErrUnsent))
		}
		Consistently(u.arrivals, "100ms").ShouldNot(Receive())
	})
})
