package forward

import (
	"sync"
	"time"

	"egrethaven/internal/query/latency"
	"egrethaven/internal/state/routing"
)

const (
	// refresh is how long quantiles of the service time are used before they
	// are computed again.
	refresh = 250 * time.Millisecond
	// hedgeFanOut and hedgePlain are the quantiles of the service time after
	// which a send is hedged. A fan-out is as late as its last part, so its
	// parts are hedged sooner; what exceeds the budget is not sent.
	hedgeFanOut = 0.90
	hedgePlain  = 0.95
	// leastSeen is how many requests of a route have to be seen before its
	// service times are used; a route may have few on one VM.
	leastSeen = 40
	// usualShare and hedgeShare of the objective stand for the usual service
	// time and the hedge delay until enough requests were seen.
	usualShare = 8
	hedgeShare = 4
	// defaultObjective stands for the objective of a route without one.
	defaultObjective = time.Second
)

// kind is what is known of the requests of one route.
type kind struct {
	quantile  float64
	objective time.Duration
	times     *latency.Histogram

	mu       sync.Mutex
	computed time.Time
	usual    time.Duration
	hedge    time.Duration
}

// newKind returns a kind of which no request was seen.
func newKind(r *routing.Route) *kind {
	k := &kind{quantile: hedgePlain, objective: r.LatencyObjective, times: latency.New(latency.Config{MinWeight: leastSeen})}
	if k.objective <= 0 {
		k.objective = defaultObjective
	}
	if r.IsFanOut() {
		k.quantile = hedgeFanOut
	}
	k.usual, k.hedge = k.objective/usualShare, k.objective/hedgeShare
	return k
}

// expect returns the usual service time and the delay before a hedge.
func (k *kind) expect(now time.Time) (usual, hedge time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.computed) < refresh {
		return k.usual, k.hedge
	}
	k.computed = now
	if d, ok := k.times.Quantile(0.5); ok {
		k.usual = d
	}
	if d, ok := k.times.Quantile(k.quantile); ok {
		k.hedge = max(d, k.usual*3/2)
	}
	return k.usual, k.hedge
}
