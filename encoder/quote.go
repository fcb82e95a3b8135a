package encoder

import "encoding/json"

// appendQuoted appends text as a JSON string. Tokens are short and mostly
// plain, so that the common case needs no allocation.
func appendQuoted(dst []byte, text string) []byte {
	if !plain(text) {
		return append(dst, quoted(text)...)
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// quoted is text as a JSON string. Marshalling a string cannot fail.
func quoted(text string) []byte {
	data, _ := json.Marshal(text)
	return data
}

// plain says that no byte of text needs an escape in JSON.
func plain(text string) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			return false
		}
	}
	return true
}
