// Package interleave runs the arms of an experiment against each other in one run:
// in short slices that take turns, or arrival by arrival.
//
// # Usage
//
//	duel.Slices(ctx, interleave.Config{Rate: 30, Duration: 5 * time.Second, Random: r}, arms)
package interleave

import (
	"context"
	"math/rand/v2"
	"time"

	"egrethaven/internal/bench/load"
)

// Arm is one side of an experiment.
type Arm struct {
	Name string
	// Do makes one request that was due at a time.
	Do func(ctx context.Context, due time.Time)
	// Begin and End are called around each slice; nil is nothing.
	Begin, End func()
}

// Config describes the load.
type Config struct {
	// Rate of arrivals a second, for each arm.
	Rate float64
	// Duration of the load on each arm.
	Duration time.Duration
	// Slice is the length of one arm's turn; 0 is defaultSlice.
	Slice  time.Duration
	Random *rand.Rand
}

// defaultSlice is the length of one arm's turn.
const defaultSlice = time.Second

// BySlice loads the arms in turns, in an order that rotates.
func BySlice(ctx context.Context, c Config, arms []Arm) {
	if c.Slice == 0 {
		c.Slice = defaultSlice
	}
	n := max(1, int(c.Duration/c.Slice))
	for i := range n {
		for j := range arms {
			a := arms[(i+j)%len(arms)]
			call(a.Begin)
			load.Run(ctx, load.Config{Rate: c.Rate, Duration: c.Duration / time.Duration(n), Random: c.Random}, func(due time.Time) {
				a.Do(ctx, due)
			})
			call(a.End)
		}
	}
}

// ByArrival loads all arms at the same time, each with its own arrivals, so
// that a fault meets all of them.
func ByArrival(ctx context.Context, c Config, arms []Arm) {
	turn := make(chan int, 1)
	turn <- 0
	load.Run(ctx, load.Config{Rate: c.Rate * float64(len(arms)), Duration: c.Duration, Random: c.Random}, func(due time.Time) {
		i := <-turn
		turn <- (i + 1) % len(arms)
		arms[i].Do(ctx, due)
	})
}

func call(f func()) {
	if f != nil {
		f()
	}
}
