package entryserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/forwarder"
	"github.com/currantwood/currantwood/refuser"
)

// answer writes one generation to its caller, streamed or whole.
type answer struct {
	w       http.ResponseWriter
	arrival arrival
	// started is true once the header was sent.
	started bool
	text    strings.Builder
}

func newAnswer(w http.ResponseWriter, a arrival) *answer {
	return &answer{w: w, arrival: a}
}

// choice is the one choice of an answer or chunk.
type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *part   `json:"delta,omitempty"`
	Message      *part   `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type part struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type body struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func (o *answer) deliver(first currantwood.TokenIndex, texts []string) error {
	if !o.arrival.prompt.Stream {
		for _, text := range texts {
			o.text.WriteString(text)
		}
		return nil
	}
	o.start()
	for i, text := range texts {
		next := uint64(first) + uint64(i) + 1
		if err := o.event(fmt.Sprintf("%s.%d", o.arrival.id, next), o.chunk(text, nil)); err != nil {
			return err
		}
	}
	return http.NewResponseController(o.w).Flush()
}

func (o *answer) end(completion forwarder.Completion, refusal *currantwood.Refusal, refuser *refuser.Refuser) {
	switch {
	case refusal != nil && !o.started:
		refuser.Write(o.w, refusal)
	case refusal != nil:
		_, _ = fmt.Fprintf(o.w, "event: error\ndata: %s\n\n", strings.TrimSpace(string(refuser.Body(refusal))))
	case o.arrival.prompt.Stream:
		o.start()
		_ = o.event(fmt.Sprintf("%s.%d", o.arrival.id, completion.Tokens), o.chunk("", &completion.FinishReason))
		_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
	default:
		o.w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(o.w).Encode(o.whole(completion))
	}
}

func (o *answer) start() {
	if o.started {
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
}

func (o *answer) event(id string, content body) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.w, "id: %s\ndata: %s\n\n", id, data)
	return err
}

func (o *answer) body(object string, c choice) body {
	return body{
		ID:      string(o.arrival.id),
		Object:  object,
		Created: o.arrival.at.Unix(),
		Model:   o.arrival.prompt.Model,
		Choices: []choice{c},
	}
}

func (o *answer) chunk(text string, finish *string) body {
	if o.arrival.prompt.chat {
		return o.body("chat.completion.chunk", choice{Delta: &part{Content: text}, FinishReason: finish})
	}
	return o.body("text_completion", choice{Text: &text, FinishReason: finish})
}

func (o *answer) whole(completion forwarder.Completion) body {
	text := o.text.String()
	if o.arrival.prompt.chat {
		return o.body("chat.completion", choice{Message: &part{Role: "assistant", Content: text}, FinishReason: &completion.FinishReason})
	}
	return o.body("text_completion", choice{Text: &text, FinishReason: &completion.FinishReason})
}
