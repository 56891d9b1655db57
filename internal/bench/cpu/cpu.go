// Package cpu measures the processor time of this process.
//
// # Usage
//
//	m := cpu.Start()
//	spent, wall := m.Stop()
package cpu

import (
	"syscall"
	"time"
)

// Meter is a measurement in progress.
type Meter struct {
	began time.Time
	cpu   time.Duration
}

// Start begins a measurement.
func Start() Meter {
	return Meter{began: time.Now(), cpu: used()}
}

// Stop returns the processor time and the time on the clock since Start.
func (m Meter) Stop() (spent, wall time.Duration) {
	return used() - m.cpu, time.Since(m.began)
}

// used returns the processor time of the process so far.
func used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
