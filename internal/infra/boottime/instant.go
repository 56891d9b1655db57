// Package boottime measures durations that include the time for which the VM was
// suspended.
//
// The steady clock of time.Now stands still while a VM is suspended, so that a copy
// or a permission seems younger afterwards than it is. CLOCK_BOOTTIME goes on, but is
// not known to fake clocks; an Instant holds both and counts the longer duration.
//
// # Usage
//
//	readAt := boottime.Now()
//	if readAt.Age() > maxAge { ... }
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time. The zero Instant is older than any other.
type Instant struct {
	steady time.Time
	// boot is the time since the VM was started; 0 if the clock is not available.
	boot time.Duration
}

// maxAge is the age of the zero Instant.
const maxAge = time.Duration(1<<63 - 1)

// Now returns the current time.
func Now() Instant {
	i := Instant{steady: time.Now()}
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil {
		i.boot = time.Duration(t.Nano())
	}
	return i
}

// IsZero reports whether the Instant is unset.
func (i Instant) IsZero() bool { return i.steady.IsZero() }

// Add returns the Instant d later.
func (i Instant) Add(d time.Duration) Instant {
	if i.IsZero() {
		return i
	}
	return Instant{steady: i.steady.Add(d), boot: i.boot + d}
}

// Age returns the time since the Instant. It is negative for one in the future.
func (i Instant) Age() time.Duration { return Now().Sub(i) }

// Sub returns the duration from o to i.
func (i Instant) Sub(o Instant) time.Duration {
	if o.IsZero() {
		return maxAge
	}
	return max(i.steady.Sub(o.steady), i.boot-o.boot)
}
