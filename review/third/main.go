// Command third runs the scripted cases of the third review. Each case starts the gateways of a
// small deployment, stand-ins of its workers and of the platform's store, and clients, all on
// loopback addresses. It exits with 0 if the rule held, 1 if it was broken and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment) (broken bool, err error){
	"unsafe-resumable": unsafeResumable,
	"unframed-crash":   unframedCrash,
	"slow-reader-stop": slowReaderStop,
	"move-keeps":       moveKeeps,
	"stale-seeds":      staleSeeds,
	"half-close":       halfClose,
	"long-ids":         longIDs,
	"deadly-parts":     deadlyParts,
}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "worker:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE FOLDER | third worker FLAGS")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case, which writes its record into a folder, and returns the exit code.
func runCase(name, folder string) int {
	d, err := newDeployment(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "third:", err)
		return exitNotRun
	}
	defer d.close()
	broken, err := cases[name](d)
	switch {
	case err != nil:
		d.note("not run: %v", err)
		return exitNotRun
	case broken:
		d.note("the rule was broken")
		return exitBroken
	}
	d.note("the rule held")
	return exitHeld
}
