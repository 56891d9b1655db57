// Package load is an open-loop load generator with Poisson arrivals: requests
// start at random times that do not depend on earlier requests. Each request
// gets its scheduled time, so that latencies measured from then on include the
// generator's own delay.
//
// # Usage
//
//	n := load.Run(ctx, load.Config{Rate: 30, Duration: time.Second, Random: r}, func(due time.Time) { ... })
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Config describes a load.
type Config struct {
	// Rate of arrivals per second.
	Rate     float64
	Duration time.Duration
	Random   *rand.Rand
}

// Run calls f in a new goroutine at each arrival, waits until all calls have
// returned, and returns the number of arrivals.
func Run(ctx context.Context, c Config, f func(due time.Time)) int {
	var wg sync.WaitGroup
	defer wg.Wait()
	n := 0
	due := time.Now()
	end := due.Add(c.Duration)
	for {
		due = due.Add(time.Duration(c.Random.ExpFloat64() / c.Rate * float64(time.Second)))
		if due.After(end) || !sleepUntil(ctx, due) {
			return n
		}
		n++
		at := due
		wg.Go(func() { f(at) })
	}
}

// sleepUntil waits until t. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
