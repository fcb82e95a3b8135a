package caller

import (
	"net/http"
	"strings"

	"github.com/currantwood/currantwood"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 255
)

// readKey returns the request's key, or an empty key if there is none. The IETF
// draft of the Idempotency-Key header makes it a structured field string (RFC 8941),
// as in "8e03978e". Many clients send it without the quotes, which gives the same
// key.
func readKey(header http.Header) (currantwood.OperationKey, *currantwood.Refusal) {
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", refuseKey("there is more than one")
	}
	key := strings.TrimSpace(values[0])
	if strings.HasPrefix(key, `"`) {
		var ok bool
		if key, ok = unquote(key); !ok {
			return "", refuseKey("the quoted string is not well formed")
		}
	}
	if strings.IndexFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) >= 0 {
		return "", refuseKey("it holds other than printable ASCII")
	}
	if len(key) > maxKeyBytes {
		return "", refuseKey("it is longer than 255 bytes")
	}
	return currantwood.OperationKey(key), nil
}

// unquote decodes a structured field string, given with its quotes. It reports false
// if the text is not exactly one such string.
func unquote(text string) (string, bool) {
	var key strings.Builder
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			return key.String(), i == len(text)-1
		case '\\':
			i++
			if i == len(text) || (text[i] != '"' && text[i] != '\\') {
				return "", false
			}
		}
		key.WriteByte(text[i])
	}
	return "", false
}

func refuseKey(reason string) *currantwood.Refusal {
	return currantwood.NewRefusal(currantwood.KindBadRequest, step, headerIdempotencyKey+": "+reason+".", 0)
}
