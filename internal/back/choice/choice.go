// Package choice selects the replica for a call by the power of two choices.
//
// Two usable replicas of the local failure domain are drawn at random by weight.
// The call goes to the one with fewer calls in flight from this node or, if
// equal, the lower reported load. Comparing only two keeps nodes with the same
// stale reports from all choosing the same replica. Searchers that are cold or
// ejected have a weight below 1, and those of weight 0 are a last resort.
// Replicas of other failure domains are used only if no local one is left.
//
// # Usage
//
//	cs := []choice.Candidate{{Local: true, Usable: true, LoadScore: choice.LoadScore(2, 0.5), Weight: 1}, ...}
//	i := choice.Pick(rand, cs, tried)
//	if i < 0 { /* no replica is left */ }
package choice

import "math/rand/v2"

// Candidate is this node's view of one replica.
type Candidate struct {
	// Local is true if the replica is in the failure domain of this node.
	Local bool
	// Usable is true if the replica may get new calls.
	Usable bool
	// LoadScore is the result of the function LoadScore. Lower is better.
	LoadScore float64
	// Weight is the fraction of its normal traffic that the replica should get.
	Weight float64
}

// LoadScore returns this node's calls in flight plus a fraction below 1 for the
// reported load, which lags and therefore only breaks ties.
func LoadScore(inFlight int, reported float64) float64 {
	return float64(inFlight) + reported/(1+reported)
}

// Tried is the set of candidates, by index, that already got a call. Indexes
// that are equal modulo 64 are not distinguished.
type Tried uint64

// Has returns true if i is in the set.
func (t Tried) Has(i int) bool { return t&(1<<uint(i%64)) != 0 }

// With returns the set with i added.
func (t Tried) With(i int) Tried { return t | 1<<uint(i%64) }

// Without returns the set without i.
func (t Tried) Without(i int) Tried { return t &^ (1 << uint(i%64)) }

// Policy returns the index of the selected candidate, or -1 if none is left.
type Policy func(r *rand.Rand, cs []Candidate, tried Tried) int

// Pick is the Policy that draws two candidates by weight and returns the one
// with the lower load score. It prefers local candidates.
func Pick(r *rand.Rand, cs []Candidate, tried Tried) int {
	if i := pickFrom(r, cs, tried, true); i >= 0 {
		return i
	}
	return pickFrom(r, cs, tried, false)
}

// PickUniform is the Policy that draws uniformly from all candidates that were
// not tried, including those that are not usable.
func PickUniform(r *rand.Rand, cs []Candidate, tried Tried) int {
	drawn, n := -1, 0
	for i := range cs {
		if tried.Has(i) {
			continue
		}
		n++
		if r.IntN(n) == 0 {
			drawn = i
		}
	}
	return drawn
}

// pickFrom is Pick among only the local or only the remote candidates.
func pickFrom(r *rand.Rand, cs []Candidate, tried Tried, local bool) int {
	a := draw(r, cs, tried, local, -1)
	if a < 0 {
		return -1
	}
	b := draw(r, cs, tried, local, a)
	if b >= 0 && cs[b].LoadScore < cs[a].LoadScore && (cs[b].Weight > 0 || cs[a].Weight <= 0) {
		return b
	}
	return a
}

// draw returns a random candidate by weight, or uniformly if all weights are 0,
// or -1 if none is left. It skips the index excluded.
func draw(r *rand.Rand, cs []Candidate, tried Tried, local bool, excluded int) int {
	drawn, sum, n := -1, 0.0, 0
	for i, c := range cs {
		if i == excluded || !c.Usable || c.Local != local || tried.Has(i) {
			continue
		}
		n++
		sum += c.Weight
		if sum == 0 && r.IntN(n) == 0 || sum > 0 && r.Float64()*sum < c.Weight {
			drawn = i
		}
	}
	return drawn
}
