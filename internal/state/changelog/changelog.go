// Package changelog keeps the recent changes of the platform's store, so that
// other VMs can follow the store through this one.
//
// A Log is fed with what this VM reads from the store. It answers for as long
// as these reads succeed; a VM that cannot reach the store itself has nothing
// to tell. After a full read it works out what changed, so that whoever follows
// it does not have to read everything again.
//
// # Usage
//
//	l := changelog.New(changelog.Config{Fresh: 6 * time.Second})
//	l.Reset(all, at)              // a full read
//	l.Append(after, changes, at)  // a watch
//	cs, at, err := l.Wait(ctx, after, time.Second)
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

	"egrethaven/internal/state/follow"
)

// maxChanges bounds the changes that are kept. A tier of a thousand VMs that
// all register anew fits.
const maxChanges = 2048

// ErrUnavailable tells that this VM does not follow the store itself, or
// cannot reach it.
const ErrUnavailable = errors.ConstError("the store is not followed here")

// Config sets up a Log.
type Config struct {
	// MaxAge is how long after the last successful read the log answers.
	MaxAge time.Duration
}

// Log holds the changes. It is safe for concurrent use.
type Log struct {
	c Config

	mu sync.Mutex
	// entries are those of the store at the last revision; nil before a full
	// read.
	entries map[string]follow.Change
	// changes are all those after base, up to at, in the order of revisions.
	changes  []follow.Change
	base, at follow.Revision
	// read is when the store itself last answered; zero if it does not, or is
	// not asked.
	read time.Time
	// wake is closed at the next change.
	wake chan struct{}
}

// New returns an empty log.
func New(c Config) *Log { return &Log{c: c, wake: make(chan struct{})} }

// Reset takes a full read of the store.
func (l *Log) Reset(all []follow.Change, at follow.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, was := l.entries, l.at
	l.entries = make(map[string]follow.Change, len(all))
	for _, c := range all {
		l.entries[c.Key] = c
	}
	if old == nil || at <= was {
		l.base, l.changes = at, nil
	} else {
		l.keep(difference(old, l.entries, was, at))
	}
	l.reached(at)
}

// difference returns the changes that lead from the entries of one revision to
// those of a later one. A removal, and a change that the watches before it did
// not tell, gets the revision of the read that found it.
func difference(old, now map[string]follow.Change, was, at follow.Revision) []follow.Change {
	var cs []follow.Change
	for k, c := range now {
		if o, ok := old[k]; !ok || o.Revision != c.Revision || !bytes.Equal(o.Value, c.Value) {
			if c.Revision <= was {
				c.Revision = at
			}
			cs = append(cs, c)
		}
	}
	for k := range old {
		if _, ok := now[k]; !ok {
			cs = append(cs, follow.Change{Key: k, Revision: at, Deleted: true})
		}
	}
	return cs
}

// Append takes the changes after a revision from the store.
func (l *Log) Append(after follow.Revision, cs []follow.Change, at follow.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after != l.at {
		// Something was read elsewhere meanwhile.
		l.base, l.changes, l.entries = after, nil, nil
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
	l.keep(cs)
	l.reached(max(after, at))
}

// AppendRelayed takes changes that another VM passed on: the log stays complete, but
// is not answered from.
func (l *Log) AppendRelayed(after follow.Revision, cs []follow.Change, at follow.Revision) {
	l.Append(after, cs, at)
	l.MarkUnreachable()
}

// MarkUnreachable notes that the store was not reached, or is not asked any more.
func (l *Log) MarkUnreachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.read.IsZero() {
		l.read = time.Time{}
		l.signal()
	}
}

// ResetRelayed takes all entries as another VM knows them.
func (l *Log) ResetRelayed(all []follow.Change, at follow.Revision) {
	l.Reset(all, at)
	l.MarkUnreachable()
}

// Entries returns all entries of the store as they were at a revision. It
// reports false if they are not all known.
func (l *Log) Entries() ([]follow.Change, follow.Revision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.entries)), l.at, l.entries != nil
}

// keep adds changes and drops the oldest. The lock is held.
func (l *Log) keep(cs []follow.Change) {
	l.changes = append(l.changes, cs...)
	slices.SortStableFunc(l.changes, func(a, b follow.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if n := len(l.changes) - maxChanges; n > 0 {
		l.base = l.changes[n-1].Revision
		l.changes = slices.Clone(l.changes[n:])
	}
}

// reached notes that the store answered. The lock is held.
func (l *Log) reached(at follow.Revision) {
	l.at, l.read = at, time.Now()
	l.signal()
}

// signal wakes those who wait. The lock is held.
func (l *Log) signal() {
	close(l.wake)
	l.wake = make(chan struct{})
}

// Wait returns the changes after a revision, as soon as there is one, or none
// after the wait. Of several changes of one key only the last is returned. The
// error is ErrUnavailable, follow.ErrCompacted, or that of the context.
func (l *Log) Wait(ctx context.Context, after follow.Revision, wait time.Duration) ([]follow.Change, follow.Revision, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		cs, at, wake, err := l.since(after)
		if err != nil || len(cs) > 0 {
			return cs, at, err
		}
		select {
		case <-wake:
		case <-t.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, errors.Trace(ctx.Err())
		}
	}
}

// since returns the changes after a revision, or what tells of the next.
func (l *Log) since(after follow.Revision) ([]follow.Change, follow.Revision, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.read.IsZero() || time.Since(l.read) > l.c.MaxAge:
		return nil, 0, nil, ErrUnavailable
	case after < l.base:
		return nil, 0, nil, follow.ErrCompacted
	}
	n, _ := slices.BinarySearchFunc(l.changes, after+1, func(c follow.Change, r follow.Revision) int { return cmp.Compare(c.Revision, r) })
	return latest(l.changes[n:]), max(after, l.at), l.wake, nil
}

// latest returns the last change of each key, in the order of revisions.
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
