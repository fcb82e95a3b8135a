package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/reporter"
	"github.com/currantwood/currantwood/vmclient"
)

// queryTimeout bounds all calls of a command that changes nothing: report, rules
// or check.
const queryTimeout = 30 * time.Second

func reportCommand() *ffcli.Command {
	flags := flag.NewFlagSet("currantwood report", flag.ContinueOnError)
	vmListAddress := flags.String("vm-list", "", "base `ADDRESS` of the VM list; required")
	asJSON := flags.Bool("json", false, "print one line of JSON")
	page := flags.String("html", "", "write one self-contained page to `FILE`")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "currantwood report --vm-list ADDRESS [--json] [--html FILE]",
		ShortHelp:  "show the burn rates of the error budgets",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *vmListAddress == "" {
				return &exitError{exitUsage, errors.New("report: --vm-list ADDRESS is required")}
			}
			report, err := gatherReport(ctx, *vmListAddress)
			if err != nil {
				return err
			}
			if *page != "" {
				return writeFile(*page, report.WriteHTML)
			}
			if *asJSON {
				return report.WriteJSON(os.Stdout)
			}
			return report.WriteTable(os.Stdout)
		},
	}
}

func gatherReport(ctx context.Context, vmListAddress string) (reporter.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r := reporter.New(reporter.Options{
		VMs:  vmclient.New(vmclient.Options{BaseURL: vmListAddress}),
		HTTP: &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()},
	})
	return r.Report(ctx, time.Now())
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write file")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write file")
}
