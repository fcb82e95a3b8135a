package rig

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// Request is a client's request.
type Request struct {
	ID, Path, Key string
	// Counts is the value of X-Token-Counts; empty for none.
	Counts string
	// Deadline is how long the client waits.
	Deadline time.Duration
	// Client keeps its connections; nil opens a new one.
	Client *http.Client
}

// Answer is what a client gets.
type Answer struct {
	Status int
	// Lines are those of the body.
	Lines []string
	// Complete is whether the answer came to its end.
	Complete bool
	// Err is why not.
	Err error
	// Reused is whether the request went over a connection that was open.
	Reused bool
	Took   time.Duration
}

// Count returns the number of lines that contain a text.
func (a Answer) Count(text string) int {
	n := 0
	for _, line := range a.Lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// Send sends a request to a gateway and reads the answer.
func (g *Gateway) Send(q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	answer := Answer{}
	began := time.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { answer.Reused = i.Reused }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Clients()+q.Path, strings.NewReader("a body"))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = Host
	request.Header.Set("X-Request-Id", q.ID)
	request.Header.Set("X-Api-Key", q.Key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	if q.Counts != "" {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Counts", q.Counts)
	}
	client := q.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	response, err := client.Do(request)
	if err != nil {
		answer.Err, answer.Took = err, time.Since(began)
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		answer.Lines = append(answer.Lines, lines.Text())
	}
	answer.Err, answer.Took = lines.Err(), time.Since(began)
	answer.Complete = answer.Err == nil
	return answer
}
