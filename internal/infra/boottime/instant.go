// Package boottime measures durations that include the time for which the VM was
// suspended.
//
// The steady clock of time.Now stands still while a VM is suspended, so that a copy
// or a permission seems younger afterwards than it is. The kernel's CLOCK_BOOTTIME goes
// on; how far it is ahead of CLOCK_MONOTONIC is the time of all suspensions so far.
// Durations are those of time.Now, which may be a fake clock, and that time.
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

const (
	// minSuspension is the shortest suspension that counts. The two clocks are read one
	// after the other, so that a preempted thread sees a difference of some
	// milliseconds.
	minSuspension = 50 * time.Millisecond
	// maxReadTime is the time within which both clocks have to be read; otherwise they
	// are read again, maxReads times at most.
	maxReadTime = time.Millisecond
	maxReads    = 5
)

// Instant is a point in time. The zero Instant is older than any other.
type Instant struct {
	steady time.Time
	// suspended is the time for which the VM was suspended before.
	suspended time.Duration
}

// maxAge is the age of the zero Instant.
const maxAge = time.Duration(1<<63 - 1)

// Now returns the current time.
func Now() Instant { return Instant{steady: time.Now(), suspended: suspendedTime()} }

// suspendedTime returns how long the VM was suspended since its start; 0 on a kernel
// without CLOCK_BOOTTIME, where suspensions do not count.
func suspendedTime() time.Duration {
	best, bestTook := time.Duration(0), maxAge
	for range maxReads {
		before, boot, after := read(unix.CLOCK_MONOTONIC), read(unix.CLOCK_BOOTTIME), read(unix.CLOCK_MONOTONIC)
		if boot == 0 {
			return 0
		}
		if took := after - before; took < bestTook {
			best, bestTook = boot-before-took/2, took
		}
		if bestTook <= maxReadTime {
			break
		}
	}
	return best
}

// read returns the time of a clock; 0 if the kernel does not have it.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(clock, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// IsZero reports whether the Instant is unset.
func (i Instant) IsZero() bool { return i.steady.IsZero() }

// Add returns the Instant d later.
func (i Instant) Add(d time.Duration) Instant {
	if i.IsZero() {
		return i
	}
	return Instant{steady: i.steady.Add(d), suspended: i.suspended}
}

// Age returns the time since the Instant. It is negative for one in the future.
func (i Instant) Age() time.Duration { return Now().Sub(i) }

// Sub returns the duration from o to i, negative if o is later.
func (i Instant) Sub(o Instant) time.Duration {
	if o.IsZero() {
		return maxAge
	}
	if i.IsZero() {
		return -maxAge
	}
	d := i.steady.Sub(o.steady)
	if s := i.suspended - o.suspended; s.Abs() >= minSuspension {
		d += s
	}
	return d
}

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i.Sub(o) < 0 }

// Later returns the later one of two Instants.
func Later(a, b Instant) Instant {
	if a.Before(b) {
		return b
	}
	return a
}
