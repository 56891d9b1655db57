// Package expiryset provides a set whose members expire.
//
// Expired members take memory until a later Add removes them. It does so once the set has twice
// as many members as the last removal left, so that the cost of each Add is constant on average.
//
// # Usage
//
//	var s expiryset.Set[string]
//	s.Add("a", now, now.Add(time.Second))
//	s.Has("a", now)
package expiryset

import "time"

// minSweep is the number of members below which expired ones are not removed.
const minSweep = 32

// Set is a set whose members expire. The zero value is an empty set. It must not be used
// concurrently.
type Set[K comparable] struct {
	until map[K]time.Time
	// sweepAt is the number of members at which expired ones are removed.
	sweepAt int
}

// Add adds a member until the given time, or prolongs its time.
func (s *Set[K]) Add(k K, now, until time.Time) {
	if s.until == nil {
		s.until, s.sweepAt = map[K]time.Time{}, minSweep
	}
	if len(s.until) >= s.sweepAt {
		s.sweep(now)
	}
	if until.After(s.until[k]) {
		s.until[k] = until
	}
}

// Has reports whether k is a member at a time.
func (s *Set[K]) Has(k K, now time.Time) bool {
	until, ok := s.until[k]
	return ok && now.Before(until)
}

// Len returns the number of members, of which some may have expired.
func (s *Set[K]) Len() int { return len(s.until) }

// sweep removes the members that have expired.
func (s *Set[K]) sweep(now time.Time) {
	for k, until := range s.until {
		if !now.Before(until) {
			delete(s.until, k)
		}
	}
	s.sweepAt = max(2*len(s.until), minSweep)
}
