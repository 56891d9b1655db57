package adaptivelimit

import "egrethaven/internal/state/search"

// minShare is the smallest fraction of the limit that any caller may use.
const minShare = 0.05

// shares holds the fraction of the limit that each caller may use.
type shares struct {
	named map[string]float64
	rest  float64
}

// newShares returns the shares of a search definition.
func newShares(ss []search.Share) shares {
	s := shares{named: make(map[string]float64, len(ss)), rest: 1}
	for _, v := range ss {
		s.named[v.Caller] = v.Fraction
		s.rest -= v.Fraction
	}
	s.rest = max(s.rest, minShare)
	return s
}

// of returns the fraction of the limit that a caller may use under contention.
func (s shares) of(caller string) float64 {
	if f, ok := s.named[caller]; ok {
		return max(f, minShare)
	}
	return s.rest
}
