// Package load makes requests at random times that don't depend on how the
// earlier ones went: an open loop with Poisson arrivals. Each request gets the
// time at which it was due, so that a latency counted from there holds the
// time that the generator itself was late.
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
	// Rate of arrivals a second.
	Rate     float64
	Duration time.Duration
	Random   *rand.Rand
}

// Run calls f in a goroutine of its own at each arrival, and returns the
// number of arrivals once all have ended.
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

// sleepUntil waits for t; it is false when ctx ended first.
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
