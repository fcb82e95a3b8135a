package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/comparer"
	"github.com/currantwood/currantwood/headclient"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/logclient"
	"github.com/currantwood/currantwood/printer"
	"github.com/currantwood/currantwood/publisher"
	"github.com/currantwood/currantwood/stamper"
	"github.com/currantwood/currantwood/vmclient"
)

const (
	// callTimeout bounds one call of the log service or the VM list.
	callTimeout = 5 * time.Second
	// inForceTimeout is how long publish waits for the head to be in force at all
	// processes.
	inForceTimeout = 8 * time.Second
	// queryInterval is the time between two queries of the processes.
	queryInterval = 200 * time.Millisecond
)

// publishFlags holds the flags of publish.
type publishFlags struct {
	logAddress, vmListAddress, publishedBy string
	first                                  bool
	wait                                   time.Duration
}

func publishCommand() *ffcli.Command {
	flags := flag.NewFlagSet("currantwood publish", flag.ContinueOnError)
	var f publishFlags
	flags.StringVar(&f.logAddress, "log-service", "", "base `ADDRESS` of the log service; required")
	flags.StringVar(&f.vmListAddress, "vm-list", "", "base `ADDRESS` of the VM list; required")
	flags.StringVar(&f.publishedBy, "by", os.Getenv("USER"), "`NAME` of the person who publishes")
	flags.BoolVar(&f.first, "first", false, "publish the first text of a new installation")
	flags.DurationVar(&f.wait, "wait", 30*time.Second, "how long to try before giving up")
	return &ffcli.Command{
		Name:       "publish",
		ShortUsage: "currantwood publish --log-service ADDRESS --vm-list ADDRESS [flags] FILE",
		ShortHelp:  "publish a rules file and print the outcome",
		LongHelp:   "Exit codes: 0 accepted, or this text is the published one already; 1 conflict, not published, or FILE not written; 2 usage; 3 outcome unknown.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || f.logAddress == "" || f.vmListAddress == "" || f.publishedBy == "" {
				return &exitError{exitUsage, errors.New("publish: expected --log-service, --vm-list, --by and one FILE")}
			}
			return publish(ctx, f, args[0], os.Stdout)
		},
	}
}

func publish(ctx context.Context, f publishFlags, file string, out io.Writer) error {
	edit, err := readEdit(file, f)
	if err != nil {
		return err
	}
	publishCtx, cancel := context.WithTimeout(ctx, f.wait)
	defer cancel()
	result, err := newPublisher(f.logAddress).Publish(publishCtx, edit)
	if err != nil {
		return errors.Wrap(err, "not published, and this attempt cannot take effect later, so that publishing again is safe")
	}
	switch result.Outcome {
	case publisher.Conflict:
		return reportConflict(out, edit, result)
	case publisher.Unknown:
		return &exitError{exitOutcomeUnknown, errors.Errorf("outcome unknown: publication %s may have been accepted or may be accepted later; "+
			"publish the same file again to find out", result.Publication)}
	}
	if err := writeRulesFile(file, publisher.Base{Revision: result.Revision, Publication: result.Publication}, edit.Text); err != nil {
		return err
	}
	if result.Outcome == publisher.Same {
		_, err = fmt.Fprintf(out, "revision %d has exactly this text already\n", result.Revision)
		return err
	}
	_, _ = fmt.Fprintf(out, "accepted as revision %d, publication %s\n", result.Revision, result.Publication)
	return awaitInForce(ctx, f.vmListAddress, result.Snapshot, out)
}

func newPublisher(address string) *publisher.Publisher {
	return publisher.New(publisher.Options{
		Log:   logclient.New(logclient.Options{Address: address, Timeout: callTimeout}),
		NewID: func() currantwood.PublicationID { return currantwood.PublicationID(uuid.NewString()) },
	})
}

// readEdit reads a rules file and formats its text canonically. Only with
// --first may the file lack a stamp, the line that names the head it was edited
// from.
func readEdit(file string, f publishFlags) (publisher.Edit, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return publisher.Edit{}, errors.Wrap(err, "publish")
	}
	base, text, err := formatFile(string(content))
	if errors.Is(err, stamper.ErrNoStamp) && f.first {
		err = nil
	}
	if errors.Is(err, stamper.ErrNoStamp) {
		return publisher.Edit{}, &exitError{exitUsage, errors.Wrapf(err, "publish: %s does not begin with the line that "+
			"\"currantwood rules --log-service ADDRESS --get FILE\" writes (use --first for a new installation)", file)}
	}
	if err != nil {
		return publisher.Edit{}, errors.Wrapf(err, "publish: %s", file)
	}
	return publisher.Edit{Base: base, PublishedBy: f.publishedBy, Text: text}, nil
}

// formatFile formats the content of a rules file canonically and splits off the
// stamp, the first line, which names the head that the text was edited from: the
// returned base. The stamp is parsed with the rest so that the line numbers in
// errors are those of the file. With stamper.ErrNoStamp, the returned text is the
// whole formatted content.
func formatFile(content string) (publisher.Base, string, error) {
	canonical, err := printer.Format(content)
	if err != nil {
		return publisher.Base{}, "", err
	}
	return stamper.Split(canonical)
}

// writeRulesFile writes a rules text after a stamp that names base, ready for the
// next edit.
func writeRulesFile(file string, base publisher.Base, text string) error {
	return errors.Wrap(os.WriteFile(file, []byte(stamper.Stamp(base, text)), 0o644), "write rules file")
}

// reportConflict prints how the edit differs from the head and returns an error
// that names the publication that was accepted before it, or the head if that is
// unknown.
func reportConflict(out io.Writer, edit publisher.Edit, result publisher.Result) error {
	diff, err := comparer.UnifiedDiff(result.Head.Text, edit.Text, fmt.Sprintf("head, revision %d", result.Head.Revision), "your text")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(out, diff)
	if result.AcceptedBefore.Revision > 0 {
		return errors.Errorf("conflict, nothing changed: revision %d by %s (publication %s) came first",
			result.AcceptedBefore.Revision, result.AcceptedBefore.PublishedBy, result.AcceptedBefore.Publication)
	}
	return errors.Errorf("conflict, nothing changed: the head is revision %d by %s, and your text was edited from revision %d",
		result.Head.Revision, result.HeadPublishedBy, edit.Base.Revision)
}

// awaitInForce sends the published head to a few entries of each region and waits
// until it is in force at all processes, or until inForceTimeout. It prints the
// result; a timeout is not an error.
func awaitInForce(ctx context.Context, vmListAddress string, published headkeeper.Snapshot, out io.Writer) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	vms, err := vmclient.New(vmclient.Options{BaseURL: vmListAddress, Timeout: callTimeout}).VMs(ctx)
	if err != nil {
		_, err = fmt.Fprintf(out, "where it is in force can't be seen: %s\n", err)
		return err
	}
	client := headclient.New(nil)
	client.Announce(ctx, vms, published)
	for {
		statuses := client.Reports(ctx, vms)
		behind := processesBehind(statuses, published.Head.Revision)
		if len(behind) == 0 {
			_, err := fmt.Fprintf(out, "in force at all %d processes after %s\n", len(vms), time.Since(start).Round(time.Millisecond))
			return err
		}
		if ctx.Err() != nil || time.Since(start)+queryInterval > inForceTimeout {
			_, err := fmt.Fprintf(out, "accepted, but not seen in force at %d of %d processes:\n%s", len(behind), len(vms), statusLines(behind))
			return err
		}
		time.Sleep(queryInterval)
	}
}

// processesBehind returns the processes that failed to respond or reported a
// lower revision.
func processesBehind(statuses []headclient.Result, revision currantwood.Revision) []headclient.Result {
	var behind []headclient.Result
	for _, s := range statuses {
		if s.Err != nil || s.Report.Revision < revision {
			behind = append(behind, s)
		}
	}
	return behind
}

func statusLines(statuses []headclient.Result) string {
	var lines string
	for _, s := range statuses {
		lines += statusLine(s) + "\n"
	}
	return lines
}

// statusLine returns the line that shows the revision in force at a process, or why
// it is unknown.
func statusLine(s headclient.Result) string {
	status := fmt.Sprintf("revision %d", s.Report.Revision)
	switch {
	case s.Err != nil:
		status = s.Err.Error()
	case s.Report.Unreadable != "":
		status += ", a later one can't be read: " + s.Report.Unreadable
	}
	return fmt.Sprintf("  %-12s %-28s %-6s %s", s.VM.Region, s.VM.ID, s.VM.Role, status)
}
