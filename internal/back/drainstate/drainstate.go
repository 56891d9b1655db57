// Package drainstate decides from several sources whether a searcher is
// draining.
//
// The searcher's own answers, to this node or reported by another node, take
// precedence over its status page, which takes precedence over the platform's VM
// list. Status pages and lists lag, so a drain seen in an answer cannot be
// overridden by them for a hold time. After the hold time, a status page without
// a drain ends the drain, unless the VM list shows the searcher as leaving. If
// the searcher then refuses again, the hold time doubles.
//
// A searcher that only the VM list shows as leaving is a last resort: it gets
// requests only if no other replica is available.
//
// A Tracker has no clock; callers pass the current time.
//
// # Usage
//
//	var t drainstate.Tracker
//	t.RecordAnswer(now, load.Draining)
//	if t.Eligibility(now) == drainstate.Excluded { ... }
package drainstate

import "time"

const (
	// initialHold is the hold time after the first answer that shows a drain.
	initialHold = 10 * time.Second
	// maxPeerHold is the maximum hold time after another node reported a drain.
	maxPeerHold = 20 * time.Second
	// maxHold is the maximum hold time after repeated refusals.
	maxHold = 5 * time.Minute
	// answerTTL is how long an answer takes precedence over the status page.
	answerTTL = time.Second
	// statusTTL is how long a status page that shows a drain is valid.
	statusTTL = 5 * time.Second
)

// Eligibility says whether a searcher may get new requests.
type Eligibility int

// The eligibility levels.
const (
	// Normal searchers get new requests.
	Normal Eligibility = iota
	// LastResort searchers get new requests only if no other replica is
	// available.
	LastResort
	// Excluded searchers get no new requests.
	Excluded
)

// Tracker holds the drain state of one searcher.
type Tracker struct {
	// holdUntil is the end of the hold time.
	holdUntil time.Time
	hold      time.Duration
	// draining is true from the first report of a drain until a status page
	// ends the drain.
	draining       bool
	lastAnswer     time.Time // last answer without a drain
	lastStatus     time.Time
	statusDraining bool
	listedLeaving  bool
}

// RecordAnswer records whether an answer of the searcher shows a drain. It
// returns true if the drain was not known before.
func (t *Tracker) RecordAnswer(now time.Time, draining bool) bool {
	if draining {
		return t.recordDrain(now)
	}
	if !t.draining {
		t.lastAnswer = now
		t.hold = 0
	}
	return false
}

// RecordRefusal records that the searcher refused a request because it drains.
// It returns true if the drain was not known before.
func (t *Tracker) RecordRefusal(now time.Time) bool {
	return t.recordDrain(now)
}

// RecordPeerNotice records another node's report that the searcher drains. It
// returns true if the drain was not known before.
func (t *Tracker) RecordPeerNotice(now, until time.Time) bool {
	if latest := now.Add(maxPeerHold); until.After(latest) {
		until = latest
	}
	first := !t.draining && until.After(now)
	if until.After(t.holdUntil) {
		t.draining, t.holdUntil = t.draining || until.After(now), until
	}
	return first
}

// RecordStatus records whether the searcher's status page shows a drain. It
// returns true if the page ends a drain, which is possible after the hold time.
func (t *Tracker) RecordStatus(now time.Time, draining bool) bool {
	t.lastStatus, t.statusDraining = now, draining
	if draining || t.listedLeaving || !t.draining || now.Before(t.holdUntil) {
		return false
	}
	t.draining = false
	return true
}

// RecordListing records whether the platform's VM list shows the searcher as
// leaving.
func (t *Tracker) RecordListing(leaving bool) {
	t.listedLeaving = leaving
}

// Eligibility returns whether the searcher may get new requests.
func (t *Tracker) Eligibility(now time.Time) Eligibility {
	recentAnswer := now.Sub(t.lastAnswer) < answerTTL
	switch {
	case t.draining:
		return Excluded
	case t.statusDraining && !recentAnswer && now.Sub(t.lastStatus) < statusTTL:
		return Excluded
	case t.listedLeaving:
		return LastResort
	}
	return Normal
}

// recordDrain records an answer or refusal that shows a drain. It returns true
// if the drain was not known before.
func (t *Tracker) recordDrain(now time.Time) bool {
	if t.draining && now.Before(t.holdUntil) {
		return false
	}
	first := !t.draining
	t.hold = min(max(2*t.hold, initialHold), maxHold)
	t.draining, t.holdUntil = true, now.Add(t.hold)
	return first
}

// HoldUntil returns the end of the hold time, during which status pages cannot
// end a drain.
func (t *Tracker) HoldUntil() time.Time { return t.holdUntil }
