// Package registry keeps the searchers that are registered in the platform's store.
//
// It is a state machine without I/O. During an outage of the store the registry
// keeps the last known searchers. Entries that are missing after the outage are
// kept for a grace period, in which searchers can register again.
//
// # Usage
//
//	r := registry.New(registry.Config{Grace: 2 * time.Second})
//	r.Replace(now, entries)           // a full read
//	r.Put(searcher)                   // one change
//	next := r.Expire(now)             // when to call it again
//	for _, s := range r.Searchers() { ... }
package registry

import (
	"cmp"
	"slices"
	"time"
)

// State is the state that a searcher registers.
type State int

// The states.
const (
	// Draining searchers finish their requests and accept no new ones.
	Draining State = iota
	// Ready searchers accept requests.
	Ready
)

// Searcher is one registered searcher.
type Searcher struct {
	ID      string
	Service string
	// Addr is the searcher's address, as IP:port.
	Addr string
	// Domain is the searcher's failure domain.
	Domain string
	// Slots is the number of requests that the searcher runs concurrently.
	Slots int
	State State
	// ColdUntil is when the searcher's caches will be warm; zero if they are.
	ColdUntil time.Time
	// StartedMs is the start time of the process by its own wall clock, in Unix
	// milliseconds; 0 if unknown. It distinguishes processes with the same ID.
	StartedMs int64
}

// Config configures a Registry.
type Config struct {
	// Grace is how long entries that are missing after an outage are kept.
	Grace time.Duration
}

// entry is a searcher and its expiry time.
type entry struct {
	Searcher
	// expiresAt is zero while the entry is present in the store.
	expiresAt time.Time
}

// Registry holds the known searchers. It is not safe for concurrent use.
type Registry struct {
	c       Config
	entries map[string]entry
	// graceEnd is when the grace period after the last outage ends.
	graceEnd time.Time
}

// New returns an empty registry.
func New(c Config) *Registry {
	return &Registry{c: c, entries: map[string]entry{}}
}

// SetGrace sets the grace period for later outages.
func (r *Registry) SetGrace(d time.Duration) { r.c.Grace = d }

// MarkOutage records that the store is unreachable at time now, and restarts the
// grace period.
func (r *Registry) MarkOutage(now time.Time) {
	r.graceEnd = now.Add(r.c.Grace)
	for id, e := range r.entries {
		if !e.expiresAt.IsZero() {
			e.expiresAt = r.graceEnd
			r.entries[id] = e
		}
	}
}

// Replace applies a complete listing of the store.
func (r *Registry) Replace(now time.Time, all []Searcher) {
	present := make(map[string]bool, len(all))
	for _, s := range all {
		present[s.ID] = true
		r.Put(s)
	}
	for id := range r.entries {
		if !present[id] {
			r.Remove(now, id)
		}
	}
}

// Put adds or updates one entry. It ignores an entry of an older process with the
// same ID.
func (r *Registry) Put(s Searcher) {
	old, ok := r.entries[s.ID]
	if ok && s.StartedMs < old.StartedMs {
		return
	}
	r.entries[s.ID] = entry{Searcher: s}
}

// Remove removes one entry. During a grace period, the entry is kept until the
// period ends unless it is draining.
func (r *Registry) Remove(now time.Time, id string) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if !now.Before(r.graceEnd) || e.State == Draining {
		delete(r.entries, id)
		return
	}
	if e.expiresAt.IsZero() {
		e.expiresAt = r.graceEnd
		r.entries[id] = e
	}
}

// Expire removes the entries whose grace period is over. It returns the next
// expiry time, or the zero time if no entry expires.
func (r *Registry) Expire(now time.Time) (next time.Time) {
	for id, e := range r.entries {
		switch {
		case e.expiresAt.IsZero():
		case !now.Before(e.expiresAt):
			delete(r.entries, id)
		case next.IsZero() || e.expiresAt.Before(next):
			next = e.expiresAt
		}
	}
	return next
}

// Searchers returns all known searchers, sorted by ID.
func (r *Registry) Searchers() []Searcher {
	out := make([]Searcher, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.Searcher)
	}
	slices.SortFunc(out, func(a, b Searcher) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ready returns the searchers that accept requests, sorted by ID.
func (r *Registry) Ready() []Searcher {
	return slices.DeleteFunc(r.Searchers(), func(s Searcher) bool { return s.State != Ready })
}

// Len returns the number of known searchers.
func (r *Registry) Len() int { return len(r.entries) }
