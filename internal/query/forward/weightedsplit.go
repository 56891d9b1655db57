package forward

import (
	"math/rand/v2"

	"egrethaven/internal/state/routing"
)

// weightedSplit divides requests among services by weight, with smooth weighted
// round robin, so that each service gets its share after few requests.
type weightedSplit struct {
	version routing.Version
	shares  []routing.WeightedService
	credit  []float64
	total   float64
}

// newWeightedSplit starts with random credits, so that VMs don't choose the same
// sequence of services.
func newWeightedSplit(v routing.Version, shares []routing.WeightedService) *weightedSplit {
	s := &weightedSplit{version: v, shares: shares, credit: make([]float64, len(shares))}
	for i, h := range shares {
		s.total += h.Weight
		s.credit[i] = h.Weight * rand.Float64()
	}
	return s
}

// best returns the index of the service of the next request.
func (s *weightedSplit) best() int {
	best := 0
	for i, h := range s.shares {
		if s.credit[i]+h.Weight > s.credit[best]+s.shares[best].Weight {
			best = i
		}
	}
	return best
}

// take records that the next request goes to the service with an index.
func (s *weightedSplit) take(n int) {
	for i, h := range s.shares {
		s.credit[i] += h.Weight
	}
	s.credit[n] -= s.total
}
