// Package copyage tracks how old this VM's copy of the platform's store is.
//
// A copy is as old as the last moment up to which all changes are known to be in it,
// not as old as the last answer: a VM that relays the store's changes may itself have
// lost the store seconds ago.
//
// # Usage
//
//	t := copyage.New(copyage.Config{Limit: 3 * time.Second, Events: events})
//	t.Confirm("the store", calledAt)
//	if t.Age() > maxAge { ... }
//	t.Close()
package copyage

import (
	"fmt"
	"sync"
	"time"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/observe/event"
)

// Config configures a Tracker.
type Config struct {
	// Limit is the age from which on the copy is reported as outdated.
	Limit  time.Duration
	Events event.Sink
}

// Tracker tracks the age of a copy. It is safe for concurrent use.
type Tracker struct {
	c Config

	mu      sync.Mutex
	knownAt boottime.Instant
	// source is where the last confirmation came from.
	source   string
	outdated bool
	// alarm fires when the copy reaches the limit.
	alarm  *time.Timer
	closed bool
}

// New returns a Tracker of a copy that has never been confirmed.
func New(c Config) *Tracker {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Tracker{c: c}
}

// Confirm records that the copy has all changes up to knownAt. A confirmation that is
// older than the last one is ignored.
func (t *Tracker) Confirm(source string, knownAt boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || knownAt.IsZero() || !t.knownAt.IsZero() && knownAt.Sub(t.knownAt) <= 0 {
		return
	}
	before := t.knownAt
	t.knownAt, t.source = knownAt, source
	if t.outdated && knownAt.Age() < t.c.Limit {
		t.outdated = false
		t.c.Events.Emit(event.CopyCurrent, source, fmt.Sprintf("known up to %s ago, before that up to %s ago", rounded(knownAt.Age()), rounded(before.Age())))
	}
	if t.alarm != nil {
		t.alarm.Stop()
	}
	if t.c.Limit > 0 {
		t.alarm = time.AfterFunc(t.c.Limit-knownAt.Age(), t.checkAge)
	}
}

// checkAge reports the copy if it has reached the limit.
func (t *Tracker) checkAge() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.outdated {
		return
	}
	if left := t.c.Limit - t.knownAt.Age(); left > 0 {
		t.alarm = time.AfterFunc(left, t.checkAge)
		return
	}
	t.outdated = true
	t.c.Events.Emit(event.CopyOutdated, t.source, fmt.Sprintf("known up to %s ago, changes have to be in force after %s", rounded(t.knownAt.Age()), t.c.Limit))
}

// Age returns how long ago the copy was last known to have all changes. It is the
// maximum duration if it never was.
func (t *Tracker) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knownAt.Age()
}

// Known reports whether the copy was ever known to have all changes.
func (t *Tracker) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.knownAt.IsZero()
}

// Close stops the reports.
func (t *Tracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.alarm != nil {
		t.alarm.Stop()
	}
}

// rounded returns d in whole milliseconds.
func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
