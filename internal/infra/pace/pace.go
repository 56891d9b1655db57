// Package pace divides long computations into slices with pauses between them, so that
// requests get the processor meanwhile.
//
// A VM with a fifth of a core is stopped by the operating system for up to 80 ms once it has
// used up its share. Pauses keep a computation from using it up.
//
// # Usage
//
//	p := pace.New(pace.Config{Slice: time.Millisecond, PauseFactor: 10, MaxPause: time.Second})
//	for _, v := range many {
//		work(v)
//		p.Step()
//	}
package pace

import "time"

// maxSlices is the number of slices that count as work between two pauses.
const maxSlices = 2

// Config configures a Pacer.
type Config struct {
	// Slice is how long the computation runs between two pauses. It must be longer than the
	// time between two calls of Step.
	Slice time.Duration
	// PauseFactor is the length of a pause relative to the time of work before it.
	PauseFactor float64
	// MaxPause limits the sum of all pauses.
	MaxPause time.Duration
}

// Pacer pauses one computation. It is not safe for concurrent use.
type Pacer struct {
	c       Config
	resumed time.Time
	paused  time.Duration
}

// New returns a Pacer of a computation that begins now.
func New(c Config) *Pacer { return &Pacer{c: c, resumed: time.Now()} }

// Step pauses if a slice is over. It is called after each small part of the work.
func (p *Pacer) Step() {
	worked := time.Since(p.resumed)
	if worked < p.c.Slice || p.paused >= p.c.MaxPause {
		return
	}
	// Much more time than a slice means that the process was stopped meanwhile.
	worked = min(worked, maxSlices*p.c.Slice)
	pause := min(time.Duration(p.c.PauseFactor*float64(worked)), p.c.MaxPause-p.paused)
	p.paused += pause
	time.Sleep(pause)
	p.resumed = time.Now()
}
