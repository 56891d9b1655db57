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

// Eligibility is how a searcher may be used.
type Eligibility int

// The uses.
const (
	// Normal: it gets new work.
	Normal Eligibility = iota
	// LastResort: it gets new work only where no other replica is left.
	LastResort
	// Excluded: it gets no new work.
	Excluded
)

// Tracker is the evidence on one searcher.
type Tracker struct {
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

// RecordAnswer takes what an answer of the searcher says. It reports whether this
// is the first evidence of a drain.
func (r *Tracker) RecordAnswer(now time.Time, draining bool) bool {
	if draining {
		return r.drain(now)
	}
	if !r.doubted {
		r.answered = now
		r.hold = 0
	}
	return false
}

// RecordRefusal takes the searcher's refusal of new work. It reports whether this is
// the first evidence of a drain.
func (r *Tracker) RecordRefusal(now time.Time) bool {
	return r.drain(now)
}

// RecordPeerNotice takes from another node that the searcher leaves. It reports whether
// this is the first evidence of a drain.
func (r *Tracker) RecordPeerNotice(now, until time.Time) bool {
	if most := now.Add(holdTold); until.After(most) {
		until = most
	}
	first := !r.doubted && until.After(now)
	if until.After(r.drainTill) {
		r.doubted, r.drainTill = r.doubted || until.After(now), until
	}
	return first
}

// RecordStatus takes what the searcher's status page says. It may remove the doubt
// once the evidence of a drain no longer holds; it then reports true.
func (r *Tracker) RecordStatus(now time.Time, draining bool) bool {
	r.page, r.draining = now, draining
	if draining || r.leaving || !r.doubted || now.Before(r.drainTill) {
		return false
	}
	r.doubted = false
	return true
}

// RecordListing takes what the platform's list says.
func (r *Tracker) RecordListing(leaving bool) {
	r.leaving = leaving
}

// Eligibility tells how the searcher may be used.
func (r *Tracker) Eligibility(now time.Time) Eligibility {
	fresh := now.Sub(r.answered) < freshTime
	switch {
	case r.doubted:
		return Excluded
	case r.draining && !fresh && now.Sub(r.page) < pageTime:
		return Excluded
	case r.leaving:
		return LastResort
	}
	return Normal
}

// drain takes own evidence of a drain.
func (r *Tracker) drain(now time.Time) bool {
	if r.doubted && now.Before(r.drainTill) {
		return false
	}
	first := !r.doubted
	r.hold = min(max(2*r.hold, holdFirst), holdMost)
	r.doubted, r.drainTill = true, now.Add(r.hold)
	return first
}

// DrainUntil returns until when own evidence of a drain holds.
func (r *Tracker) DrainUntil() time.Time { return r.drainTill }
