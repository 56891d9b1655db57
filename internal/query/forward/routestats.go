package forward

import (
	"sync"
	"time"

	"egrethaven/internal/query/latency"
	"egrethaven/internal/state/routing"
)

const (
	// quantileInterval is the minimum time between two computations of the
	// latency quantiles.
	quantileInterval = 250 * time.Millisecond
	// fanOutHedgeQuantile and plainHedgeQuantile are the latency quantiles after
	// which a send is hedged. A fan-out is as slow as its slowest shard, so its
	// sends are hedged earlier. The retry budget still limits all hedges.
	fanOutHedgeQuantile = 0.90
	plainHedgeQuantile  = 0.95
	// minSamples is the number of requests of a route before its measured
	// latencies are used. It is low because a route may get few requests on one
	// VM.
	minSamples = 40
	// Until there are enough samples, the objective divided by
	// initialMedianDivisor is used as median latency, and divided by
	// initialHedgeDivisor as hedge delay.
	initialMedianDivisor = 8
	initialHedgeDivisor  = 4
	// defaultObjective is used for routes without an objective.
	defaultObjective = time.Second
)

// routeStats holds the latency statistics of one route.
type routeStats struct {
	hedgeQuantile float64
	objective     time.Duration
	histogram     *latency.Histogram

	mu            sync.Mutex
	computedAt    time.Time
	medianLatency time.Duration
	hedgeDelay    time.Duration
}

// newRouteStats returns statistics without samples.
func newRouteStats(r *routing.Route) *routeStats {
	k := &routeStats{hedgeQuantile: plainHedgeQuantile, objective: r.LatencyObjective, histogram: latency.New(latency.Config{MinWeight: minSamples})}
	if k.objective <= 0 {
		k.objective = defaultObjective
	}
	if r.IsFanOut() {
		k.hedgeQuantile = fanOutHedgeQuantile
	}
	k.medianLatency, k.hedgeDelay = k.objective/initialMedianDivisor, k.objective/initialHedgeDivisor
	return k
}

// latencies returns the median latency and the hedge delay.
func (k *routeStats) latencies(now time.Time) (median, hedgeDelay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.computedAt) >= quantileInterval {
		k.computedAt = now
		k.medianLatency, k.hedgeDelay = k.compute()
	}
	return k.medianLatency, k.hedgeDelay
}

// peek returns what latencies would, and leaves a new computation to the next request.
func (k *routeStats) peek(now time.Time) (median, hedgeDelay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.computedAt) >= quantileInterval {
		return k.compute()
	}
	return k.medianLatency, k.hedgeDelay
}

// compute returns the median latency and the hedge delay by the samples so far. The lock is held.
func (k *routeStats) compute() (median, hedgeDelay time.Duration) {
	median, hedgeDelay = k.medianLatency, k.hedgeDelay
	if d, ok := k.histogram.Quantile(0.5); ok {
		median = d
	}
	if d, ok := k.histogram.Quantile(k.hedgeQuantile); ok {
		hedgeDelay = max(d, median*3/2)
	}
	return median, hedgeDelay
}
