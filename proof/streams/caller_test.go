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

// caller reads one stream and reconnects through another entry when it is cut
// off. It writes down every token that it was given.
type caller struct {
	customer string
	restarts bool
	// addresses are tried in turn.
	addresses func() []string

	lastEvent string
	// texts are the tokens since the last restart event.
	texts []string
	restarted,
	connections int
	done    bool
	failure *failure
	status  int
	err     error
}

// failure is the error event or the problem that ended a stream.
type failure struct {
	Code         string `json:"code"`
	Kind         string `json:"kind"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry-after-ms"`
}

// kind is named by problems and error events alike.
func (f *failure) kind() string { return f.Code + f.Kind }

// maxConnections bounds a caller's tries.
const maxConnections = 20

// read follows the stream to its end. Progress is called after each token.
func (c *caller) read(ctx context.Context, body string, progress func()) {
	for c.connections < maxConnections && ctx.Err() == nil {
		addresses := c.addresses()
		address := addresses[c.connections%len(addresses)]
		c.connections++
		if c.err = c.connect(ctx, address, body, progress); c.err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// connect returns nil when the stream ended, whole or with a typed failure.
func (c *caller) connect(ctx context.Context, address, body string, progress func()) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key(c.customer))
	if c.lastEvent != "" {
		request.Header.Set("Last-Event-ID", c.lastEvent)
	}
	if c.restarts {
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
	return c.events(bufio.NewScanner(response.Body), progress)
}

// events reads server-sent events until one ends the stream.
func (c *caller) events(lines *bufio.Scanner, progress func()) error {
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
		ended, err := c.event(id, name, data)
		if ended || err != nil {
			return err
		}
		progress()
		name, data = "", ""
	}
	return fmt.Errorf("cut off after %d tokens: %w", len(c.texts), lines.Err())
}

func (c *caller) event(id, name, data string) (bool, error) {
	if data == "[DONE]" {
		c.done = true
		return true, nil
	}
	c.lastEvent = id
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
	case name == "restart" && !c.restarts:
		return false, fmt.Errorf("restart event for a caller that didn't declare it")
	case name == "restart":
		c.restarted++
		c.texts = nil
	case chunk.Error != nil:
		c.failure = chunk.Error
		return true, nil
	case len(chunk.Choices) > 0 && chunk.Choices[0].Text != "":
		c.texts = append(c.texts, chunk.Choices[0].Text)
	}
	return false, nil
}

// fault says what is wrong with the tokens given; empty when they are the
// first ones of one generation, once and in order.
func (c *caller) fault() string {
	mark := ""
	for i, text := range c.texts {
		index, rest, _ := strings.Cut(text, ":")
		if index != strconv.Itoa(i) {
			return fmt.Sprintf("token %d is %q", i, text)
		}
		if mark != "" && rest != mark {
			return fmt.Sprintf("token %d is of generation %q, not %q", i, rest, mark)
		}
		mark = rest
	}
	return ""
}

// mark names the generation of the tokens given.
func (c *caller) mark() string {
	if len(c.texts) == 0 {
		return ""
	}
	_, mark, _ := strings.Cut(c.texts[0], ":")
	return mark
}
