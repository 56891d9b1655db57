// Package procpause tells since when this process has been running without a pause.
//
// A process that was stopped, or got no processor, finds its timeouts exceeded as soon as it
// continues, though the answers that it waits for have arrived and are only not read yet. Time
// before the end of a pause is therefore no evidence against another process.
//
// # Usage
//
//	d := procpause.New()
//	go d.Run(ctx)
//	silentSince = later(askedAt, d.RunningSince(now))
package procpause

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// interval is the time between two ticks of a process that runs.
	interval = 50 * time.Millisecond
	// maxGap is the time without a tick from which the process counts as paused. A VM with a
	// fifth of a core waits for up to 80 ms of each 100 ms.
	maxGap = 150 * time.Millisecond
)

// Detector detects pauses. It is safe for concurrent use.
type Detector struct {
	state atomic.Pointer[state]
}

// state is what the last tick has found.
type state struct{ tickedAt, runningSince time.Time }

// New returns a detector, which knows of no pause before Run.
func New() *Detector { return &Detector{} }

// Run detects pauses until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		d.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// tick records that the process runs.
func (d *Detector) tick(now time.Time) {
	d.state.Store(&state{tickedAt: now, runningSince: d.RunningSince(now)})
}

// RunningSince returns the end of the last pause before now, which is now itself if the process
// has just continued; zero if no pause is known.
func (d *Detector) RunningSince(now time.Time) time.Time {
	s := d.state.Load()
	switch {
	case s == nil:
		return time.Time{}
	case now.Sub(s.tickedAt) > maxGap:
		return now
	}
	return s.runningSince
}
