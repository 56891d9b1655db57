package admit

import "egrethaven/internal/state/search"

// leastShare is the part of the limit that any caller may use.
const leastShare = 0.05

// shares gives each caller its part of the limit.
type shares struct {
	named map[string]float64
	rest  float64
}

// newShares reads the shares of a definition.
func newShares(ss []search.Share) shares {
	s := shares{named: make(map[string]float64, len(ss)), rest: 1}
	for _, v := range ss {
		s.named[v.Caller] = v.Fraction
		s.rest -= v.Fraction
	}
	s.rest = max(s.rest, leastShare)
	return s
}

// of returns the part of the limit that a caller may use under contention.
func (s shares) of(caller string) float64 {
	if f, ok := s.named[caller]; ok {
		return max(f, leastShare)
	}
	return s.rest
}
