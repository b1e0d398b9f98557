// Package clock reads a steady clock that goes on while the machine is suspended. The runtime's own
// (CLOCK_MONOTONIC) stands still then: a lease measured by it holds too long by all the time slept.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since it was made, suspension included.
type Clock struct {
	start  time.Time     // by the runtime's clock
	booted time.Duration // of the machine, then; 0: the machine does not tell
}

// New returns a clock that begins now.
func New() *Clock {
	booted, _ := sinceBoot()
	return &Clock{time.Now(), booted}
}

// Now returns the time since the clock was made. Where the system has no such clock it is the runtime's: then a
// suspended machine counts as one whose clock is wrong.
func (c *Clock) Now() time.Duration {
	if c.booted != 0 {
		if now, ok := sinceBoot(); ok {
			return now - c.booted
		}
	}
	return time.Since(c.start)
}

// sinceBoot reads CLOCK_BOOTTIME; a reading is a system call of 0.3 µs (BenchmarkNow).
func sinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
