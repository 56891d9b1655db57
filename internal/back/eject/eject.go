// Package eject moves stragglers out of rotation, gradually.
//
// A searcher is a straggler when its usual service time is far above that of
// the other replicas of the same shards: what slows all replicas of a shard is
// no fault of one of them. Each step lowers the weight of a straggler and
// raises that of the others; a small weight always stays, so that real calls
// show when it has recovered. In no shard more than a set share of the
// replicas is moved out at a time, the slowest first.
//
// A searcher that is new or returns begins with a small weight too, which
// grows with time: its caches are cold.
//
// # Usage
//
//	s := eject.New(eject.Config{})
//	ws := s.Step(now, searchers, shards)
package eject

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// slowRatio is how many times the service time of the other replicas makes
	// a straggler; it stays one until it is below fineRatio.
	slowRatio = 2.0
	fineRatio = 1.5
	// leastExcess is the least difference in service time that matters.
	leastExcess = time.Millisecond / 2
	// leastSamples is how many answers a judgement needs.
	leastSamples = 30
	// down and up are the factors of a step on the weight.
	down = 0.6
	up   = 1.3
	// leastWeight is the weight that always stays.
	leastWeight = 0.02
	// mostShare is the share of a shard's replicas that may be moved out.
	mostShare = 0.5
	// coldWeight is the weight at the beginning of a slow start.
	coldWeight = 0.1
	// coldTime is how long a slow start lasts.
	coldTime = 5 * time.Second
)

// Searcher is what a step needs to know of one searcher.
type Searcher struct {
	ID string
	// Latency is its usual service time.
	Latency time.Duration
	// Samples is how many answers Latency rests on.
	Samples int
	// ActiveSince is when it was found or returned; zero for no slow start.
	ActiveSince time.Time
}

// Config describes a State.
type Config struct {
	// Disabled leaves every weight at 1; for measurements.
	Disabled bool
}

// Detector is the weights of all searchers.
type Detector struct {
	c       Config
	weights map[string]float64
	slow    map[string]bool
}

// New returns a state in which every weight is 1.
func New(c Config) *Detector {
	return &Detector{c: c, weights: map[string]float64{}, slow: map[string]bool{}}
}

// Update moves the weights on and returns them. shards lists, for each shard,
// the indexes of its replicas in ss.
func (s *Detector) Update(now time.Time, ss []Searcher, shards [][]int) map[string]float64 {
	if s.c.Disabled {
		return map[string]float64{}
	}
	s.forget(ss)
	ratios := ratios(ss, shards)
	for i, x := range ss {
		s.slow[x.ID] = s.straggles(x, ratios[i])
	}
	s.bound(ss, shards, ratios)
	out := make(map[string]float64, len(ss))
	for _, x := range ss {
		w := s.next(x.ID)
		s.weights[x.ID] = w
		out[x.ID] = min(w, warmth(now, x.ActiveSince))
	}
	return out
}

// Ejected returns the searchers that are moved out, in order.
func (s *Detector) Ejected() []string {
	var out []string
	for id, slow := range s.slow {
		if slow {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// straggles tells whether a searcher whose service time is ratio times that of
// its neighbors is a straggler.
func (s *Detector) straggles(x Searcher, ratio float64) bool {
	if ratio == 0 {
		return s.slow[x.ID]
	}
	if s.slow[x.ID] {
		return ratio > fineRatio
	}
	return ratio > slowRatio
}

// next returns the weight of a searcher after this step.
func (s *Detector) next(id string) float64 {
	w, ok := s.weights[id]
	if !ok {
		w = 1
	}
	if s.slow[id] {
		return max(w*down, leastWeight)
	}
	return min(w*up, 1)
}

// bound lets back the least slow stragglers of each shard that has too many.
func (s *Detector) bound(ss []Searcher, shards [][]int, ratios []float64) {
	for _, reps := range shards {
		var out []int
		for _, i := range reps {
			if s.slow[ss[i].ID] {
				out = append(out, i)
			}
		}
		most := int(float64(len(reps)) * mostShare)
		slices.SortFunc(out, func(a, b int) int { return cmp.Compare(ratios[b], ratios[a]) })
		for _, i := range out[min(most, len(out)):] {
			s.slow[ss[i].ID] = false
		}
	}
}

// forget drops the searchers that are gone.
func (s *Detector) forget(ss []Searcher) {
	known := make(map[string]bool, len(ss))
	for _, x := range ss {
		known[x.ID] = true
	}
	gone := func(id string, _ float64) bool { return !known[id] }
	maps.DeleteFunc(s.weights, gone)
	maps.DeleteFunc(s.slow, func(id string, _ bool) bool { return !known[id] })
}

// ratios returns, for each searcher, its service time as a multiple of the
// median of its neighbors'; 0 where too little is known.
func ratios(ss []Searcher, shards [][]int) []float64 {
	neighbors := make([]map[int]bool, len(ss))
	for _, reps := range shards {
		for _, i := range reps {
			for _, k := range reps {
				if k == i || ss[k].Samples < leastSamples {
					continue
				}
				if neighbors[i] == nil {
					neighbors[i] = map[int]bool{}
				}
				neighbors[i][k] = true
			}
		}
	}
	out := make([]float64, len(ss))
	for i, x := range ss {
		if x.Samples >= leastSamples && len(neighbors[i]) > 0 {
			out[i] = ratio(x.Latency, ss, neighbors[i])
		}
	}
	return out
}

// ratio compares one service time with the median of the neighbors'.
func ratio(d time.Duration, ss []Searcher, neighbors map[int]bool) float64 {
	ds := make([]time.Duration, 0, len(neighbors))
	for k := range neighbors {
		ds = append(ds, ss[k].Latency)
	}
	slices.Sort(ds)
	mid := ds[(len(ds)-1)/2]
	if mid <= 0 || d-mid < leastExcess {
		return 1
	}
	return float64(d) / float64(mid)
}

// warmth is the weight of a searcher in its slow start.
func warmth(now, since time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	part := float64(now.Sub(since)) / float64(coldTime)
	return min(max(part, coldWeight), 1)
}
