// Package healthscore computes health scores of searchers from the observations of
// many VMs.
//
// In a large tier each VM sends a searcher only one request every few seconds. A
// single VM can therefore not distinguish a slow searcher from a short pause, and
// finds a slow searcher only by sending it a request. All VMs of a failure domain
// together observe each searcher many times a second.
//
// # Usage
//
//	b := healthscore.New()
//	b.Add(now, healthscore.Observation{Searcher: p, Requests: 1, LatencyRatioSum: 7.5})
//	for _, s := range b.Scores(now) { ... }
package healthscore

import (
	"math"
	"sync"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of observations.
	// Searchers pause for 100 ms every 3 s; a slow phase lasts seconds.
	decayTime = 700 * time.Millisecond
	// priorRequests is the number of normal requests that is added to the
	// observations, so that few observations do not make a searcher an outlier.
	priorRequests = 1
	// Scores returns the searchers with at least one of minSlowdownFactor and
	// minFailureRate. A lower slowdown factor can result from pauses alone.
	minSlowdownFactor = 2.0
	minFailureRate    = 0.1
	// maxAge is the time since its last observation after which a searcher is
	// removed.
	maxAge = 15 * time.Second
)

// Process identifies one process of a searcher.
type Process struct {
	ID string
	// StartedMs is the start time of the process by its own wall clock, in Unix
	// milliseconds.
	StartedMs int64
}

// Observation sums up one VM's requests to a searcher over some time.
type Observation struct {
	Searcher Process
	// Requests is the number of requests that finished or are overdue.
	Requests int
	// LatencyRatioSum is the sum over these requests of the latency divided by the
	// usual service time.
	LatencyRatioSum float64
	// Failures is the number of failed requests.
	Failures int
}

// Score is the health of a searcher process.
type Score struct {
	Searcher Process
	// SlowdownFactor is the mean, over recent requests, of the latency divided by
	// the usual service time. With few requests it is closer to 1.
	SlowdownFactor float64
	// FailureRate is the fraction of requests that fail, 0 to 1.
	FailureRate float64
	// Age is the time since the last observation.
	Age time.Duration
}

// Aggregator aggregates observations. It is safe for concurrent use.
type Aggregator struct {
	mu   sync.Mutex
	sums map[Process]*decayedSums
}

// decayedSums holds exponentially decayed sums of observations.
type decayedSums struct {
	requests, latencyRatios, failures float64
	updated                           time.Time
}

// New returns an Aggregator without observations.
func New() *Aggregator { return &Aggregator{sums: map[Process]*decayedSums{}} }

// Add adds an observation made at time now.
func (b *Aggregator) Add(now time.Time, o Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sums[o.Searcher]
	if s == nil {
		s = &decayedSums{updated: now}
		b.sums[o.Searcher] = s
	}
	w := math.Exp(-float64(now.Sub(s.updated)) / float64(decayTime))
	s.requests = s.requests*w + float64(o.Requests)
	s.latencyRatios = s.latencyRatios*w + o.LatencyRatioSum
	s.failures = s.failures*w + float64(o.Failures)
	s.updated = now
}

// Scores returns the scores of the slow or failing searchers, in no particular
// order.
func (b *Aggregator) Scores(now time.Time) []Score {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Score
	for p, s := range b.sums {
		if now.Sub(s.updated) > maxAge {
			delete(b.sums, p)
			continue
		}
		c := Score{Searcher: p, Age: now.Sub(s.updated), SlowdownFactor: (s.latencyRatios + priorRequests) / (s.requests + priorRequests), FailureRate: s.failures / (s.requests + priorRequests)}
		if c.SlowdownFactor >= minSlowdownFactor || c.FailureRate >= minFailureRate {
			out = append(out, c)
		}
	}
	return out
}
