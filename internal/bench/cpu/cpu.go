// Package cpu measures the CPU time of this process.
//
// # Usage
//
//	m := cpu.Start()
//	cpuTime, wallTime := m.Stop()
package cpu

import (
	"syscall"
	"time"
)

// Meter is a measurement in progress.
type Meter struct {
	startedAt time.Time
	startCPU  time.Duration
}

// Start begins a measurement.
func Start() Meter {
	return Meter{startedAt: time.Now(), startCPU: processTime()}
}

// Stop returns the CPU time and the wall-clock time since Start.
func (m Meter) Stop() (cpuTime, wallTime time.Duration) {
	return processTime() - m.startCPU, time.Since(m.startedAt)
}

// processTime returns the user and system CPU time of the process so far.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
