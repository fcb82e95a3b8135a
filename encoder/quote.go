package encoder

import "encoding/json"

// appendQuoted appends text as a JSON string. Most tokens need no escape, so the
// common case does not allocate.
func appendQuoted(dst []byte, text string) []byte {
	if !isPlain(text) {
		return append(dst, quote(text)...)
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// quote returns text as a JSON string. Marshaling a string cannot fail.
func quote(text string) []byte {
	data, _ := json.Marshal(text)
	return data
}

// isPlain reports whether text is printable ASCII without characters that must be
// escaped in JSON. It permits <, > and &, which quote escapes without need.
func isPlain(text string) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			return false
		}
	}
	return true
}
