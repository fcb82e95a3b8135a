// Package boottimer reads the clock that counts the time in which the VM was
// suspended. Neither the time of day, which may jump, nor the monotonic clock,
// which stands still meanwhile, can tell how old a belief is.
package boottimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the clock.
type Clock struct{}

// Now returns the time since boot as a time. Only differences have a meaning.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic("boottimer: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
