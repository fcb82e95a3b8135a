package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id     string
	status int
	seal   string
	body   string
	// whole is whether the answer ended as the protocol says.
	whole bool
	err   error
	took  time.Duration
	// retryAfter is when the client shall come back.
	retryAfter time.Duration
}

// request is one attempt of a client.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 http.Header
}

// send sends a request over a new connection and reads the whole answer.
func (d *deployment) send(ctx context.Context, address string, q request) result {
	began := time.Now()
	out := exchange(ctx, address, q)
	out.took = time.Since(began)
	d.keep(began, address, q, out)
	return out
}

// keep keeps what was sent and answered for the record.
func (d *deployment) keep(began time.Time, address string, q request, r result) {
	text := fmt.Sprintf("%8.3f s  sent %s %s %s to %s; after %.3f s status %d, seal %q, %d bytes, whole %t", began.Sub(d.began).Seconds(), q.id, q.method, q.path, address, r.took.Seconds(), r.status, r.seal, len(r.body), r.whole)
	if r.err != nil {
		text += ", " + r.err.Error()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept = append(d.kept, text)
}

// exchange is send without the record.
func exchange(ctx context.Context, address string, q request) result {
	out := result{id: q.id}
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if _, out.err = io.WriteString(conn, q.text()); out.err != nil {
		return out
	}
	return readAnswer(conn, q, out)
}

// readAnswer reads the answer to a request from a connection.
func readAnswer(conn io.Reader, q request, out result) result {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		out.err = err
		return out
	}
	body, err := io.ReadAll(response.Body)
	out.status, out.seal, out.body, out.err = response.StatusCode, response.Header.Get("X-Response-Seal"), string(body), err
	out.whole = err == nil
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return out
}

// text returns the request as it is sent.
func (q request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds(), key)
	for name, values := range q.header {
		for _, value := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	return b.String()
}
