package quarantine

import "time"

// expiringSet is a set whose members expire. It drops its old generation when
// the young one is full or has reached its TTL.
type expiringSet struct {
	maxYoung   int
	ttl        time.Duration
	young      map[uint64]struct{}
	old        map[uint64]struct{}
	youngSince time.Time
}

// newExpiringSet returns a set that keeps its members for ttl to 2*ttl, or less
// if more than maxYoung members are added in that time.
func newExpiringSet(maxYoung int, ttl time.Duration) expiringSet {
	return expiringSet{maxYoung: maxYoung, ttl: ttl, young: map[uint64]struct{}{}}
}

// add adds f to the young generation.
func (s *expiringSet) add(f uint64, now time.Time) {
	s.rotate(now)
	s.young[f] = struct{}{}
}

// has returns true if f is a member.
func (s *expiringSet) has(f uint64, now time.Time) bool {
	s.rotate(now)
	return s.contains(f, now)
}

// contains is like has, and leaves the rotation that may be due to a later call.
func (s *expiringSet) contains(f uint64, now time.Time) bool {
	young, old := s.generations(now)
	if _, ok := young[f]; ok {
		return true
	}
	_, ok := old[f]
	return ok
}

// remove removes f from both generations.
func (s *expiringSet) remove(f uint64) {
	delete(s.young, f)
	delete(s.old, f)
}

// rotate starts a new young generation if the current one is full or has reached
// its TTL.
func (s *expiringSet) rotate(now time.Time) {
	if !s.rotationDue(now) {
		return
	}
	_, s.old = s.generations(now)
	s.young, s.youngSince = map[uint64]struct{}{}, now
}

// rotationDue reports whether the young generation is full or has reached its TTL.
func (s *expiringSet) rotationDue(now time.Time) bool {
	return len(s.young) >= s.maxYoung || now.Sub(s.youngSince) >= s.ttl
}

// generations returns the generations after the rotation that may be due.
func (s *expiringSet) generations(now time.Time) (young, old map[uint64]struct{}) {
	switch {
	case !s.rotationDue(now):
		return s.young, s.old
	case now.Sub(s.youngSince) >= 2*s.ttl:
		return nil, nil
	}
	return nil, s.young
}
