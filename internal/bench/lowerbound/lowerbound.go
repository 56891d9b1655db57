// Package lowerbound computes what no policy can beat: the latency of a query that
// asks every replica of every shard at once, on searchers without queues.
//
// # Usage
//
//	ms := monte.P99(lowerbound.Config{Shards: 140, Replicas: 2, Time: t, Seed: 1})
package lowerbound

import (
	"math"
	"math/rand/v2"
	"slices"

	"egrethaven/internal/standin/searcher"
)

// Config describes the searchers.
type Config struct {
	Shards      int
	Replicas    int
	ServiceTime searcher.Time
	// SlowIndexes are the indexes of slow searchers, row by row of replicas.
	SlowIndexes []int
	SlowFactor  float64
	Seed        uint64
}

// rounds is the number of simulated queries.
const rounds = 20000

// P99 returns the 99th percentile of the latency, in milliseconds.
func P99(c Config) float64 {
	r := rand.New(rand.NewPCG(c.Seed, 2))
	slow := make([]bool, c.Shards*c.Replicas)
	for _, i := range c.SlowIndexes {
		slow[i] = true
	}
	ls := make([]float64, rounds)
	for i := range ls {
		ls[i] = c.query(r, slow)
	}
	slices.Sort(ls)
	return ls[rounds*99/100] * float64(c.ServiceTime.Median.Microseconds()) / 1000
}

// query draws the latency of one query, in medians.
func (c Config) query(r *rand.Rand, slow []bool) float64 {
	most := 0.0
	for s := range c.Shards {
		best := math.Inf(1)
		for k := range c.Replicas {
			d := math.Exp(c.ServiceTime.Sigma * r.NormFloat64())
			if r.Float64() < c.ServiceTime.StraggleShare {
				d *= c.ServiceTime.StraggleFactor
			}
			if slow[k*c.Shards+s] {
				d *= c.SlowFactor
			}
			best = min(best, d)
		}
		most = max(most, best)
	}
	return most
}
