// Package eject implements outlier ejection: it gradually lowers the weight of
// slow searchers.
//
// A searcher is an outlier if its median service time is far above that of the
// other replicas of the same shards. A load that slows all replicas of a shard
// ejects none of them. Each update lowers the weights of outliers and raises the
// others. Outliers keep a small weight, so that real calls show when they have
// recovered. At most a fixed fraction of the replicas of a shard is ejected at a
// time, the slowest first.
//
// New and returning searchers also start with a small weight, which grows with
// time because their caches are cold (slow start).
//
// # Usage
//
//	d := eject.New(eject.Config{})
//	weights := d.Update(now, searchers, shards)
package eject

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// A searcher becomes an outlier above ejectRatio times the service time of
	// the other replicas. It returns at returnRatio or below.
	ejectRatio  = 2.0
	returnRatio = 1.5
	// minExcess is the minimum difference in service time of an outlier.
	minExcess = time.Millisecond / 2
	// minSamples is the minimum number of samples for a comparison.
	minSamples = 30
	// decreaseFactor and increaseFactor change the weight in one update.
	decreaseFactor = 0.6
	increaseFactor = 1.3
	// minWeight is the minimum weight of an outlier.
	minWeight = 0.02
	// maxEjectedFraction is the maximum fraction of a shard's replicas that is
	// ejected.
	maxEjectedFraction = 0.5
	// coldWeight is the weight at the beginning of a slow start.
	coldWeight = 0.1
	// slowStartDuration is how long a slow start lasts.
	slowStartDuration = 5 * time.Second
)

// Searcher is the input of an update for one searcher.
type Searcher struct {
	ID string
	// Latency is the median service time.
	Latency time.Duration
	// Samples is the number of samples in Latency.
	Samples int
	// ActiveSince is when the searcher was discovered or returned, or zero to
	// skip the slow start.
	ActiveSince time.Time
}

// Config configures a Detector.
type Config struct {
	// Disabled makes Update return no weights. For measurements.
	Disabled bool
}

// Detector detects outliers and holds the weights of all searchers.
type Detector struct {
	c       Config
	weights map[string]float64
	ejected map[string]bool
}

// New returns a Detector in which all weights are 1.
func New(c Config) *Detector {
	return &Detector{c: c, weights: map[string]float64{}, ejected: map[string]bool{}}
}

// Update updates the weights from the service times ss and returns them by
// searcher id. shards lists, for each shard, the indexes of its replicas in ss.
func (d *Detector) Update(now time.Time, ss []Searcher, shards [][]int) map[string]float64 {
	if d.c.Disabled {
		return map[string]float64{}
	}
	d.removeUnlisted(ss)
	ratios := latencyRatios(ss, shards)
	for i, s := range ss {
		d.ejected[s.ID] = d.isOutlier(s, ratios[i])
	}
	d.limitEjected(ss, shards, ratios)
	out := make(map[string]float64, len(ss))
	for _, s := range ss {
		w := d.nextWeight(s.ID)
		d.weights[s.ID] = w
		out[s.ID] = min(w, slowStartWeight(now, s.ActiveSince))
	}
	return out
}

// Ejected returns the ids of the ejected searchers, sorted.
func (d *Detector) Ejected() []string {
	var out []string
	for id, ejected := range d.ejected {
		if ejected {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// isOutlier returns true if a searcher is an outlier. ratio is its result from
// latencyRatios; if that is 0, the searcher keeps its state.
func (d *Detector) isOutlier(s Searcher, ratio float64) bool {
	if ratio == 0 {
		return d.ejected[s.ID]
	}
	if d.ejected[s.ID] {
		return ratio > returnRatio
	}
	return ratio > ejectRatio
}

// nextWeight returns the weight of a searcher after this update.
func (d *Detector) nextWeight(id string) float64 {
	w, ok := d.weights[id]
	if !ok {
		w = 1
	}
	if d.ejected[id] {
		return max(w*decreaseFactor, minWeight)
	}
	return min(w*increaseFactor, 1)
}

// limitEjected returns the fastest outliers of a shard to rotation if too many
// of its replicas are ejected.
func (d *Detector) limitEjected(ss []Searcher, shards [][]int, ratios []float64) {
	for _, replicas := range shards {
		var ejected []int
		for _, i := range replicas {
			if d.ejected[ss[i].ID] {
				ejected = append(ejected, i)
			}
		}
		limit := int(float64(len(replicas)) * maxEjectedFraction)
		slices.SortFunc(ejected, func(a, b int) int { return cmp.Compare(ratios[b], ratios[a]) })
		for _, i := range ejected[min(limit, len(ejected)):] {
			d.ejected[ss[i].ID] = false
		}
	}
}

// removeUnlisted removes the state of searchers that are not in ss.
func (d *Detector) removeUnlisted(ss []Searcher) {
	listed := make(map[string]bool, len(ss))
	for _, s := range ss {
		listed[s.ID] = true
	}
	unlisted := func(id string, _ float64) bool { return !listed[id] }
	maps.DeleteFunc(d.weights, unlisted)
	maps.DeleteFunc(d.ejected, func(id string, _ bool) bool { return !listed[id] })
}

// latencyRatios returns, for each searcher, its service time divided by the
// median of the other replicas of its shards, or 0 if there are too few samples.
func latencyRatios(ss []Searcher, shards [][]int) []float64 {
	peers := make([]map[int]bool, len(ss))
	for _, replicas := range shards {
		for _, i := range replicas {
			for _, k := range replicas {
				if k == i || ss[k].Samples < minSamples {
					continue
				}
				if peers[i] == nil {
					peers[i] = map[int]bool{}
				}
				peers[i][k] = true
			}
		}
	}
	out := make([]float64, len(ss))
	for i, s := range ss {
		if s.Samples >= minSamples && len(peers[i]) > 0 {
			out[i] = latencyRatio(s.Latency, ss, peers[i])
		}
	}
	return out
}

// latencyRatio returns latency divided by the median of the peers, or 1 if the
// difference is below minExcess.
func latencyRatio(latency time.Duration, ss []Searcher, peers map[int]bool) float64 {
	latencies := make([]time.Duration, 0, len(peers))
	for k := range peers {
		latencies = append(latencies, ss[k].Latency)
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	if median <= 0 || latency-median < minExcess {
		return 1
	}
	return float64(latency) / float64(median)
}

// slowStartWeight returns the maximum weight of a searcher that is active since
// the given time, or 1 if since is zero.
func slowStartWeight(now, since time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(since)) / float64(slowStartDuration)
	return min(max(fraction, coldWeight), 1)
}
