package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/comparer"
	"github.com/currantwood/currantwood/headclient"
	"github.com/currantwood/currantwood/parser"
	"github.com/currantwood/currantwood/publisher"
	"github.com/currantwood/currantwood/stamper"
	"github.com/currantwood/currantwood/vmclient"
)

// rulesFlags holds the flags of rules.
type rulesFlags struct {
	logAddress, vmListAddress, get string
	json                           bool
}

func rulesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("currantwood rules", flag.ContinueOnError)
	var f rulesFlags
	flags.StringVar(&f.logAddress, "log-service", "", "base `ADDRESS` of the log service; required")
	flags.StringVar(&f.vmListAddress, "vm-list", "", "base `ADDRESS` of the VM list")
	flags.StringVar(&f.get, "get", "", "write the published rules to `FILE`, to edit and publish them")
	flags.BoolVar(&f.json, "json", false, "print one line of JSON")
	return &ffcli.Command{
		Name:       "rules",
		ShortUsage: "currantwood rules --log-service ADDRESS [--vm-list ADDRESS] [--get FILE] [--json]",
		ShortHelp:  "show the revision of the published rules and where it is in force",
		LongHelp:   "Exit codes: 0 in force at all processes (without --vm-list, none is asked); 1 not in force at all of them, or not known; 2 usage.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 || f.logAddress == "" {
				return &exitError{exitUsage, errors.New("rules: expected --log-service and no argument")}
			}
			return showHead(ctx, f, os.Stdout)
		},
	}
}

// rulesReport is the JSON output of rules. It describes the head: the rules text
// that was published last, with its revision. Processes is the number of processes
// asked, and Behind the number of those at which the head isn't in force or that
// failed to respond.
type rulesReport struct {
	Revision    currantwood.Revision      `json:"revision"`
	Publication currantwood.PublicationID `json:"publication"`
	PublishedBy string                    `json:"published-by"`
	Processes   int                       `json:"processes"`
	Behind      int                       `json:"behind"`
}

// showHead prints the revision of the head and where it is in force, and writes its
// text to the file of --get. If a process reports a higher revision than the log
// service, or the log service fails, the revision shown is the highest that a
// process reported, or 0 if none did.
func showHead(ctx context.Context, f rulesFlags, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	published, logErr := newPublisher(f.logAddress).Head(ctx)
	if logErr == nil && f.get != "" {
		base := publisher.Base{Revision: published.Head.Revision, Publication: published.Head.Publication}
		if err := writeRulesFile(f.get, base, published.Head.Text); err != nil {
			return err
		}
	}
	report := rulesReport{Revision: published.Head.Revision, Publication: published.Head.Publication, PublishedBy: published.PublishedBy}
	var statuses []headclient.Result
	if f.vmListAddress != "" {
		vms, err := vmclient.New(vmclient.Options{BaseURL: f.vmListAddress, Timeout: callTimeout}).VMs(ctx)
		if err != nil {
			return err
		}
		statuses = headclient.New(nil).Reports(ctx, vms)
		for _, s := range statuses {
			if s.Report.Revision > report.Revision {
				report = rulesReport{Revision: s.Report.Revision, Publication: s.Report.Publication}
			}
		}
	}
	report.Processes, report.Behind = len(statuses), len(processesBehind(statuses, report.Revision))
	if err := printHead(out, f, report, statuses); err != nil {
		return err
	}
	if logErr != nil {
		return errors.Wrap(logErr, "the revision shown is the highest that a process reported, or 0 if none did, because the head cannot be read from the log service")
	}
	if report.Behind > 0 {
		return errors.Errorf("revision %d is not in force at %d of %d processes", report.Revision, report.Behind, report.Processes)
	}
	return nil
}

func printHead(out io.Writer, f rulesFlags, report rulesReport, statuses []headclient.Result) error {
	if f.json {
		return json.NewEncoder(out).Encode(report)
	}
	by := report.PublishedBy
	if by == "" {
		by = "unknown"
	}
	_, err := fmt.Fprintf(out, "head: revision %d, publication %s, published by %s\n%s",
		report.Revision, report.Publication, by, statusLines(statuses))
	return err
}

// checkFlags holds the flags of check.
type checkFlags struct {
	// logAddress and trace apply to a rules file.
	logAddress, trace string
	// The flags below apply to a configuration. against is the file and store the address
	// from which the configuration in force is read.
	settings, against, store string
	json                     bool
}

func checkCommand() *ffcli.Command {
	flags := flag.NewFlagSet("currantwood check", flag.ContinueOnError)
	var f checkFlags
	flags.StringVar(&f.logAddress, "log-service", "", "rules: base `ADDRESS` of the log service, to compare with the head")
	flags.StringVar(&f.trace, "trace", "", "rules: recorded requests in `FILE`, JSON Lines, to show which change rule")
	flags.StringVar(&f.settings, "settings", "", "configuration: settings `FILE` of a gateway's VM, to check the limits and regions against")
	flags.StringVar(&f.against, "against", "", "configuration: `FILE` with the configuration in force, to compare with")
	flags.StringVar(&f.store, "store", "", "configuration: `ADDRESS` of the store, host:port, to compare with the configuration in force")
	flags.BoolVar(&f.json, "json", false, "configuration: print JSON")
	return &ffcli.Command{
		Name: "check",
		ShortUsage: "currantwood check [--log-service ADDRESS [--trace FILE]] FILE\n" +
			"  currantwood check [--settings FILE] [--against FILE | --store ADDRESS] [--json] FILE",
		ShortHelp: "read a rules file or a gateway configuration and show its faults and what sending it would change",
		LongHelp: "A FILE that begins with a brace is a gateway configuration, any other a rules file.\n" +
			"Exit codes: 0 no fault (changes aren't faults); 1 faults; 2 usage, or a FILE or the store can't be read.",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || !f.areCompatible() {
				return &exitError{exitUsage, errors.New("check: expected one FILE, --log-service if --trace is given, one of --against and --store, " +
					"and no flags of rules together with those of configurations")}
			}
			return check(ctx, f, args[0], os.Stdout)
		},
	}
}

// areCompatible reports whether the flags may be given together.
func (f checkFlags) areCompatible() bool {
	traceWithoutHead := f.trace != "" && f.logAddress == ""
	twoInForce := f.against != "" && f.store != ""
	return !traceWithoutHead && !twoInForce && !(f.forRules() && f.forConfiguration())
}

func (f checkFlags) forRules() bool { return f.logAddress != "" }

func (f checkFlags) forConfiguration() bool {
	return f.settings != "" || f.against != "" || f.store != "" || f.json
}

// check reads a file and checks it as a configuration or as a rules text. No line of a rules
// text begins with a brace.
func check(ctx context.Context, f checkFlags, file string, out io.Writer) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return &exitError{exitUsage, errors.Wrap(err, "check")}
	}
	if f.forConfiguration() || !f.forRules() && bytes.HasPrefix(bytes.TrimSpace(content), []byte("{")) {
		return checkConfiguration(ctx, f, file, content, out)
	}
	return checkRules(ctx, f, file, string(content), out)
}

func checkRules(ctx context.Context, f checkFlags, file, content string, out io.Writer) error {
	_, text, err := formatFile(content)
	if err != nil && !errors.Is(err, stamper.ErrNoStamp) {
		return errors.Wrapf(err, "check: %s", file)
	}
	rules, err := parser.Parse(text)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s: %d customers, %d rules\n", file, len(rules.Customers), len(rules.Rules))
	if f.logAddress == "" {
		return nil
	}
	return compareWithHead(ctx, f.logAddress, f.trace, text, out)
}

// compareWithHead prints how text differs from the head and, if trace isn't empty,
// what publishing text would change for the requests recorded in that file.
func compareWithHead(ctx context.Context, logAddress, trace, text string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	published, err := newPublisher(logAddress).Head(ctx)
	if err != nil {
		return err
	}
	diff, err := comparer.UnifiedDiff(published.Head.Text, text, fmt.Sprintf("head, revision %d", published.Head.Revision), "your text")
	if err != nil {
		return err
	}
	if diff == "" {
		diff = "no change\n"
	}
	_, _ = fmt.Fprint(out, diff)
	if trace == "" {
		return nil
	}
	return printEffects(trace, published.Head.Text, text, out)
}

// printEffects prints, for each pair of different rules that recorded requests
// match before and after the change, how many requests and customers it affects,
// and then the number of requests and of pairs.
func printEffects(trace, before, after string, out io.Writer) error {
	rulesBefore, err := parser.Parse(before)
	if err != nil {
		return errors.Wrap(err, "parse head")
	}
	rulesAfter, err := parser.Parse(after)
	if err != nil {
		return err
	}
	file, err := os.Open(trace)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	defer func() { _ = file.Close() }()
	result, err := comparer.CompareTrace(file, rulesBefore, rulesAfter)
	if err != nil {
		return err
	}
	for _, effect := range result.Effects {
		_, _ = fmt.Fprintln(out, effect)
	}
	_, err = fmt.Fprintf(out, "%d recorded requests, %d changes of rule\n", result.Requests, len(result.Effects))
	return err
}
