package caller

import (
	"net/http"
	"strings"

	"github.com/currantwood/currantwood"
)

const (
	headerKey = "Idempotency-Key"
	// maxKeyBytes bounds a key.
	maxKeyBytes = 255
)

// readKey returns the request's key, empty when there is none. The draft on the
// Idempotency-Key header makes it a structured field string (RFC 8941), as in
// "8e03978e"; many callers send it without the quotes, which gives the same key.
func readKey(header http.Header) (currantwood.OperationKey, *currantwood.Refusal) {
	values := header.Values(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", badKey("there is more than one")
	}
	key := strings.TrimSpace(values[0])
	if strings.HasPrefix(key, `"`) {
		var whole bool
		if key, whole = unquote(key); !whole {
			return "", badKey("the quoted string is not well formed")
		}
	}
	if strings.IndexFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) >= 0 {
		return "", badKey("it holds other than printable ASCII")
	}
	if len(key) > maxKeyBytes {
		return "", badKey("it is longer than 255 bytes")
	}
	return currantwood.OperationKey(key), nil
}

// unquote decodes a structured field string. It reports false when the text is
// anything but one such string.
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

func badKey(why string) *currantwood.Refusal {
	return currantwood.NewRefusal(currantwood.KindBadRequest, step, headerKey+": "+why+".", 0)
}
