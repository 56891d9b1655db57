// Package evacuation keeps the failure domains that operators have evacuated.
//
// A domain is evacuated while its key is in the platform's store. It is a state machine
// without I/O. An outage of the store changes nothing. A store that was restored from a
// backup may lack a key until the operators write it again, so that a domain stays evacuated
// for a while if only a restore has removed its key.
//
// # Usage
//
//	s := evacuation.New(evacuation.Config{Events: events})
//	s.Add("d1")                    // the key was written
//	s.Remove("d1")                 // it was deleted
//	s.MarkRestored(now)            // before a full read of a restored store
//	s.Replace(now, domains)        // a full read
//	next := s.Expire(now)          // when to call it again
//	if s.Has(searcher.Domain) { ... }
package evacuation

import (
	"slices"
	"time"

	"egrethaven/internal/observe/event"
)

// holdTime is how long after a restore of the store a domain stays evacuated without a key.
// Operators write again within seconds what a restore has lost.
const holdTime = 10 * time.Second

// Config configures a Set.
type Config struct {
	// Events receives the beginning and end of evacuations; nil discards them.
	Events event.Sink
}

// Set holds the evacuated domains. It is not safe for concurrent use.
type Set struct {
	c Config
	// domains holds when the evacuation of each domain ends; zero while its key is there.
	domains map[string]time.Time
	// holdUntil is until when keys that are missing in a full read may be written again.
	holdUntil time.Time
}

// New returns a Set without domains.
func New(c Config) *Set {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Set{c: c, domains: map[string]time.Time{}}
}

// Has reports whether a domain is evacuated.
func (s *Set) Has(domain string) bool {
	_, ok := s.domains[domain]
	return ok
}

// Len returns the number of evacuated domains.
func (s *Set) Len() int { return len(s.domains) }

// Add records that a domain's key was written.
func (s *Set) Add(domain string) {
	if !s.Has(domain) {
		s.c.Events.Emit(event.DomainEvacuated, domain, "")
	}
	s.domains[domain] = time.Time{}
}

// Remove records that a domain's key was deleted.
func (s *Set) Remove(domain string) {
	if s.Has(domain) {
		delete(s.domains, domain)
		s.c.Events.Emit(event.DomainReturned, domain, "")
	}
}

// MarkRestored records that the store was restored from a backup.
func (s *Set) MarkRestored(now time.Time) { s.holdUntil = now.Add(holdTime) }

// Replace applies a full read, which found the keys of the given domains.
func (s *Set) Replace(now time.Time, domains []string) {
	for _, d := range domains {
		s.Add(d)
	}
	for d, end := range s.domains {
		switch {
		case slices.Contains(domains, d) || !end.IsZero():
		case now.Before(s.holdUntil):
			s.domains[d] = s.holdUntil
		default:
			s.Remove(d)
		}
	}
}

// Expire ends the evacuations whose keys were not written again in time. It returns the next
// time at which it has to be called, or the zero time if there is none.
func (s *Set) Expire(now time.Time) (next time.Time) {
	for d, end := range s.domains {
		switch {
		case end.IsZero():
		case !now.Before(end):
			s.Remove(d)
		case next.IsZero() || end.Before(next):
			next = end
		}
	}
	return next
}
