// Command stand runs one case of the review: it plays the clients, the workers and the
// platform's store on loopback addresses and starts the project's gateways as processes
// of their own, with the command of the deploy file.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if
// the case couldn't run. With TROUBLE=0 in the environment it leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	caseTimeout  = 110 * time.Second
	recordName   = "record.txt"
	troubleOff   = "0"
	troubleInEnv = "TROUBLE"
)

// cases are the cases by the name that run.sh gives.
var cases = map[string]func(w *world) verdict{
	"late-copy": lateCopy,
	"no-keys":   noKeys,
	"versions":  versions,
	"mute":      mute,
	"stop":      stop,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY FOLDER")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2], filepath.Join(os.Args[3], recordName))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(run(w, cases[os.Args[1]]))
}

// run plays a case and returns the exit code. It ends all processes that the case has
// started, also if it is interrupted or takes too long.
func run(w *world, play func(w *world) verdict) int {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan verdict, 1)
	go func() {
		defer func() {
			if failed := recover(); failed != nil {
				done <- verdict{failed: fmt.Sprint(failed)}
			}
		}()
		done <- play(w)
	}()
	var result verdict
	select {
	case result = <-done:
	case <-interrupted:
		result = verdict{failed: "interrupted"}
	case <-time.After(caseTimeout):
		result = verdict{failed: "took too long"}
	}
	w.close()
	return w.report(result)
}

// verdict is the result of a case.
type verdict struct {
	// failed says why the case couldn't run; empty if it ran.
	failed string
	// broken is whether the rule was broken, and seen what was seen.
	broken bool
	seen   string
}

func notRun(format string, args ...any) verdict {
	return verdict{failed: fmt.Sprintf(format, args...)}
}
