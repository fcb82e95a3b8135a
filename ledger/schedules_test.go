package ledger

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// workers times the checks of each make the schedules of one test run.
const workers = 8

// seen counts over all schedules what they reached, so that a run can be judged.
var seen struct{ schedules, runs, replays, conflicts, notRun, unknown atomic.Int64 }

// setDefault gives one of rapid's flags another default, so that each run takes
// the same schedules.
func setDefault(t *testing.T, name, old, value string) {
	if set := flag.Lookup(name).Value; set.String() == old {
		if err := set.Set(value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSchedules runs random schedules of several processes that use two keys.
func TestSchedules(t *testing.T) {
	setDefault(t, "rapid.checks", "100", "12500")
	setDefault(t, "rapid.seed", "0", "20260302")
	t.Cleanup(func() {
		t.Logf("%d schedules: %d runs, %d replays, %d conflicts, %d not-run, %d unknown", seen.schedules.Load(),
			seen.runs.Load(), seen.replays.Load(), seen.conflicts.Load(), seen.notRun.Load(), seen.unknown.Load())
	})
	for worker := range workers {
		t.Run(fmt.Sprint(worker), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				seen.schedules.Add(1)
				s := newSchedule(t, uint64(worker))
				for range stepsASchedule {
					s.step()
				}
			})
		})
	}
}
