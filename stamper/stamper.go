// Package stamper keeps, in the first line of an operator's file, the head that
// the text was edited from. The line is not part of the text that is published.
package stamper

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/publisher"
	"github.com/pkg/errors"
)

// prefix starts the stamp "# based-on REVISION PUBLICATION".
const prefix = "# based-on "

// ErrNoStamp says that a file does not begin with a stamp.
var ErrNoStamp = errors.New("the file's first line does not say which head it was edited from")

// Stamp puts the base before a text.
func Stamp(base publisher.Base, text string) string {
	return fmt.Sprintf("%s%d %s\n%s", prefix, base.Revision, base.Publication, text)
}

// Split takes the stamp off a file's content. Without a stamp the text is the
// whole content and the error is ErrNoStamp.
func Split(content string) (publisher.Base, string, error) {
	line, text, _ := strings.Cut(content, "\n")
	rest, ok := strings.CutPrefix(line, prefix)
	if !ok {
		return publisher.Base{}, content, errors.WithStack(ErrNoStamp)
	}
	fields := strings.Fields(rest)
	if len(fields) != 2 {
		return publisher.Base{}, "", errors.Errorf("line 1: expected %sREVISION PUBLICATION, found %q", prefix, line)
	}
	revision, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil || revision == 0 {
		return publisher.Base{}, "", errors.Errorf("line 1, column %d: expected a revision of 1 or more, found %q", len(prefix)+1, fields[0])
	}
	base := publisher.Base{Revision: currantwood.Revision(revision), Publication: currantwood.PublicationID(fields[1])}
	return base, text, nil
}
