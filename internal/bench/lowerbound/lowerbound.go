// Package lowerbound computes a lower bound of the query latency of any policy.
// It simulates queries that call every replica of every shard at once, on
// searchers without queues.
//
// # Usage
//
//	ms := lowerbound.P99(lowerbound.Config{Shards: 140, Replicas: 2, ServiceTime: t, Seed: 1})
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
	ServiceTime searcher.ServiceTime
	// SlowIndexes are the slow searchers; replica k of shard s has the index
	// k*Shards + s.
	SlowIndexes []int
	SlowFactor  float64
	Seed        uint64
}

// simulations is the number of simulated queries.
const simulations = 20000

// P99 returns the 99th percentile of the latency, in milliseconds.
func P99(c Config) float64 {
	r := rand.New(rand.NewPCG(c.Seed, 2))
	slow := make([]bool, c.Shards*c.Replicas)
	for _, i := range c.SlowIndexes {
		slow[i] = true
	}
	latencies := make([]float64, simulations)
	for i := range latencies {
		latencies[i] = c.simulate(r, slow)
	}
	slices.Sort(latencies)
	return latencies[simulations*99/100] * float64(c.ServiceTime.Median.Microseconds()) / 1000
}

// simulate returns the latency of one simulated query, as a multiple of the
// median service time.
func (c Config) simulate(r *rand.Rand, slow []bool) float64 {
	slowest := 0.0
	for s := range c.Shards {
		fastest := math.Inf(1)
		for k := range c.Replicas {
			d := math.Exp(c.ServiceTime.Sigma * r.NormFloat64())
			if r.Float64() < c.ServiceTime.StragglerFraction {
				d *= c.ServiceTime.StragglerFactor
			}
			if slow[k*c.Shards+s] {
				d *= c.SlowFactor
			}
			fastest = min(fastest, d)
		}
		slowest = max(slowest, fastest)
	}
	return slowest
}
