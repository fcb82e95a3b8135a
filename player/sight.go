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

// outcome is how a request ended for its caller.
type outcome uint8

const (
	outcomeCut     outcome = iota // no final answer
	outcomeWhole                  // the whole answer
	outcomeNotRun                 // refused as not run
	outcomeUnknown                // refused as unknown
	outcomeRan                    // ended by a typed final error after it ran
	outcomeGivenUp                // the player stopped first
)

const (
	// terminator is the data of the last event of a whole stream.
	terminator = "[DONE]"
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 1 << 20
)

// sight is what one caller saw of one request.
type sight struct {
	started     time.Time
	outcome     outcome
	lastEventID string
	reconnects  int
	kind        string

	// tokens counts distinct indexes; next is the index expected next.
	tokens, next           uint64
	duplicated, outOfOrder uint64
	mark                   string
	mixed                  bool
	firstToken             time.Duration
	lastTokenAt            time.Time
	gaps                   []time.Duration
	restarts               int
}

func newSight() *sight { return &sight{started: time.Now()} }

// chunk is what the player reads of an answer's JSON.
type chunk struct {
	Choices []struct {
		Text    string  `json:"text"`
		Delta   content `json:"delta"`
		Message content `json:"message"`
	} `json:"choices"`
	Error *problem `json:"error"`
}

type content struct {
	Content string `json:"content"`
}

type problem struct {
	Kind string `json:"kind"`
	Code string `json:"code"`
	Ran  string `json:"ran"`
}

func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	return choice.Text + choice.Delta.Content + choice.Message.Content
}

func (s *sight) refused(response *http.Response) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return
	}
	var p problem
	if json.Unmarshal(body, &p) != nil || p.Ran == "" {
		return
	}
	s.final(p)
}

// final takes in a typed final error.
func (s *sight) final(p problem) {
	s.kind = p.Kind + p.Code
	switch p.Ran {
	case "not-run":
		s.outcome = outcomeNotRun
	case "ran":
		s.outcome = outcomeRan
	default:
		s.outcome = outcomeUnknown
	}
}

func (s *sight) whole(request Request, body []byte) {
	if request.Tokens == 0 {
		s.outcome = outcomeWhole
		return
	}
	var c chunk
	if json.Unmarshal(body, &c) != nil {
		return
	}
	now := time.Now()
	for _, word := range strings.Fields(c.text()) {
		s.token(word, now)
	}
	s.outcome = outcomeWhole
}

func (s *sight) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	event := ""
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			s.lastEventID = value
		case "event":
			event = value
		case "data":
			if s.event(event, value) {
				return
			}
			event = ""
		}
	}
}

// event takes in one event and reports whether it was the last.
func (s *sight) event(event, data string) bool {
	if data == terminator {
		s.outcome = outcomeWhole
		return true
	}
	if event == "restart" {
		s.restart()
		return false
	}
	var c chunk
	if json.Unmarshal([]byte(data), &c) != nil {
		return false
	}
	if c.Error != nil {
		s.final(*c.Error)
		return true
	}
	now := time.Now()
	for _, word := range strings.Fields(c.text()) {
		s.token(word, now)
	}
	return false
}

func (s *sight) restart() {
	s.restarts++
	s.tokens, s.next, s.mark = 0, 0, ""
}

// token takes in the text of one token, "index:mark".
func (s *sight) token(word string, now time.Time) {
	number, mark, _ := strings.Cut(word, ":")
	index, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return
	}
	s.time(now)
	if s.mark == "" {
		s.mark = mark
	}
	s.mixed = s.mixed || s.mark != mark
	switch {
	case index < s.next:
		s.duplicated++
		return
	case index > s.next:
		s.outOfOrder++
	}
	s.tokens++
	s.next = index + 1
}

func (s *sight) time(now time.Time) {
	if s.lastTokenAt.IsZero() {
		s.firstToken = now.Sub(s.started)
	} else {
		s.gaps = append(s.gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
}
