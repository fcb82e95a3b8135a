// Package encoder writes generated text in the form that OpenAI-style clients
// read: completions and chat completions, as server-sent events or as one
// whole answer.
//
// Every event carries an id from which the caller can go on at any entry. A
// stream that is not whole ends with an error event and never with [DONE],
// since a stock client takes a clean end for a whole answer.
package encoder

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// Options describe one answer.
type Options struct {
	Request currantwood.RequestID
	Model   string
	Created time.Time
	// Chat chooses chat completions in place of completions.
	Chat bool
	// IncludeUsage asks for a last event with the counts of tokens.
	IncludeUsage bool
	PromptTokens currantwood.TokenCount
}

// Encoder appends the parts of one answer to a caller's buffer. It is not safe
// for concurrent use.
type Encoder struct {
	opts Options
	// idPrefix is all of an event id but the index.
	idPrefix string
	// head and tail surround the text in an event of one token.
	head string
	tail string
	// firstHead stands in for head at token 0.
	firstHead string
}

// heartbeat is a comment line: clients skip it.
const heartbeat = ": heartbeat\n\n"

// terminator ends a whole stream.
const terminator = "data: [DONE]\n\n"

// New makes an encoder that is not bound to a generation yet.
func New(opts Options) *Encoder {
	e := &Encoder{opts: opts}
	open := e.open()
	if opts.Chat {
		e.firstHead = open + `"delta":{"role":"assistant","content":`
		e.head = open + `"delta":{"content":`
		e.tail = "},\"logprobs\":null,\"finish_reason\":null}]}\n\n"
		return e
	}
	e.firstHead = open + `"text":`
	e.head = e.firstHead
	e.tail = ",\"logprobs\":null,\"finish_reason\":null}]}\n\n"
	return e
}

// open is the start of each event's data up to the choice's own fields.
func (e *Encoder) open() string {
	buf := append([]byte("data: "), e.object(e.kind(true))...)
	buf = append(buf, `,"choices":[{"index":0,`...)
	return string(buf)
}

// object is the common part of all bodies, without the closing brace.
func (e *Encoder) object(kind string) []byte {
	buf := append([]byte(`{"id":`), quoted(e.id())...)
	buf = append(buf, `,"object":"`...)
	buf = append(buf, kind...)
	buf = append(buf, `","created":`...)
	buf = strconv.AppendInt(buf, e.opts.Created.Unix(), 10)
	buf = append(buf, `,"model":`...)
	return append(buf, quoted(e.opts.Model)...)
}

func (e *Encoder) id() string {
	if e.opts.Chat {
		return "chatcmpl-" + string(e.opts.Request)
	}
	return "cmpl-" + string(e.opts.Request)
}

func (e *Encoder) kind(chunk bool) string {
	switch {
	case e.opts.Chat && chunk:
		return "chat.completion.chunk"
	case e.opts.Chat:
		return "chat.completion"
	}
	return "text_completion"
}

// Bind names the generation and the upstream in the ids of what follows.
func (e *Encoder) Bind(generation currantwood.GenerationID, upstream currantwood.UpstreamID) {
	e.idPrefix = currantwood.Position{
		Request:    e.opts.Request,
		Generation: generation,
		Upstream:   upstream,
	}.EventIDPrefix()
}

// Tokens appends one event for each token; the first one has the index from.
func (e *Encoder) Tokens(dst []byte, from currantwood.TokenIndex, texts []string) []byte {
	for i, text := range texts {
		index := from + currantwood.TokenIndex(i)
		dst = e.eventID(dst, index+1)
		if index == 0 {
			dst = append(dst, e.firstHead...)
		} else {
			dst = append(dst, e.head...)
		}
		dst = appendQuoted(dst, text)
		dst = append(dst, e.tail...)
	}
	return dst
}

// Done appends the end of a whole stream of count tokens.
func (e *Encoder) Done(dst []byte, count currantwood.TokenIndex, finishReason string) []byte {
	dst = e.eventID(dst, count)
	dst = append(dst, e.open()...)
	if e.opts.Chat {
		dst = append(dst, `"delta":{}`...)
	} else {
		dst = append(dst, `"text":""`...)
	}
	dst = append(dst, `,"logprobs":null,"finish_reason":`...)
	dst = appendQuoted(dst, finishReason)
	dst = append(dst, "}]}\n\n"...)
	if e.opts.IncludeUsage {
		dst = e.eventID(dst, count)
		dst = append(dst, "data: "...)
		dst = append(dst, e.object(e.kind(true))...)
		dst = append(dst, `,"choices":[],"usage":`...)
		dst = e.usage(dst, count)
		dst = append(dst, "}\n\n"...)
	}
	return append(dst, terminator...)
}

// Whole appends the body of a whole answer.
func (e *Encoder) Whole(dst []byte, texts []string, finishReason string) []byte {
	dst = append(dst, e.object(e.kind(false))...)
	dst = append(dst, `,"choices":[{"index":0,`...)
	size := 0
	for _, text := range texts {
		size += len(text)
	}
	whole := make([]byte, 0, size)
	for _, text := range texts {
		whole = append(whole, text...)
	}
	if e.opts.Chat {
		dst = append(dst, `"message":{"role":"assistant","content":`...)
		dst = appendQuoted(dst, string(whole))
		dst = append(dst, `,"refusal":null}`...)
	} else {
		dst = append(dst, `"text":`...)
		dst = appendQuoted(dst, string(whole))
	}
	dst = append(dst, `,"logprobs":null,"finish_reason":`...)
	dst = appendQuoted(dst, finishReason)
	dst = append(dst, `}],"usage":`...)
	dst = e.usage(dst, currantwood.TokenIndex(len(texts)))
	return append(dst, "}\n"...)
}

// Heartbeat appends a comment that keeps the connection known to be alive.
func (*Encoder) Heartbeat(dst []byte) []byte { return append(dst, heartbeat...) }

// Restart appends the event after which the tokens of a new generation, which
// Bind has named, follow from index 0. Only a caller that declared it may be
// sent one.
func (e *Encoder) Restart(dst []byte) []byte {
	dst = append(dst, "event: restart\n"...)
	dst = e.eventID(dst, 0)
	return append(dst, "data: {\"restart\":true}\n\n"...)
}

// failure is the data of an error event.
type failure struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry-after-ms"`
	Operation    string `json:"operation,omitempty"`
}

// Failure appends the event that ends a stream which is not whole.
func (*Encoder) Failure(dst []byte, refusal *currantwood.Refusal) ([]byte, error) {
	data, err := json.Marshal(failure{Error: failureBody{
		Message:      refusal.Detail,
		Type:         refusal.Kind.String(),
		Code:         refusal.Kind.String(),
		Ran:          refusal.Ran.String(),
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		Operation:    refusal.Operation,
	}})
	if err != nil {
		return dst, errors.Wrap(err, "encoder: error event")
	}
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, data...)
	return append(dst, "\n\n"...), nil
}

func (e *Encoder) eventID(dst []byte, next currantwood.TokenIndex) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, e.idPrefix...)
	dst = strconv.AppendUint(dst, uint64(next), 10)
	return append(dst, '\n')
}

func (e *Encoder) usage(dst []byte, count currantwood.TokenIndex) []byte {
	dst = append(dst, `{"prompt_tokens":`...)
	dst = strconv.AppendInt(dst, int64(e.opts.PromptTokens), 10)
	dst = append(dst, `,"completion_tokens":`...)
	dst = strconv.AppendUint(dst, uint64(count), 10)
	dst = append(dst, `,"total_tokens":`...)
	dst = strconv.AppendUint(dst, uint64(e.opts.PromptTokens)+uint64(count), 10)
	return append(dst, '}')
}
