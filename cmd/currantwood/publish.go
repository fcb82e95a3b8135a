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
	// logCallTimeout bounds one call of the log service by a command.
	logCallTimeout = 5 * time.Second
	// inForceWithin is how long a command waits for a head to be in force.
	inForceWithin = 8 * time.Second
	// surveyInterval is the time between two looks at the processes.
	surveyInterval = 200 * time.Millisecond
)

// publishFlags are the flags of publish.
type publishFlags struct {
	log, list, by string
	first         bool
	wait          time.Duration
}

func publishCommand() *ffcli.Command {
	flags := flag.NewFlagSet("currantwood publish", flag.ContinueOnError)
	var f publishFlags
	flags.StringVar(&f.log, "log-service", "", "base `ADDRESS` of the log service; required")
	flags.StringVar(&f.list, "vm-list", "", "base `ADDRESS` of the VM list; required")
	flags.StringVar(&f.by, "by", os.Getenv("USER"), "`NAME` of the person who publishes")
	flags.BoolVar(&f.first, "first", false, "publish the first text of a new installation")
	flags.DurationVar(&f.wait, "wait", 30*time.Second, "how long to try before the outcome is called unknown")
	return &ffcli.Command{
		Name:       "publish",
		ShortUsage: "currantwood publish --log-service ADDRESS --vm-list ADDRESS [flags] FILE",
		ShortHelp:  "publish a rules file and say what became of it",
		LongHelp:   "Exit codes: 0 accepted or already in force, 1 refused or not published, 2 usage, 3 outcome unknown.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || f.log == "" || f.list == "" || f.by == "" {
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
	patient, cancel := context.WithTimeout(ctx, f.wait)
	defer cancel()
	result, err := newPublisher(f.log).Publish(patient, edit)
	if err != nil {
		return errors.Wrap(err, "not published, and nothing will come of it; publish again")
	}
	switch result.Outcome {
	case publisher.Conflict:
		return reportConflict(out, edit, result)
	case publisher.Unknown:
		return &exitError{exitUnknown, errors.Errorf("outcome unknown: publication %s may be accepted or may yet be; "+
			"publish the same file again to find out", result.Publication)}
	}
	if err := writeEdit(file, publisher.Base{Revision: result.Revision, Publication: result.Publication}, edit.Text); err != nil {
		return err
	}
	if result.Outcome == publisher.Same {
		_, err = fmt.Fprintf(out, "revision %d has exactly this text already\n", result.Revision)
		return err
	}
	_, _ = fmt.Fprintf(out, "accepted as revision %d, publication %s\n", result.Revision, result.Publication)
	return awaitInForce(ctx, f.list, result.Anchor, out)
}

func newPublisher(address string) *publisher.Publisher {
	return publisher.New(publisher.Options{
		Log:   logclient.New(logclient.Options{Address: address, Timeout: logCallTimeout}),
		NewID: func() currantwood.PublicationID { return currantwood.PublicationID(uuid.NewString()) },
	})
}

// readEdit reads a rules file and brings its text into the canonical form.
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
		return publisher.Edit{}, &exitError{exitUsage, errors.Wrapf(err, "publish: %s; get the head by "+
			"\"currantwood rules --get FILE\" and edit that, or use --first for a new installation", file)}
	}
	if err != nil {
		return publisher.Edit{}, errors.Wrapf(err, "publish: %s", file)
	}
	return publisher.Edit{Base: base, PublishedBy: f.by, Text: text}, nil
}

// formatFile brings a file's content into the canonical form and takes its
// stamp off. The parser sees the whole file, so that its lines are the file's.
// With ErrNoStamp the text is the whole content.
func formatFile(content string) (publisher.Base, string, error) {
	canonical, err := printer.Format(content)
	if err != nil {
		return publisher.Base{}, "", err
	}
	return stamper.Split(canonical)
}

// writeEdit makes a file the start of the next edit.
func writeEdit(file string, base publisher.Base, text string) error {
	return errors.Wrap(os.WriteFile(file, []byte(stamper.Stamp(base, text)), 0o644), "write rules file")
}

// reportConflict shows who came first and how the texts differ.
func reportConflict(out io.Writer, edit publisher.Edit, result publisher.Result) error {
	diff, err := comparer.Lines(result.Head.Text, edit.Text, fmt.Sprintf("head, revision %d", result.Head.Revision), "your text")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(out, diff)
	if result.First.Revision > 0 {
		return errors.Errorf("conflict, nothing changed: revision %d by %s (publication %s) came first",
			result.First.Revision, result.First.PublishedBy, result.First.Publication)
	}
	return errors.Errorf("conflict, nothing changed: the head is revision %d by %s, and your text was edited from revision %d",
		result.Head.Revision, result.HeadBy, edit.Base.Revision)
}

// awaitInForce hands the head to running processes and waits until all have it.
func awaitInForce(ctx context.Context, list string, anchor headkeeper.Anchor, out io.Writer) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, inForceWithin)
	defer cancel()
	vms, err := vmclient.New(vmclient.Options{Address: list, Timeout: logCallTimeout}).VMs(ctx)
	if err != nil {
		_, err = fmt.Fprintf(out, "where it is in force can't be seen: %s\n", err)
		return err
	}
	client := headclient.New(nil)
	client.Announce(ctx, vms, anchor)
	for {
		standings := client.Survey(ctx, vms)
		behind := behind(standings, anchor.Head.Revision)
		if len(behind) == 0 {
			_, err := fmt.Fprintf(out, "in force at all %d processes after %s\n", len(vms), time.Since(began).Round(time.Millisecond))
			return err
		}
		if ctx.Err() != nil || time.Since(began)+surveyInterval > inForceWithin {
			_, err := fmt.Fprintf(out, "accepted, but not seen in force at %d of %d processes:\n%s", len(behind), len(vms), standingLines(behind))
			return err
		}
		time.Sleep(surveyInterval)
	}
}

// behind picks the processes that don't show the revision or a higher one.
func behind(standings []headclient.Standing, revision currantwood.Revision) []headclient.Standing {
	var late []headclient.Standing
	for _, s := range standings {
		if s.Err != nil || s.Page.Revision < revision {
			late = append(late, s)
		}
	}
	return late
}

func standingLines(standings []headclient.Standing) string {
	var lines string
	for _, s := range standings {
		lines += standingLine(s) + "\n"
	}
	return lines
}

func standingLine(s headclient.Standing) string {
	state := fmt.Sprintf("revision %d", s.Page.Revision)
	switch {
	case s.Err != nil:
		state = s.Err.Error()
	case s.Page.Unreadable != "":
		state += ", a later one can't be read: " + s.Page.Unreadable
	}
	return fmt.Sprintf("  %-12s %-28s %-6s %s", s.VM.Region, s.VM.ID, s.VM.Role, state)
}
