// Package healthscore works out how searchers do from what many VMs saw of them.
//
// It answers the load of a large tier: each VM sends a searcher one request in
// some seconds, so that a VM by itself can neither tell a searcher that is slow
// from one that paused for a moment, nor know of a slow one before it has met
// it. All VMs of a failure domain together see each searcher many times a
// second.
//
// # Usage
//
//	b := healthscore.New()
//	b.Add(now, healthscore.Observation{Searcher: s, Answers: 1, Ratios: 7.5})
//	for _, s := range b.Scores(now) { ... }
package healthscore

import (
	"math"
	"sync"
	"time"
)

const (
	// memory is the time after which an observation counts for a third. A
	// pause of a searcher is a tenth of a second in three, a slow one lasts
	// seconds.
	memory = 700 * time.Millisecond
	// prior is how many observations of a searcher as usual are assumed.
	prior = 1
	// leastFactor and leastFailures are what a searcher has to differ by to be
	// told of: pauses alone make up the factor of one that is as usual.
	leastFactor   = 2.0
	leastFailures = 0.1
	// forgetAfter is how long nothing has to be seen of a searcher for it to be
	// forgotten.
	forgetAfter = 15 * time.Second
)

// Process names one process of a searcher.
type Process struct {
	ID string
	// StartedMs is when the process started, in milliseconds of its own wall clock.
	StartedMs int64
}

// Observation is what a VM saw of a searcher in some time.
type Observation struct {
	Searcher Process
	// Requests is how many requests ended, or are overdue.
	Requests int
	// LatencyRatioSum is the sum of what each took over what it usually takes.
	LatencyRatioSum float64
	// Failures is how many of them failed.
	Failures int
}

// Score is how a searcher does.
type Score struct {
	Searcher Process
	// SlowdownFactor is how many times as long as usual it takes.
	SlowdownFactor float64
	// FailureRate is the share of requests that fail, 0 to 1.
	FailureRate float64
	// Age is the time since the last observation.
	Age time.Duration
}

// Aggregator holds what was seen. It is safe for concurrent use.
type Aggregator struct {
	mu   sync.Mutex
	seen map[Process]*sums
}

// sums are observations that fade.
type sums struct {
	answers, ratios, failures float64
	at                        time.Time
}

// New returns a board without observations.
func New() *Aggregator { return &Aggregator{seen: map[Process]*sums{}} }

// Add takes an observation.
func (b *Aggregator) Add(now time.Time, o Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seen[o.Searcher]
	if s == nil {
		s = &sums{at: now}
		b.seen[o.Searcher] = s
	}
	w := math.Exp(-float64(now.Sub(s.at)) / float64(memory))
	s.answers = s.answers*w + float64(o.Requests)
	s.ratios = s.ratios*w + o.LatencyRatioSum
	s.failures = s.failures*w + float64(o.Failures)
	s.at = now
}

// Scores returns the searchers that do not do as usual.
func (b *Aggregator) Scores(now time.Time) []Score {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Score
	for name, s := range b.seen {
		if now.Sub(s.at) > forgetAfter {
			delete(b.seen, name)
			continue
		}
		c := Score{Searcher: name, Age: now.Sub(s.at), SlowdownFactor: (s.ratios + prior) / (s.answers + prior), FailureRate: s.failures / (s.answers + prior)}
		if c.SlowdownFactor >= leastFactor || c.FailureRate >= leastFailures {
			out = append(out, c)
		}
	}
	return out
}
