// Package registry keeps the searchers that are registered in the platform's store.
//
// It is a state machine without I/O. During an outage of the store the registry
// keeps the last known searchers. Entries that are missing after the outage are
// kept for a grace period, in which searchers can register again.
//
// The store may show an older entry after a newer one: it makes a write whose answer was
// lost seconds later, and a store that was restored from a backup shows searchers as they
// were some time ago. Such an entry changes nothing, and a process that has left is not
// taken back because of it.
//
// # Usage
//
//	r := registry.New(registry.Config{Grace: 2 * time.Second})
//	r.Replace(now, entries)           // a full read
//	r.Put(now, searcher)              // one change
//	r.MarkOutage(now)                 // after an outage, or before a full read of a restored store
//	next := r.Expire(now)             // when to call it again
//	for _, s := range r.Searchers() { ... }
package registry

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
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
	// Seq counts the writes of the entry by the process.
	Seq int64
}

// Process returns a name of the searcher's process, which its successors do not share.
func (s Searcher) Process() string {
	if s.StartedMs == 0 {
		return s.ID
	}
	return s.ID + "@" + strconv.FormatInt(s.StartedMs, 10)
}

// isOlder reports whether the entry was written before another entry of the same ID. The
// writes of a process without a start time cannot be ordered, as its successor counts
// anew.
func (s Searcher) isOlder(o Searcher) bool {
	return s.StartedMs < o.StartedMs || s.StartedMs == o.StartedMs && s.StartedMs != 0 && s.Seq < o.Seq
}

const (
	// departureMemory is how long a process that has left is remembered. It exceeds the
	// age of the backups that a store is restored from.
	departureMemory = 5 * time.Minute
	// holdTime is how long an older entry of a process that had left without a notice is
	// held back. If the process is dead, the store deletes the entry meanwhile.
	holdTime = 10 * time.Second
)

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

// departure is the last entry of a process that has left.
type departure struct {
	Searcher
	at time.Time
}

// Registry holds the known searchers. It is not safe for concurrent use.
type Registry struct {
	c       Config
	entries map[string]entry
	// departures holds the processes that have left, by searcher ID.
	departures map[string]departure
	// held are entries of processes that had left, with the time at which they are used
	// nevertheless.
	held map[string]entry
	// graceEnd is when the grace period after the last outage ends.
	graceEnd time.Time
}

// New returns an empty registry.
func New(c Config) *Registry {
	return &Registry{c: c, entries: map[string]entry{}, departures: map[string]departure{}, held: map[string]entry{}}
}

// SetGrace sets the grace period for later outages.
func (r *Registry) SetGrace(d time.Duration) { r.c.Grace = d }

// MarkOutage records that the store is unreachable at time now, or was restored from a
// backup, and restarts the grace period. Entries may be missing until they are written again.
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
		r.Put(now, s)
	}
	for id := range r.entries {
		if !present[id] {
			r.Remove(now, id)
		}
	}
	maps.DeleteFunc(r.held, func(id string, _ entry) bool { return !present[id] })
}

// Put adds or updates one entry. It ignores an entry that is older than the known one of
// the same ID, as in a restored store, or if the store makes a write seconds after it was
// sent. It reports whether the entry is used.
func (r *Registry) Put(now time.Time, s Searcher) bool {
	delete(r.held, s.ID)
	if old, ok := r.entries[s.ID]; ok && s.isOlder(old.Searcher) {
		// The entry is there, so the searcher is not missing.
		old.expiresAt = time.Time{}
		r.entries[s.ID] = old
		return false
	}
	if d, ok := r.departures[s.ID]; ok && d.StartedMs != 0 && !d.isOlder(s) {
		// The entry was written before the process left. If that lives nevertheless, it
		// writes the entry again, or the store goes on listing it.
		if d.State != Draining {
			r.held[s.ID] = entry{Searcher: s, expiresAt: now.Add(holdTime)}
		}
		return false
	}
	delete(r.departures, s.ID)
	r.entries[s.ID] = entry{Searcher: s}
	return true
}

// Remove removes one entry. During a grace period, the entry is kept until the
// period ends unless it is draining.
func (r *Registry) Remove(now time.Time, id string) {
	delete(r.held, id)
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if !now.Before(r.graceEnd) || e.State == Draining {
		r.depart(now, e.Searcher)
		return
	}
	if e.expiresAt.IsZero() {
		e.expiresAt = r.graceEnd
		r.entries[id] = e
	}
}

// depart removes the entry of a process that has left, and remembers it.
func (r *Registry) depart(now time.Time, s Searcher) {
	delete(r.entries, s.ID)
	r.departures[s.ID] = departure{Searcher: s, at: now}
}

// Expire removes the entries whose grace period is over, and uses those that were held
// back for long enough. It returns the next time at which it has to be called, or the
// zero time if there is none.
func (r *Registry) Expire(now time.Time) (next time.Time) {
	due := func(e entry) bool {
		if e.expiresAt.IsZero() {
			return false
		}
		if now.Before(e.expiresAt) && (next.IsZero() || e.expiresAt.Before(next)) {
			next = e.expiresAt
		}
		return !now.Before(e.expiresAt)
	}
	for _, e := range r.entries {
		if due(e) {
			r.depart(now, e.Searcher)
		}
	}
	for id, e := range r.held {
		if due(e) {
			delete(r.held, id)
			delete(r.departures, id)
			r.entries[id] = entry{Searcher: e.Searcher}
		}
	}
	maps.DeleteFunc(r.departures, func(_ string, d departure) bool { return now.Sub(d.at) > departureMemory })
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
