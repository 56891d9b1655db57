package forward

import (
	"math/rand/v2"

	"egrethaven/internal/state/routing"
)

// split deals requests to the services of a weighted split, so that each has
// its share after few requests already (smooth weighted round robin).
type split struct {
	version routing.Version
	shares  []routing.WeightedService
	credit  []float64
	total   float64
}

// newSplit begins at a random place, so that many VMs do not deal in step.
func newSplit(v routing.Version, shares []routing.WeightedService) *split {
	s := &split{version: v, shares: shares, credit: make([]float64, len(shares))}
	for i, h := range shares {
		s.total += h.Weight
		s.credit[i] = h.Weight * rand.Float64()
	}
	return s
}

// next returns the service of the next request.
func (s *split) next() string {
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
