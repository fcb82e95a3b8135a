package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one attempt of a client.
type attempt struct {
	method, path, key, body string
	// header holds more headers.
	header   map[string]string
	deadline time.Duration
}

// outcome is what a client received.
type outcome struct {
	id     string
	status int
	header http.Header
	body   string
	// err is why the answer is missing or incomplete.
	err  error
	sent time.Time
	took time.Duration
}

// connection is a client's connection that is kept open.
type connection struct {
	w      *world
	g      *gateway
	conn   net.Conn
	reader *bufio.Reader
}

func (w *world) connect(g *gateway) (*connection, error) {
	conn, err := g.dial()
	if err != nil {
		return nil, err
	}
	return &connection{w: w, g: g, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *connection) close() { _ = c.conn.Close() }

// send sends a request and reads its whole answer.
func (c *connection) send(a attempt) outcome {
	o := outcome{id: c.w.newRequestID(), sent: time.Now()}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, host, o.id, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&head, "X-Api-Key: %s\r\n", a.key)
	}
	for name, value := range a.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	c.w.note("client: %s %s %s to %s, key %q", o.id, a.method, a.path, c.g.name, a.key)
	_ = c.conn.SetDeadline(time.Now().Add(a.deadline + time.Second))
	o.err = c.exchange(head.String(), a.method, &o)
	o.took = time.Since(o.sent)
	c.w.note("client: %s answered %d, %d bytes, error %v, after %d ms", o.id, o.status, len(o.body), o.err, o.took.Milliseconds())
	return o
}

func (c *connection) exchange(text, method string, o *outcome) error {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	o.status, o.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	o.body = string(body)
	if err != nil {
		return err
	}
	if response.Close {
		return c.conn.Close()
	}
	return nil
}

// once sends a request over a connection of its own.
func (w *world) once(g *gateway, a attempt) outcome {
	c, err := w.connect(g)
	if err != nil {
		return outcome{err: err, sent: time.Now()}
	}
	defer c.close()
	return c.send(a)
}
