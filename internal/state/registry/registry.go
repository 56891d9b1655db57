// Package registry keeps the searchers that have registered with the platform.
//
// It is a state machine without I/O. While the platform's store is out of
// reach the last known searchers stay. Entries that are missing when it
// returns are kept for a grace time, because searchers need a moment to
// register again; after that they are gone.
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

// State is what a searcher says of itself.
type State int

// The states.
const (
	// Draining searchers finish what they have and take nothing new.
	Draining State = iota
	// Ready searchers take requests.
	Ready
)

// Searcher is one registered searcher.
type Searcher struct {
	ID      string
	Service string
	// Addr is its IP and port.
	Addr string
	// Domain is its failure domain.
	Domain string
	// Slots is how many requests it runs at a time.
	Slots int
	State State
	// ColdUntil is when it will have warmed up; zero if it is warm.
	ColdUntil time.Time
	// StartedMs is when this process of the searcher started, in milliseconds of
	// its own wall clock; 0 if it does not say. It tells two processes with
	// one ID apart.
	StartedMs int64
}

// Config sets up a Registry.
type Config struct {
	// Grace is how long an entry that is missing after an outage is kept.
	Grace time.Duration
}

// entry is a searcher with the time at which it will be forgotten.
type entry struct {
	Searcher
	// lapses is zero while the entry is present in the store.
	lapses time.Time
}

// Registry holds the known searchers. It is not safe for concurrent use.
type Registry struct {
	c       Config
	entries map[string]entry
	// settled is when the grace time after the last outage ends.
	settled time.Time
}

// New returns an empty registry.
func New(c Config) *Registry {
	return &Registry{c: c, entries: map[string]entry{}}
}

// SetGrace changes the grace time of later outages.
func (r *Registry) SetGrace(d time.Duration) { r.c.Grace = d }

// MarkOutage notes that the store could not be reached until now: entries that
// turn out to be missing are kept for the grace time from here.
func (r *Registry) MarkOutage(now time.Time) {
	r.settled = now.Add(r.c.Grace)
	for id, e := range r.entries {
		if !e.lapses.IsZero() {
			e.lapses = r.settled
			r.entries[id] = e
		}
	}
}

// Replace takes a complete listing of the store.
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

// Put takes one entry as it stands in the store. An entry of an older process
// with the same ID is ignored.
func (r *Registry) Put(s Searcher) {
	old, ok := r.entries[s.ID]
	if ok && s.StartedMs < old.StartedMs {
		return
	}
	r.entries[s.ID] = entry{Searcher: s}
}

// Remove takes the removal of one entry. The entry is kept for the grace time
// if the store was out of reach a moment ago.
func (r *Registry) Remove(now time.Time, id string) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if !now.Before(r.settled) || e.State == Draining {
		delete(r.entries, id)
		return
	}
	if e.lapses.IsZero() {
		e.lapses = r.settled
		r.entries[id] = e
	}
}

// Expire forgets the entries whose grace time is over. It returns when the
// next one ends, or the zero time if none does.
func (r *Registry) Expire(now time.Time) (next time.Time) {
	for id, e := range r.entries {
		switch {
		case e.lapses.IsZero():
		case !now.Before(e.lapses):
			delete(r.entries, id)
		case next.IsZero() || e.lapses.Before(next):
			next = e.lapses
		}
	}
	return next
}

// Searchers returns the known searchers in the order of their IDs.
func (r *Registry) Searchers() []Searcher {
	out := make([]Searcher, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.Searcher)
	}
	slices.SortFunc(out, func(a, b Searcher) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ready returns the known searchers that take requests, in the order of their
// IDs.
func (r *Registry) Ready() []Searcher {
	return slices.DeleteFunc(r.Searchers(), func(s Searcher) bool { return s.State != Ready })
}

// Len returns how many searchers are known.
func (r *Registry) Len() int { return len(r.entries) }
