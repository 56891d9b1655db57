// Package interleave loads the arms of an experiment alternately within one
// run, switching after each time slice or after each arrival.
//
// # Usage
//
//	interleave.BySlice(ctx, interleave.Config{Rate: 30, Duration: 5 * time.Second, Random: r}, arms)
package interleave

import (
	"context"
	"math/rand/v2"
	"time"

	"egrethaven/internal/bench/load"
)

// Arm is one variant under load.
type Arm struct {
	Name string
	// Do makes one request; due is its scheduled time of arrival.
	Do func(ctx context.Context, due time.Time)
	// Begin and End, unless nil, are called before and after each slice.
	Begin, End func()
}

// Config describes the load.
type Config struct {
	// Rate of arrivals per second for each arm.
	Rate float64
	// Duration of the load on each arm.
	Duration time.Duration
	// Slice is the length of one time slice; 0 means defaultSlice.
	Slice  time.Duration
	Random *rand.Rand
}

const defaultSlice = time.Second

// BySlice loads one arm at a time, in slices whose order rotates.
func BySlice(ctx context.Context, c Config, arms []Arm) {
	if c.Slice == 0 {
		c.Slice = defaultSlice
	}
	n := max(1, int(c.Duration/c.Slice))
	for i := range n {
		for j := range arms {
			a := arms[(i+j)%len(arms)]
			callIfSet(a.Begin)
			load.Run(ctx, load.Config{Rate: c.Rate, Duration: c.Duration / time.Duration(n), Random: c.Random}, func(due time.Time) {
				a.Do(ctx, due)
			})
			callIfSet(a.End)
		}
	}
}

// ByArrival assigns arrivals to the arms in turn, so that all arms are under
// load when a fault happens.
func ByArrival(ctx context.Context, c Config, arms []Arm) {
	next := make(chan int, 1)
	next <- 0
	load.Run(ctx, load.Config{Rate: c.Rate * float64(len(arms)), Duration: c.Duration, Random: c.Random}, func(due time.Time) {
		i := <-next
		next <- (i + 1) % len(arms)
		arms[i].Do(ctx, due)
	})
}

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}
