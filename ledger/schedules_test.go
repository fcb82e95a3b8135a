package ledger

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// workers is the number of parallel subtests. Each runs rapid.checks schedules.
const workers = 8

// totals counts events over all schedules. The log shows with them whether the
// schedules reached every kind of result.
var totals struct{ schedules, runs, replays, conflicts, notRun, unknown atomic.Int64 }

// replaceDefault replaces the value of one of rapid's flags if it equals the flag's
// default, also where the command line gives that value. With the same flags every
// test run executes the same schedules.
func replaceDefault(t *testing.T, name, old, value string) {
	if set := flag.Lookup(name).Value; set.String() == old {
		if err := set.Set(value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSchedules checks in random schedules of several processes and two keys that
// no operation runs twice and that clients get correct results.
func TestSchedules(t *testing.T) {
	replaceDefault(t, "rapid.checks", "100", "12500")
	replaceDefault(t, "rapid.seed", "0", "20260302")
	t.Cleanup(func() {
		t.Logf("%d schedules: %d runs, %d replays, %d conflicts, %d not-run, %d unknown", totals.schedules.Load(),
			totals.runs.Load(), totals.replays.Load(), totals.conflicts.Load(), totals.notRun.Load(), totals.unknown.Load())
	})
	for worker := range workers {
		t.Run(fmt.Sprint(worker), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				totals.schedules.Add(1)
				s := newSchedule(t, uint64(worker))
				for range stepsPerSchedule {
					s.step()
				}
			})
		})
	}
}
