// Package stamper records the head that a rules text was edited from in the first
// line of an operator's file. That line is not part of the published text.
package stamper

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/publisher"
	"github.com/pkg/errors"
)

// stampPrefix begins the line "# based-on REVISION PUBLICATION".
const stampPrefix = "# based-on "

// ErrNoStamp reports that a file does not begin with a stamp.
var ErrNoStamp = errors.New("the file's first line does not say which head it was edited from")

// Stamp returns text preceded by a line that names its base.
func Stamp(base publisher.Base, text string) string {
	return fmt.Sprintf("%s%d %s\n%s", stampPrefix, base.Revision, base.Publication, text)
}

// Split separates a file's content into the base that its stamp names and the
// text after it. Without a stamp it returns the whole content and ErrNoStamp.
// A malformed stamp is another error.
func Split(content string) (publisher.Base, string, error) {
	line, text, _ := strings.Cut(content, "\n")
	rest, ok := strings.CutPrefix(line, stampPrefix)
	if !ok {
		return publisher.Base{}, content, errors.WithStack(ErrNoStamp)
	}
	fields := strings.Fields(rest)
	if len(fields) != 2 {
		return publisher.Base{}, "", errors.Errorf("line 1: expected %sREVISION PUBLICATION, found %q", stampPrefix, line)
	}
	revision, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil || revision == 0 {
		return publisher.Base{}, "", errors.Errorf("line 1, column %d: expected a revision of 1 or more, found %q", len(stampPrefix)+1, fields[0])
	}
	base := publisher.Base{Revision: currantwood.Revision(revision), Publication: currantwood.PublicationID(fields[1])}
	return base, text, nil
}
