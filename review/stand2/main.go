// Command stand2 plays the cases of the second review that are scripts: it starts gateways as
// processes, with stand-ins of the store, of workers and of clients on loopback addresses.
//
// It ends with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by their name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) bool{
	"unsealed": playUnsealed,
	"unshared": playUnshared,
	"cut":      playCut,
	"inplace":  playInPlace,
	"rewound":  playRewound,
}

const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnable  = 2
	noTrouble   = "0"
	troubleName = "TROUBLE"
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitUnable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (code int) {
	w := newWorld(folder)
	defer w.close()
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Fprintln(os.Stderr, "the case couldn't run:", failure)
			code = exitUnable
		}
	}()
	if cases[name](w, os.Getenv(troubleName) != noTrouble) {
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}

// unable ends the case: it couldn't run.
func unable(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
