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
	// bytesPerToken is the assumed mean size of a token, used to estimate the number
	// of a prompt's tokens.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed to the ID by
	// which cached prefixes are tracked. Sides report cached prefixes by this ID, so
	// all entries must use the same length.
	prefixBytes = 1024
)

// generationRequest holds the fields of a generation request that the entry uses.
// Engines receive the body unchanged.
type generationRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens in chat completions.
	MaxCompletionTokens int64         `json:"max_completion_tokens"`
	StreamOptions       streamOptions `json:"stream_options"`
	// Choices is the requested number of choices. More than one is rejected.
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

func parseGenerationRequest(path string, body []byte) (*generationRequest, error) {
	g := &generationRequest{chat: path == pathChat}
	if err := json.Unmarshal(body, g); err != nil {
		return nil, errors.Wrap(err, "body is not a JSON request")
	}
	if g.Model == "" {
		return nil, errors.New("model is missing")
	}
	if g.Choices > 1 {
		return nil, errors.New("n: only one choice is served")
	}
	if g.chat && len(g.Messages) == 0 {
		return nil, errors.New("messages are missing")
	}
	return g, nil
}

// rawPrompt returns the prompt as raw JSON, or the roles and raw contents of the
// messages in their order. It serves for estimates and hashes.
func (g *generationRequest) rawPrompt() string {
	if !g.chat {
		return string(g.Prompt)
	}
	var b strings.Builder
	for _, m := range g.Messages {
		b.WriteString(m.Role)
		b.Write(m.Content)
	}
	return b.String()
}

func (g *generationRequest) estimatedTokens() currantwood.TokenCount {
	return currantwood.TokenCount(len(g.rawPrompt())/bytesPerToken + 1)
}

func (g *generationRequest) prefixID() currantwood.PrefixID {
	prompt := g.rawPrompt()
	return currantwood.PrefixID(xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]))
}

func (g *generationRequest) maxTokens() currantwood.TokenCount {
	return currantwood.TokenCount(max(g.MaxTokens, g.MaxCompletionTokens))
}
