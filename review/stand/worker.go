package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two records of a worker.
const heartbeat = 1200 * time.Millisecond

// call is a request that has reached a worker.
type call struct {
	*http.Request
	id   string
	body []byte
	conn net.Conn
	// gone is closed when the caller has closed the connection.
	gone <-chan struct{}
}

// execution is a request that a worker has begun to work on.
type execution struct {
	id, worker string
	key        string
	began      time.Time
	ended      time.Time
}

// worker is a worker that speaks the protocol over plain connections, so that a case
// decides about each byte of an answer.
type worker struct {
	w             *world
	id, service   string
	address       string
	slots         int
	serve         func(k *worker, c *call)
	mu            sync.Mutex
	version       string
	born          int64
	sequence      int
	state         string
	listener      net.Listener
	conns         map[net.Conn]struct{}
	stopHeartbeat chan struct{}
	executions    []*execution
	arrivals      int
	busy          int
	stopped       bool
}

// addWorker starts a worker on a free port.
func (w *world) addWorker(id, service, version string, slots int, serve func(k *worker, c *call)) *worker {
	k := &worker{w: w, id: id, service: service, address: freeAddress("127.0.0.1"), slots: slots, serve: serve, version: version, state: "ready"}
	w.workers = append(w.workers, k)
	k.start(version)
	return k
}

// start begins an incarnation at the worker's address, under its id.
func (k *worker) start(version string) {
	listener, err := net.Listen("tcp", k.address)
	if err != nil {
		panic(err)
	}
	k.mu.Lock()
	k.version, k.born, k.sequence, k.busy = version, time.Now().UnixMilli(), 0, 0
	k.listener, k.conns, k.stopHeartbeat = listener, map[net.Conn]struct{}{}, make(chan struct{})
	stop := k.stopHeartbeat
	k.mu.Unlock()
	k.w.note("worker %s (%s %s): started at %s", k.id, k.service, version, k.address)
	go k.accept(listener)
	go k.beat(stop)
}

// crash ends the incarnation: its listener and connections are closed.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener == nil {
		return
	}
	close(k.stopHeartbeat)
	_ = k.listener.Close()
	for conn := range k.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	k.listener = nil
	k.w.note("worker %s (%s): ended", k.id, k.version)
}

func (k *worker) stop() {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.crash()
}

// beat writes the worker's record at once and every heartbeat, unless the store is away.
func (k *worker) beat(stop <-chan struct{}) {
	for {
		k.writeRecord()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (k *worker) writeRecord() {
	if k.w.storeAway.Load() {
		return
	}
	k.mu.Lock()
	k.sequence++
	value, err := json.Marshal(map[string]any{
		"service": k.service, "address": k.address, "zone": "kingston-a", "version": k.version, "slots": k.slots,
		"state": k.state, "warmupLeftMs": 0, "stage": "unified", "sequence": k.sequence, "born": k.born,
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
	k.mu.Unlock()
	if err != nil {
		panic(err)
	}
	k.w.store.Put(workerTopic, k.id, value)
}

func (k *worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		k.conns[conn] = struct{}{}
		k.mu.Unlock()
		go k.handle(conn)
	}
}

// handle serves the requests of one connection, one at a time.
func (k *worker) handle(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		k.mu.Lock()
		delete(k.conns, conn)
		k.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		gone := make(chan struct{})
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := reader.Peek(1); err != nil {
				close(gone)
			}
		}()
		k.answer(&call{Request: request, id: request.Header.Get("X-Request-Id"), body: body, conn: conn, gone: gone})
		if request.Close {
			return
		}
		<-watched
		select {
		case <-gone:
			return
		default:
		}
	}
}

// answer serves reports and health checks, turns away what isn't for this worker, and
// leaves the rest to the case.
func (k *worker) answer(c *call) {
	switch c.URL.Path {
	case "/report":
		k.mu.Lock()
		body, _ := json.Marshal(map[string]any{
			"stage": "unified", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
			"sequence": 2, "queued": 0, "running": k.busy, "kvUsed": 100, "kvTotal": 34319, "handles": 0,
			"state": k.state, "born": k.born, "next": 0, "runs": []any{},
		})
		k.mu.Unlock()
		k.write(c, "200 OK", "Content-Type: application/json\r\n", body)
		return
	case "/healthz":
		k.write(c, "200 OK", "X-Instance-Id: "+k.id+"\r\n", nil)
		return
	}
	if expected := c.Header.Get("X-Expect-Instance"); expected != "" && expected != k.id {
		k.write(c, "421 Misdirected Request", "X-Instance-Id: "+k.id+"\r\n", nil)
		return
	}
	k.mu.Lock()
	k.arrivals++
	k.mu.Unlock()
	k.serve(k, c)
}

// write writes a whole answer.
func (k *worker) write(c *call, status, header string, body []byte) {
	_, _ = c.conn.Write(answerBytes(status, header, body))
}

func answerBytes(status, header string, body []byte) []byte {
	head := "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body...)
}

// begin notes that the worker begins to work on a request.
func (k *worker) begin(c *call) *execution {
	e := &execution{id: c.id, worker: k.id, key: string(c.body), began: time.Now()}
	k.mu.Lock()
	k.executions = append(k.executions, e)
	k.busy++
	version := k.version
	k.mu.Unlock()
	k.w.note("worker %s (%s): runs %s %s, tenant %q", k.id, version, c.id, c.URL.Path, c.Header.Get("X-Tenant"))
	return e
}

// finish notes that it no longer works on it.
func (k *worker) finish(e *execution) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.ended = time.Now()
	k.busy--
}

// running returns the requests that are being worked on.
func (k *worker) running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.busy
}

// ran returns what the worker has worked on.
func (k *worker) ran() []execution {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []execution
	for _, e := range k.executions {
		all = append(all, *e)
	}
	return all
}

// seal returns the header lines of an answer of the worker that has run a request.
func (k *worker) seal(c *call) string {
	return fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Seal: %s.%s\r\n", c.id, k.id, c.id)
}

// serveCall works on a request for a time and answers with its id.
func (k *worker) serveCall(c *call, work time.Duration) {
	e := k.begin(c)
	defer k.finish(e)
	time.Sleep(work)
	k.write(c, "200 OK", k.seal(c)+"Content-Type: text/plain\r\n", []byte("done "+c.id))
}
