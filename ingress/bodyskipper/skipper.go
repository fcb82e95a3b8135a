// Package bodyskipper finds what a client has sent after a request, as it arrives. A server
// reads ahead: it may hold the beginning of the next request, whose fields nobody has counted,
// while the connection seems idle.
package bodyskipper

import "bytes"

// maxHeld bounds what is held. net/http reads at most 4 KB ahead, and one byte while a handler
// runs.
const maxHeld = 4<<10 + 1

// Chunked is the length of a body that is sent in chunks.
const Chunked = -1

// Skipper skips the body of one request. The zero value is at the end of a request's head,
// whose framing isn't known yet. It is not safe for concurrent use.
type Skipper struct {
	// held is what hasn't been skipped.
	held  []byte
	begun bool
	// remaining is how much of the body, or of the present chunk and its line end, is missing.
	remaining int64
	chunks    chunkState
	// line is the length of a chunk as far as it has been read, in hexadecimal digits.
	line []byte
}

// chunkState says what follows in a body that is sent in chunks.
type chunkState uint8

const (
	noChunks chunkState = iota
	chunkLength
	chunkData
	trailer
)

// maxLine bounds the digits of a chunk's length; net/http accepts no longer ones.
const maxLine = 16

// Reset returns the Skipper to its zero value, apart from its memory.
func (s *Skipper) Reset() { *s = Skipper{held: s.held[:0], line: s.line[:0]} }

// Begin sets the length of the body, or Chunked.
func (s *Skipper) Begin(length int64) {
	s.begun = true
	if length == Chunked {
		s.chunks = chunkLength
	} else {
		s.remaining = length
	}
	s.held = s.held[:copy(s.held, s.skip(s.held))]
}

// Add adds bytes that have arrived after the head.
func (s *Skipper) Add(p []byte) {
	if s.begun {
		p = s.skip(p)
	}
	s.held = append(s.held, p[:min(len(p), maxHeld-len(s.held))]...)
}

// Rest returns what has arrived after the body. It is valid until the next call of another
// method.
func (s *Skipper) Rest() []byte { return s.held }

// skip returns what is left of p after the body.
func (s *Skipper) skip(p []byte) []byte {
	for len(p) > 0 {
		n := int(min(s.remaining, int64(len(p))))
		s.remaining -= int64(n)
		if p = p[n:]; s.remaining > 0 || len(p) == 0 || s.chunks == noChunks {
			return p
		}
		if s.chunks == chunkData {
			s.chunks = chunkLength
		}
		p = s.skipLine(p)
	}
	return p
}

// skipLine skips a line with the length of a chunk, or one of the trailer.
func (s *Skipper) skipLine(p []byte) []byte {
	text, rest, ended := bytes.Cut(p, []byte{'\n'})
	s.line = append(s.line, text[:min(len(text), maxLine+1-len(s.line))]...)
	if !ended {
		return nil
	}
	line := bytes.TrimRight(s.line, "\r")
	switch {
	case s.chunks == trailer && len(line) == 0:
		s.chunks = noChunks
	case s.chunks == chunkLength:
		if length := parseLength(line); length == 0 {
			s.chunks = trailer
		} else {
			s.chunks, s.remaining = chunkData, length+int64(len("\r\n"))
		}
	}
	s.line = s.line[:0]
	return rest
}

// parseLength returns the length of a chunk; extensions after the digits are ignored. net/http
// closes the connection if there are none or too many, so any value will do then.
func parseLength(line []byte) int64 {
	length := int64(0)
	for i, b := range line {
		digit := bytes.IndexByte([]byte("0123456789abcdef"), b|0x20)
		if '0' <= b && b <= '9' {
			digit = int(b - '0')
		}
		if digit < 0 || i == maxLine-1 {
			break
		}
		length = length<<4 | int64(digit)
	}
	return length
}
