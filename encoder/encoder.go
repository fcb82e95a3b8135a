// Package encoder encodes generated text in the OpenAI response format:
// completions and chat completions, as server-sent events or as one JSON body.
//
// Every event but error events and [DONE] carries an ID with which the client can
// resume at any entry. An incomplete stream ends with an error event and without
// [DONE], since a standard client takes [DONE], or an end without an error, for a
// complete response.
package encoder

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// Options describe one response.
type Options struct {
	Request currantwood.RequestID
	Model   string
	Created time.Time
	// Chat selects chat completions instead of completions.
	Chat bool
	// IncludeUsage adds an event with the token counts at the end of a stream.
	IncludeUsage bool
	// PromptTokens is the size of the prompt, reported as usage. The entry passes its
	// estimate.
	PromptTokens currantwood.TokenCount
}

// Encoder encodes the parts of one response. Its methods append to a buffer and
// return it, as append does. It is not safe for concurrent use.
type Encoder struct {
	opts Options
	// idPrefix is the event ID without the token index; empty until the generation is
	// set.
	idPrefix string
	// tokenPrefix and tokenSuffix enclose the token's text in the data of an event.
	tokenPrefix string
	tokenSuffix string
	// firstTokenPrefix replaces tokenPrefix for token 0.
	firstTokenPrefix string
}

// heartbeat is a comment in server-sent events, which clients ignore.
const heartbeat = ": heartbeat\n\n"

// terminator ends a complete stream.
const terminator = "data: [DONE]\n\n"

// New returns an encoder without a generation. The generation must be set before
// the first event that carries an ID.
func New(opts Options) *Encoder {
	e := &Encoder{opts: opts}
	start := e.chunkStart()
	if opts.Chat {
		e.firstTokenPrefix = start + `"delta":{"role":"assistant","content":`
		e.tokenPrefix = start + `"delta":{"content":`
		e.tokenSuffix = "},\"logprobs\":null,\"finish_reason\":null}]}\n\n"
		return e
	}
	e.firstTokenPrefix = start + `"text":`
	e.tokenPrefix = e.firstTokenPrefix
	e.tokenSuffix = ",\"logprobs\":null,\"finish_reason\":null}]}\n\n"
	return e
}

// chunkStart returns the start of a data line up to the fields of the choice.
func (e *Encoder) chunkStart() string {
	buf := append([]byte("data: "), e.objectStart(e.objectType(true))...)
	buf = append(buf, `,"choices":[{"index":0,`...)
	return string(buf)
}

// objectStart returns the start of a JSON object with the fields that all kinds
// share.
func (e *Encoder) objectStart(kind string) []byte {
	buf := append([]byte(`{"id":`), quote(e.completionID())...)
	buf = append(buf, `,"object":"`...)
	buf = append(buf, kind...)
	buf = append(buf, `","created":`...)
	buf = strconv.AppendInt(buf, e.opts.Created.Unix(), 10)
	buf = append(buf, `,"model":`...)
	return append(buf, quote(e.opts.Model)...)
}

func (e *Encoder) completionID() string {
	if e.opts.Chat {
		return "chatcmpl-" + string(e.opts.Request)
	}
	return "cmpl-" + string(e.opts.Request)
}

func (e *Encoder) objectType(chunk bool) string {
	switch {
	case e.opts.Chat && chunk:
		return "chat.completion.chunk"
	case e.opts.Chat:
		return "chat.completion"
	}
	return "text_completion"
}

// SetGeneration sets the generation and the upstream in the IDs of the following events.
func (e *Encoder) SetGeneration(generation currantwood.GenerationID, upstream currantwood.UpstreamID) {
	e.idPrefix = currantwood.Position{
		Request:    e.opts.Request,
		Generation: generation,
		Upstream:   upstream,
	}.EventIDPrefix()
}

// AppendTokens appends one event per token. The first token has the index from.
func (e *Encoder) AppendTokens(dst []byte, from currantwood.TokenIndex, texts []string) []byte {
	for i, text := range texts {
		index := from + currantwood.TokenIndex(i)
		dst = e.appendEventID(dst, index+1)
		if index == 0 {
			dst = append(dst, e.firstTokenPrefix...)
		} else {
			dst = append(dst, e.tokenPrefix...)
		}
		dst = appendQuoted(dst, text)
		dst = append(dst, e.tokenSuffix...)
	}
	return dst
}

// AppendDone appends the end of a complete stream of count tokens, with the indexes 0 to
// count-1: the finish reason, the usage if Options.IncludeUsage is set, and [DONE].
func (e *Encoder) AppendDone(dst []byte, count currantwood.TokenIndex, finishReason string) []byte {
	dst = e.appendEventID(dst, count)
	dst = append(dst, e.chunkStart()...)
	if e.opts.Chat {
		dst = append(dst, `"delta":{}`...)
	} else {
		dst = append(dst, `"text":""`...)
	}
	dst = append(dst, `,"logprobs":null,"finish_reason":`...)
	dst = appendQuoted(dst, finishReason)
	dst = append(dst, "}]}\n\n"...)
	if e.opts.IncludeUsage {
		dst = e.appendEventID(dst, count)
		dst = append(dst, "data: "...)
		dst = append(dst, e.objectStart(e.objectType(true))...)
		dst = append(dst, `,"choices":[],"usage":`...)
		dst = e.appendUsage(dst, count)
		dst = append(dst, "}\n\n"...)
	}
	return append(dst, terminator...)
}

// AppendBody appends the body of a response that is not streamed.
func (e *Encoder) AppendBody(dst []byte, texts []string, finishReason string) []byte {
	dst = append(dst, e.objectStart(e.objectType(false))...)
	dst = append(dst, `,"choices":[{"index":0,`...)
	size := 0
	for _, text := range texts {
		size += len(text)
	}
	content := make([]byte, 0, size)
	for _, text := range texts {
		content = append(content, text...)
	}
	if e.opts.Chat {
		dst = append(dst, `"message":{"role":"assistant","content":`...)
		dst = appendQuoted(dst, string(content))
		dst = append(dst, `,"refusal":null}`...)
	} else {
		dst = append(dst, `"text":`...)
		dst = appendQuoted(dst, string(content))
	}
	dst = append(dst, `,"logprobs":null,"finish_reason":`...)
	dst = appendQuoted(dst, finishReason)
	dst = append(dst, `}],"usage":`...)
	dst = e.appendUsage(dst, currantwood.TokenIndex(len(texts)))
	return append(dst, "}\n"...)
}

// AppendHeartbeat appends a comment that shows the client that the connection is alive.
func (*Encoder) AppendHeartbeat(dst []byte) []byte { return append(dst, heartbeat...) }

// AppendRestart appends an event that announces a new generation, whose tokens follow
// from index 0. The new generation must be set first. A restart may only be sent
// to a client that declared support for it.
func (e *Encoder) AppendRestart(dst []byte) []byte {
	dst = append(dst, "event: restart\n"...)
	dst = e.appendEventID(dst, 0)
	return append(dst, "data: {\"restart\":true}\n\n"...)
}

// errorEvent is the data of an error event in JSON.
type errorEvent struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry-after-ms"`
	Operation    string `json:"operation,omitempty"`
}

// AppendError appends the error event that ends an incomplete stream. If the event can't
// be encoded, it returns dst unchanged and an error.
func (*Encoder) AppendError(dst []byte, refusal *currantwood.Refusal) ([]byte, error) {
	data, err := json.Marshal(errorEvent{Error: errorBody{
		Message:      refusal.Detail,
		Type:         refusal.Kind.String(),
		Code:         refusal.Kind.String(),
		Ran:          refusal.Ran.String(),
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		Operation:    refusal.Operation,
	}})
	if err != nil {
		return dst, errors.Wrap(err, "encoder: marshal error event")
	}
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, data...)
	return append(dst, "\n\n"...), nil
}

// appendEventID appends the ID line of an event. The token that follows the event has
// the index next.
func (e *Encoder) appendEventID(dst []byte, next currantwood.TokenIndex) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, e.idPrefix...)
	dst = strconv.AppendUint(dst, uint64(next), 10)
	return append(dst, '\n')
}

func (e *Encoder) appendUsage(dst []byte, count currantwood.TokenIndex) []byte {
	dst = append(dst, `{"prompt_tokens":`...)
	dst = strconv.AppendInt(dst, int64(e.opts.PromptTokens), 10)
	dst = append(dst, `,"completion_tokens":`...)
	dst = strconv.AppendUint(dst, uint64(count), 10)
	dst = append(dst, `,"total_tokens":`...)
	dst = strconv.AppendUint(dst, uint64(e.opts.PromptTokens)+uint64(count), 10)
	return append(dst, '}')
}
