// Command currantwood contains every process of the system and the operators'
// commands in a single binary.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit codes other than 0. Only publish uses exitOutcomeUnknown.
const (
	exitFailed         = 1
	exitUsage          = 2
	exitOutcomeUnknown = 3
)

// exitError makes the process exit with code. If err is nil, the message has
// already been printed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run parses and executes a command line and returns the exit code.
func run(ctx context.Context, args []string) int {
	root := rootCommand()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "currantwood:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	if err == nil {
		return 0
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	code := exitFailed
	var exit *exitError
	if errors.As(err, &exit) {
		code = exit.code
	}
	if message := err.Error(); message != "" {
		fmt.Fprintln(os.Stderr, "currantwood:", message)
	}
	return code
}

func rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "currantwood",
		ShortUsage: "currantwood <command> [flags]",
		LongHelp:   "Exit codes: 0 done, 1 failed, 2 usage, 3 outcome unknown.",
		Subcommands: []*ffcli.Command{
			gatewayCommand(),
			entryCommand(),
			sideCommand(),
			standinCommand(),
			demoCommand(),
			loadCommand(),
			checkCommand(),
			publishCommand(),
			rulesCommand(),
			reportCommand(),
			replayCommand(),
			versionCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
