// Package headcounter counts the bytes and the header fields of a request head as they
// arrive, before a parser keeps them. A parser bounds only bytes, but a header field of 4
// bytes takes some 150 bytes of memory once it is parsed.
package headcounter

import "bytes"

// Limits bounds a head.
type Limits struct {
	// Bytes includes the request line and the line ends, Fields all lines but the request
	// line.
	Bytes, Fields int
}

// Counter counts one head. The zero value is at its beginning. It is not safe for
// concurrent use.
type Counter struct {
	// bytes and lines count what has arrived. Empty lines before the head aren't lines.
	bytes, lines int
	// lineBegun is whether the current line has bytes other than carriage returns.
	lineBegun bool
	// ended is whether the empty line at the end has arrived.
	ended bool
}

// Count counts bytes that have arrived. What follows the end of the head isn't counted. An
// empty line ends a head only after another line: net/http skips empty lines after a POST, and
// may have read the beginning of a pipelined head before the Counter sees the rest of its line.
func (c *Counter) Count(p []byte) {
	for len(p) > 0 && !c.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			c.bytes += len(p)
			c.lineBegun = c.lineBegun || hasText(p)
			return
		}
		c.bytes += end + 1
		empty := !c.lineBegun && !hasText(p[:end])
		c.lineBegun = false
		switch {
		case !empty:
			c.lines++
		case c.lines > 0:
			c.lines++
			c.ended = true
		}
		p = p[end+1:]
	}
}

// hasText reports whether p has bytes other than carriage returns.
func hasText(p []byte) bool {
	for _, b := range p {
		if b != '\r' {
			return true
		}
	}
	return false
}

// Bytes returns the number of bytes that have arrived.
func (c *Counter) Bytes() int { return c.bytes }

// Fields returns the number of fields that have arrived whole.
func (c *Counter) Fields() int {
	fields := c.lines - 1
	if c.ended {
		fields--
	}
	return max(0, fields)
}

// Begun reports whether more than empty lines has arrived.
func (c *Counter) Begun() bool { return c.lines > 0 || c.lineBegun }

// Ended reports whether the head has arrived whole.
func (c *Counter) Ended() bool { return c.ended }

// Exceeds reports whether the head is above a limit.
func (c *Counter) Exceeds(l Limits) bool { return c.bytes > l.Bytes || c.Fields() > l.Fields }
