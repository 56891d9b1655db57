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

// next returns the service of the next request.
func (s *weightedSplit) next() string {
	best := 0
	for i, h := range s.shares {
		s.credit[i] += h.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.shares[best].Service
}
