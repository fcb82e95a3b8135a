// Package headcounter counts the bytes and the header fields of a request head as they
// arrive, before a parser keeps them. A parser bounds only bytes, but a header field of 4
// bytes takes some 150 bytes of memory once it is parsed.
package headcounter

// Limits bounds a head.
type Limits struct {
	// Bytes includes the request line and the line ends, Fields all lines but the request
	// line.
	Bytes, Fields int
}

// Counter counts one head. The zero value is at its beginning. It is not safe for
// concurrent use.
type Counter struct {
	// bytes and lines count what has arrived.
	bytes, lines int
	// lineBytes counts the bytes of the current line but carriage returns.
	lineBytes int
	// ended is whether the empty line at the end has arrived.
	ended bool
}

// Count counts bytes that have arrived. What follows the end of the head isn't counted.
// It looks at each byte once, whatever the bytes are.
func (c *Counter) Count(p []byte) {
	for _, b := range p {
		if c.ended {
			return
		}
		c.bytes++
		switch b {
		case '\n':
			c.ended = c.lineBytes == 0
			c.lines++
			c.lineBytes = 0
		case '\r':
		default:
			c.lineBytes++
		}
	}
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

// Ended reports whether the head has arrived whole.
func (c *Counter) Ended() bool { return c.ended }

// Exceeds reports whether the head is above a limit.
func (c *Counter) Exceeds(l Limits) bool { return c.bytes > l.Bytes || c.Fields() > l.Fields }
