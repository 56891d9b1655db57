// Package changelog keeps the recent changes of the platform's store, so that
// other VMs can follow the store through this one.
//
// A Log is updated with what this VM reads from the store, and answers only while
// these reads succeed and are recent. After a full read it computes the differences to the
// previous entries, so that its followers need no full read themselves.
//
// # Usage
//
//	l := changelog.New(changelog.Config{MaxAge: 6 * time.Second})
//	l.ReplaceEntries(all, at, knownAt)     // after a full read
//	l.Append(after, changes, at, knownAt)  // after a watch
//	u, err := l.Wait(ctx, after, time.Second)
package changelog

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/state/follow"
)

// maxChanges limits the changes that are kept. It suffices for a tier of 1000 VMs
// that all register again.
const maxChanges = 2048

// ErrUnavailable means that this VM does not follow the store directly, or cannot
// reach it.
const ErrUnavailable = errors.ConstError("this VM does not follow the store or cannot reach it")

// Config configures a Log.
type Config struct {
	// MaxAge is the age of the log from which on Wait returns no changes: the time
	// since it was known to have all changes of the store.
	MaxAge time.Duration
}

// Log holds the recent changes of the store. It is safe for concurrent use.
type Log struct {
	c Config

	mu sync.Mutex
	// entries are the store's entries at position at; nil if not completely known.
	entries map[string]follow.Change
	// changes are all changes after base up to at, in revision order.
	changes []follow.Change
	base    follow.Revision
	at      follow.Position
	// knownAt is the time up to which the log has all changes of the store; zero if
	// the store is unreachable or this VM does not read it directly.
	knownAt boottime.Instant
	// wake is closed and replaced whenever the state changes.
	wake chan struct{}
}

// Update holds the changes after a position.
type Update struct {
	// Changes holds the last change of each key.
	Changes []follow.Change
	// Position is that up to which the changes are complete.
	Position follow.Position
	// KnownAt is the time up to which the changes are complete.
	KnownAt boottime.Instant
}

// New returns an empty log.
func New(c Config) *Log { return &Log{c: c, wake: make(chan struct{})} }

// ReplaceEntries replaces all entries after a full read of the store at a position,
// which includes all changes up to knownAt.
func (l *Log) ReplaceEntries(all []follow.Change, at follow.Position, knownAt boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, oldRev, rev := l.entries, l.at.Revision, at.Revision
	if l.at.CheckNext(at) != nil {
		// Followers of another history have to read everything too.
		old = nil
	}
	l.entries = make(map[string]follow.Change, len(all))
	for _, c := range all {
		l.entries[c.Key] = c
	}
	if old == nil || rev <= oldRev {
		l.base, l.changes = rev, nil
	} else {
		l.add(diff(old, l.entries, oldRev, rev))
	}
	l.recordRead(at, knownAt)
}

// diff returns the changes from the old entries, at revision oldRev, to the new
// ones, at revision rev. A deletion, and a change up to oldRev that the watches
// missed, gets revision rev.
func diff(old, entries map[string]follow.Change, oldRev, rev follow.Revision) []follow.Change {
	var cs []follow.Change
	for k, c := range entries {
		if o, ok := old[k]; !ok || o.Revision != c.Revision || !bytes.Equal(o.Value, c.Value) {
			if c.Revision <= oldRev {
				c.Revision = rev
			}
			cs = append(cs, c)
		}
	}
	for k := range old {
		if _, ok := entries[k]; !ok {
			cs = append(cs, follow.Change{Key: k, Revision: rev, Deleted: true})
		}
	}
	return cs
}

// Append adds the changes of the store between two positions, which are complete up to
// knownAt.
func (l *Log) Append(after follow.Position, cs []follow.Change, at follow.Position, knownAt boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after != l.at {
		// The changes between the last position and this one are missing.
		l.base, l.changes, l.entries = after.Revision, nil, nil
	}
	for _, c := range cs {
		switch {
		case l.entries == nil:
		case c.Deleted:
			delete(l.entries, c.Key)
		default:
			l.entries[c.Key] = c
		}
	}
	l.add(cs)
	l.recordRead(at, knownAt)
}

// AppendRelayed adds changes that another VM relayed. The log stays complete, but
// Wait returns ErrUnavailable.
func (l *Log) AppendRelayed(after follow.Position, cs []follow.Change, at follow.Position) {
	l.Append(after, cs, at, boottime.Instant{})
	l.MarkUnreachable()
}

// MarkUnreachable records that the store is unreachable, or no longer read directly.
func (l *Log) MarkUnreachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.knownAt.IsZero() {
		l.knownAt = boottime.Instant{}
		l.signal()
	}
}

// ResetRelayed replaces all entries by those that another VM relayed.
func (l *Log) ResetRelayed(all []follow.Change, at follow.Position) {
	l.ReplaceEntries(all, at, boottime.Instant{})
	l.MarkUnreachable()
}

// Entries returns all entries of the store and their position. It returns false if
// the entries are not completely known.
func (l *Log) Entries() ([]follow.Change, follow.Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.entries)), l.at, l.entries != nil
}

// add adds changes and drops the oldest beyond maxChanges. The caller holds the
// lock.
func (l *Log) add(cs []follow.Change) {
	l.changes = append(l.changes, cs...)
	slices.SortStableFunc(l.changes, func(a, b follow.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if n := len(l.changes) - maxChanges; n > 0 {
		l.base = l.changes[n-1].Revision
		l.changes = slices.Clone(l.changes[n:])
	}
}

// recordRead records a read at a position. The caller holds the lock.
func (l *Log) recordRead(at follow.Position, knownAt boottime.Instant) {
	l.at, l.knownAt = at, knownAt
	l.signal()
}

// signal wakes all goroutines in Wait. The caller holds the lock.
func (l *Log) signal() {
	close(l.wake)
	l.wake = make(chan struct{})
}

// Wait waits for changes after a position, and returns none after wait. The error is
// ErrUnavailable, as soon as the log reaches its maximum age or if it is of an earlier
// era, follow.ErrCompacted, follow.ErrRestored or that of ctx.
func (l *Log) Wait(ctx context.Context, after follow.Position, wait time.Duration) (Update, error) {
	end := time.Now().Add(wait)
	for {
		u, wake, err := l.since(after)
		if err != nil || len(u.Changes) > 0 {
			return u, err
		}
		left := time.Until(end)
		if left <= 0 {
			return u, nil
		}
		select {
		case <-wake:
		case <-time.After(min(left, l.c.MaxAge-u.KnownAt.Age()+time.Millisecond)):
		case <-ctx.Done():
			return Update{}, errors.Trace(ctx.Err())
		}
	}
}

// since returns the changes after a position, and a channel that is closed at the
// next update of the log.
func (l *Log) since(after follow.Position) (Update, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.knownAt.Age() > l.c.MaxAge:
		return Update{}, nil, ErrUnavailable
	case after.Era < l.at.Era:
		return Update{}, nil, follow.ErrRestored
	case after.Era > l.at.Era:
		return Update{}, nil, ErrUnavailable
	case after.Revision < l.base:
		return Update{}, nil, follow.ErrCompacted
	}
	n, _ := slices.BinarySearchFunc(l.changes, after.Revision+1, func(c follow.Change, r follow.Revision) int { return cmp.Compare(c.Revision, r) })
	at := follow.Position{Era: l.at.Era, Revision: max(after.Revision, l.at.Revision)}
	return Update{Changes: latest(l.changes[n:]), Position: at, KnownAt: l.knownAt}, l.wake, nil
}

// latest returns the last change of each key, in revision order.
func latest(cs []follow.Change) []follow.Change {
	seen := make(map[string]bool, len(cs))
	var out []follow.Change
	for _, c := range slices.Backward(cs) {
		if !seen[c.Key] {
			seen[c.Key] = true
			out = append(out, c)
		}
	}
	slices.Reverse(out)
	return out
}
