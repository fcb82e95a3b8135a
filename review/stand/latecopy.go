package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	copyDesks   = 5
	copyClients = 16
	// copyShare workers garble one of copyPart answers, for copyFor.
	copyShare = 3
	copyPart  = 34
	copyFor   = 5 * time.Second
	copyWork  = 30 * time.Millisecond
)

// shed is the answer of a worker that turns a request away, letter for letter as
// "fleetbench wire" shows it, with the length of its empty body.
const shed = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// strays are the connections on which additional bytes are still to come.
type strays struct {
	mu      sync.Mutex
	on      bool
	answers int
	due     map[net.Conn]bool
	sent    int
}

// garble counts an answer. For one of copyPart, additional bytes are due on its
// connection.
func (p *strays) garble(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	if p.on && p.answers%copyPart == 0 {
		p.due[conn] = true
	}
}

// take reports whether additional bytes are due on a connection, and takes them.
func (p *strays) take(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.due[conn]
	delete(p.due, conn)
	if due {
		p.sent++
	}
	return due
}

func (p *strays) set(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.on = on
}

// lateCopy plays workers that send additional bytes after a complete answer, late, at the
// point where the next answer is expected.
func lateCopy(w *world) verdict {
	w.publishSmall()
	stray := &strays{due: map[net.Conn]bool{}}
	for i := range copyDesks {
		garbles := i < copyShare
		w.addWorker(fmt.Sprintf("i-02d9e6b%d", i), desk, "v1", deskSlots, func(k *worker, c *call) { payAndGarble(k, c, garbles, stray) })
	}
	if err := w.addGateways(2); err != nil {
		return notRun("%v", err)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	for i := range copyClients {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				o := w.once(w.gateways[i%len(w.gateways)], payment())
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	stray.set(w.trouble)
	w.note("workers garble answers: %v", w.trouble)
	time.Sleep(copyFor)
	stray.set(false)
	w.note("workers garble answers no longer")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	twice, refused := 0, 0
	ran := w.runsByID()
	for _, o := range outcomes {
		if ran[o.id] > 1 {
			twice++
			w.note("client: %s was sent once and ran %d times", o.id, ran[o.id])
		}
		if ran[o.id] > 0 && o.status == 503 {
			refused++
			w.note("client: %s was answered 503 and ran", o.id)
		}
	}
	return verdict{
		broken: twice > 0,
		seen:   fmt.Sprintf("of %d payments, %d ran more than once and %d ran and were answered 503; %d answers were followed by additional bytes", len(outcomes), twice, refused, stray.sent),
	}
}

// payAndGarble works on a payment. If additional bytes are due on its connection, they
// come first.
func payAndGarble(k *worker, c *call, garbles bool, stray *strays) {
	if k.running() >= deskSlots {
		k.write(c, "503 Service Unavailable", "X-Not-Executed: 1\r\nX-Request-Id: "+c.id+"\r\n", nil)
		return
	}
	e := k.begin(c)
	defer k.finish(e)
	if stray.take(c.conn) {
		_, _ = c.conn.Write([]byte(shed))
		k.w.note("worker %s: additional bytes after an earlier answer, while %s runs", k.id, c.id)
	}
	time.Sleep(copyWork)
	k.write(c, "200 OK", k.seal(c)+"Content-Type: text/plain\r\n", []byte("done "+c.id))
	if garbles {
		stray.garble(c.conn)
	}
}
