// Package boottimer reads the clock that also counts the time during which the
// VM was suspended. The age of information can be measured only by it: the wall
// clock may jump, and Go's monotonic clock stands still during suspension.
package boottimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads CLOCK_BOOTTIME.
type Clock struct{}

// Now returns the time since boot as a time.Time. Only differences between two
// such times are meaningful. It panics if the clock can't be read.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic("boottimer: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
