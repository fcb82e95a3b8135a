package entryserver

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	// bytesPerToken estimates a prompt's length from its bytes.
	bytesPerToken = 4
	// prefixBytes is the part of a prompt by which a cached prefix is known.
	prefixBytes = 1024
)

// prompt is what currantwood reads of a generation request; engines get the
// body as it came.
type prompt struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens for chats.
	MaxCompletionTokens int64         `json:"max_completion_tokens"`
	StreamOptions       streamOptions `json:"stream_options"`
	// Choices is the number of answers wanted; only one is served.
	Choices int `json:"n"`

	chat bool
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func parsePrompt(path string, body []byte) (*prompt, error) {
	p := &prompt{chat: path == pathChat}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, errors.Wrap(err, "body is not a JSON request")
	}
	if p.Model == "" {
		return nil, errors.New("model is missing")
	}
	if p.Choices > 1 {
		return nil, errors.New("n: only one choice is served")
	}
	if p.chat && len(p.Messages) == 0 {
		return nil, errors.New("messages are missing")
	}
	return p, nil
}

// text is the prompt's text in the order in which an engine reads it.
func (p *prompt) text() string {
	if !p.chat {
		return string(p.Prompt)
	}
	var b strings.Builder
	for _, m := range p.Messages {
		b.WriteString(m.Role)
		b.Write(m.Content)
	}
	return b.String()
}

func (p *prompt) tokens() currantwood.TokenCount {
	return currantwood.TokenCount(len(p.text())/bytesPerToken + 1)
}

func (p *prompt) prefix() currantwood.PrefixID {
	text := p.text()
	return currantwood.PrefixID(xxhash.Sum64String(text[:min(len(text), prefixBytes)]))
}

func (p *prompt) maxTokens() currantwood.TokenCount {
	return currantwood.TokenCount(max(p.MaxTokens, p.MaxCompletionTokens))
}
