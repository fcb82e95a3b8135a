package streams_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamClient reads one stream, makes another attempt through the next entry after
// an error, and records every token that it receives.
type streamClient struct {
	customer       string
	acceptsRestart bool
	// addresses returns the entries to try, in turn. It is called before each
	// attempt.
	addresses func() []string

	lastEventID string
	// texts holds the tokens since the last restart event.
	texts []string
	// restarts counts restart events.
	restarts int
	// attempts counts the attempts, also those that failed to connect.
	attempts int
	// done is set by the [DONE] event.
	done    bool
	failure *failure
	status  int
	// err is the error of the last attempt; nil when the stream ended.
	err error
}

// failure is the error event or the problem document that ended a stream.
type failure struct {
	Code         string `json:"code"`
	Kind         string `json:"kind"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry-after-ms"`
}

// refusalKind returns the kind of refusal: the code of an error event or the kind of
// a problem document. The other of the two is empty.
func (f *failure) refusalKind() string { return f.Code + f.Kind }

// maxAttempts bounds the attempts of one streamClient.
const maxAttempts = 20

// readStream reads the stream to its end, with a new attempt after each error. It
// calls progress after each event.
func (c *streamClient) readStream(ctx context.Context, body string, progress func()) {
	for c.attempts < maxAttempts && ctx.Err() == nil {
		addresses := c.addresses()
		address := addresses[c.attempts%len(addresses)]
		c.attempts++
		if c.err = c.readAttempt(ctx, address, body, progress); c.err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// readAttempt makes one attempt. It returns nil when the stream ended, complete
// or with a failure, and an error otherwise, also for a response that it can't read.
func (c *streamClient) readAttempt(ctx context.Context, address, body string, progress func()) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey(c.customer))
	if c.lastEventID != "" {
		request.Header.Set("Last-Event-ID", c.lastEventID)
	}
	if c.acceptsRestart {
		request.Header.Set("X-Accept-Restart", "true")
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if c.status = response.StatusCode; c.status != http.StatusOK {
		c.failure = &failure{}
		return json.NewDecoder(response.Body).Decode(c.failure)
	}
	return c.readEvents(bufio.NewScanner(response.Body), progress)
}

// readEvents reads server-sent events until one ends the stream. It returns an
// error when the connection ends first or an event is invalid.
func (c *streamClient) readEvents(lines *bufio.Scanner, progress func()) error {
	var id, name, data string
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "id":
			id = value
		case "event":
			name = value
		case "data":
			data = value
		}
		if lines.Text() != "" || data == "" {
			continue
		}
		ended, err := c.handleEvent(id, name, data)
		if ended || err != nil {
			return err
		}
		progress()
		name, data = "", ""
	}
	return fmt.Errorf("response ended after %d tokens, read error: %v", len(c.texts), lines.Err())
}

// handleEvent records one event and reports whether it ends the stream.
func (c *streamClient) handleEvent(id, name, data string) (bool, error) {
	if data == "[DONE]" {
		c.done = true
		return true, nil
	}
	c.lastEventID = id
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *failure `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false, err
	}
	switch {
	case name == "restart" && !c.acceptsRestart:
		return false, fmt.Errorf("restart event for a client that didn't send X-Accept-Restart")
	case name == "restart":
		c.restarts++
		c.texts = nil
	case chunk.Error != nil:
		c.failure = chunk.Error
		return true, nil
	case len(chunk.Choices) > 0 && chunk.Choices[0].Text != "":
		c.texts = append(c.texts, chunk.Choices[0].Text)
	}
	return false, nil
}

// tokenError returns what is wrong with the tokens received. It is empty when
// they are the first tokens of one generation, each once and in order.
func (c *streamClient) tokenError() string {
	generation := ""
	for i, text := range c.texts {
		index, rest, _ := strings.Cut(text, ":")
		if index != strconv.Itoa(i) {
			return fmt.Sprintf("token %d is %q", i, text)
		}
		if generation != "" && rest != generation {
			return fmt.Sprintf("token %d is of generation %q, not %q", i, rest, generation)
		}
		generation = rest
	}
	return ""
}

// generation returns the mark that the engine put on all tokens of the generation;
// empty before the first token.
func (c *streamClient) generation() string {
	if len(c.texts) == 0 {
		return ""
	}
	_, generation, _ := strings.Cut(c.texts[0], ":")
	return generation
}
