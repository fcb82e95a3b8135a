package responsereader

import (
	"bytes"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// statusDigits is the length of a status code.
const statusDigits = 3

// checkStatusLine checks "HTTP/1.1 200 OK". The reason may be missing.
func checkStatusLine(line []byte) error {
	protocol, rest, _ := bytes.Cut(line, []byte(" "))
	if string(protocol) != "HTTP/1.1" && string(protocol) != "HTTP/1.0" {
		return errors.Wrap(ErrMalformed, "protocol")
	}
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(status) != statusDigits || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return errors.Wrapf(ErrMalformed, "status %.10q", status)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return errors.Wrap(ErrMalformed, "reason of the status")
	}
	return nil
}

// checkField checks a field, or the empty line after the last one.
func checkField(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Wrapf(ErrMalformed, "name of a field, %.40q", name)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return errors.Wrapf(ErrMalformed, "value of field %.40q", name)
	}
	return nil
}

// trimLineEnd returns a line without its end, LF or CRLF.
func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
