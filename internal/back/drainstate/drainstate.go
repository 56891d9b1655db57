// Package drainstate weighs the evidence on whether a searcher is leaving.
//
// Evidence is ranked: the searcher's own answers, whether to this node or,
// told by rumor, to another, beat its status page, which beats the platform's
// VM list. Own evidence of a drain holds for a time even against later pages
// and lists, which lag; after that time they may remove the doubt, and the
// searcher is tried again. A refusal after that doubles the time.
//
// A searcher that only the list calls leaving, while it answers as if nothing
// were, becomes a last resort: it gets no work where another replica is left.
//
// A Record is a value without a clock.
//
// # Usage
//
//	var r drainstate.Record
//	r.Answer(now, load.Draining)
//	if r.Use(now) == drainstate.None { ... }
package drainstate

import "time"

const (
	// holdFirst is how long evidence of a drain holds at first.
	holdFirst = 10 * time.Second
	// holdTold bounds how long the word of another node holds; the searcher's
	// status page may remove the doubt after that.
	holdTold = 20 * time.Second
	// holdMost bounds how long it holds after repeats.
	holdMost = 5 * time.Minute
	// freshTime is how long an answer speaks against page and list.
	freshTime = time.Second
	// pageTime is how long a status page speaks.
	pageTime = 5 * time.Second
)

// Use is how a searcher may be used.
type Use int

// The uses.
const (
	// Normal: it gets new work.
	Normal Use = iota
	// LastResort: it gets new work only where no other replica is left.
	LastResort
	// None: it gets no new work.
	None
)

// Record is the evidence on one searcher.
type Record struct {
	// drainTill is until when own evidence of a drain holds.
	drainTill time.Time
	hold      time.Duration
	// doubted tells that a drain was seen and nothing removed the doubt.
	doubted  bool
	answered time.Time
	page     time.Time
	draining bool
	leaving  bool
}

// Answer takes what an answer of the searcher says. It reports whether this
// is the first evidence of a drain.
func (r *Record) Answer(now time.Time, draining bool) bool {
	if draining {
		return r.drain(now)
	}
	if !r.doubted {
		r.answered = now
		r.hold = 0
	}
	return false
}

// Refused takes the searcher's refusal of new work. It reports whether this is
// the first evidence of a drain.
func (r *Record) Refused(now time.Time) bool {
	return r.drain(now)
}

// Told takes from another node that the searcher leaves. It reports whether
// this is the first evidence of a drain.
func (r *Record) Told(now, until time.Time) bool {
	if most := now.Add(holdTold); until.After(most) {
		until = most
	}
	first := !r.doubted && until.After(now)
	if until.After(r.drainTill) {
		r.doubted, r.drainTill = r.doubted || until.After(now), until
	}
	return first
}

// Page takes what the searcher's status page says. It may remove the doubt
// once the evidence of a drain no longer holds; it then reports true.
func (r *Record) Page(now time.Time, draining bool) bool {
	r.page, r.draining = now, draining
	if draining || r.leaving || !r.doubted || now.Before(r.drainTill) {
		return false
	}
	r.doubted = false
	return true
}

// List takes what the platform's list says.
func (r *Record) List(leaving bool) {
	r.leaving = leaving
}

// Use tells how the searcher may be used.
func (r *Record) Use(now time.Time) Use {
	fresh := now.Sub(r.answered) < freshTime
	switch {
	case r.doubted:
		return None
	case r.draining && !fresh && now.Sub(r.page) < pageTime:
		return None
	case r.leaving:
		return LastResort
	}
	return Normal
}

// drain takes own evidence of a drain.
func (r *Record) drain(now time.Time) bool {
	if r.doubted && now.Before(r.drainTill) {
		return false
	}
	first := !r.doubted
	r.hold = min(max(2*r.hold, holdFirst), holdMost)
	r.doubted, r.drainTill = true, now.Add(r.hold)
	return first
}

// DrainTill returns until when own evidence of a drain holds.
func (r *Record) DrainTill() time.Time { return r.drainTill }
