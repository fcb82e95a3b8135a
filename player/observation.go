package player

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is how a request ended for its client.
type outcome uint8

const (
	outcomeCutOff     outcome = iota // neither a complete response nor a typed error
	outcomeCompleted                 // complete response
	outcomeNotRun                    // refused; known not to have run
	outcomeUnknown                   // refused; unknown whether it ran
	outcomeEndedEarly                // ended by a typed error after it had started to run
	outcomeGivenUp                   // the player was stopped first
)

const (
	// terminator is the data of the last event of a complete stream.
	terminator = "[DONE]"
	// maxLineBytes limits the length of one line of a stream.
	maxLineBytes = 1 << 20
)

// observation records what the client of one request received, over all its
// attempts.
type observation struct {
	started     time.Time
	outcome     outcome
	lastEventID string
	reconnects  int
	// errorKind is the kind or code of the typed error that ended the request.
	errorKind string

	// tokens counts tokens with a higher index than all before; nextIndex is the
	// expected index of the next token.
	tokens, nextIndex uint64
	// duplicated counts tokens with a lower index than expected, also those that
	// come late, and outOfOrder tokens with a higher one.
	duplicated, outOfOrder uint64
	// mark identifies the generation of the first token. mixed is set once a token
	// has another mark.
	mark  string
	mixed bool
	// firstToken is the time from started to the first token.
	firstToken  time.Duration
	lastTokenAt time.Time
	// gaps holds the times between successive tokens.
	gaps     []time.Duration
	restarts int
}

func newObservation() *observation { return &observation{started: time.Now()} }

// chunk holds the fields that the player reads from the JSON of a response body or
// a stream event.
type chunk struct {
	Choices []struct {
		Text    string  `json:"text"`
		Delta   content `json:"delta"`
		Message content `json:"message"`
	} `json:"choices"`
	Error *problem `json:"error"`
}

// content is the text of a chat message or of its delta.
type content struct {
	Content string `json:"content"`
}

// problem is a typed error: the JSON body of a refusal, or the error in the final
// event of a stream. Only one of Kind and Code is set.
type problem struct {
	Kind string `json:"kind"`
	Code string `json:"code"`
	// Ran tells whether the request ran: "ran", "not-run" or "unknown".
	Ran string `json:"ran"`
}

// text returns the text of the first choice of a completion or a chat completion.
func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	return choice.Text + choice.Delta.Content + choice.Message.Content
}

// readRefusal records the refusal in a response. A response without a typed error
// leaves the outcome unchanged.
func (o *observation) readRefusal(response *http.Response) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return
	}
	var p problem
	if json.Unmarshal(body, &p) != nil || p.Ran == "" {
		return
	}
	o.recordFinalError(p)
}

// recordFinalError records a typed error that ends the request.
func (o *observation) recordFinalError(p problem) {
	o.errorKind = p.Kind + p.Code
	switch p.Ran {
	case "not-run":
		o.outcome = outcomeNotRun
	case "ran":
		o.outcome = outcomeEndedEarly
	default:
		o.outcome = outcomeUnknown
	}
}

// recordBody records a response that is not streamed.
func (o *observation) recordBody(request Request, body []byte) {
	if request.Tokens == 0 {
		o.outcome = outcomeCompleted
		return
	}
	var c chunk
	if json.Unmarshal(body, &c) != nil {
		return
	}
	now := time.Now()
	for _, word := range strings.Fields(c.text()) {
		o.recordToken(word, now)
	}
	o.outcome = outcomeCompleted
}

// readStream records the server-sent events of a stream up to its last event or the
// end of body.
func (o *observation) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	event := ""
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			o.lastEventID = value
		case "event":
			event = value
		case "data":
			if o.recordEvent(event, value) {
				return
			}
			event = ""
		}
	}
}

// recordEvent records one event of a stream and reports whether it was the last.
func (o *observation) recordEvent(event, data string) bool {
	if data == terminator {
		o.outcome = outcomeCompleted
		return true
	}
	if event == "restart" {
		o.restart()
		return false
	}
	var c chunk
	if json.Unmarshal([]byte(data), &c) != nil {
		return false
	}
	if c.Error != nil {
		o.recordFinalError(*c.Error)
		return true
	}
	now := time.Now()
	for _, word := range strings.Fields(c.text()) {
		o.recordToken(word, now)
	}
	return false
}

// restart discards the count of tokens, because the server sends a new generation
// from its first token. The times and the other counts are kept.
func (o *observation) restart() {
	o.restarts++
	o.tokens, o.nextIndex, o.mark = 0, 0, ""
}

// recordToken records one token with the text "index:mark". Other text is ignored.
func (o *observation) recordToken(word string, now time.Time) {
	number, mark, _ := strings.Cut(word, ":")
	index, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return
	}
	o.recordTokenTime(now)
	if o.mark == "" {
		o.mark = mark
	}
	o.mixed = o.mixed || o.mark != mark
	switch {
	case index < o.nextIndex:
		o.duplicated++
		return
	case index > o.nextIndex:
		o.outOfOrder++
	}
	o.tokens++
	o.nextIndex = index + 1
}

// recordTokenTime records the time to the first token or the gap since the last.
func (o *observation) recordTokenTime(now time.Time) {
	if o.lastTokenAt.IsZero() {
		o.firstToken = now.Sub(o.started)
	} else {
		o.gaps = append(o.gaps, now.Sub(o.lastTokenAt))
	}
	o.lastTokenAt = now
}
