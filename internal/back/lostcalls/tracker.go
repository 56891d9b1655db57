// Package lostcalls tells the loss of a searcher from the loss of a connection.
//
// A call whose connection is lost without an answer may have crashed its searcher, or only
// have lost its connection: to a reset, a partition, a searcher that was garbling. The
// Tracker keeps such calls until it is known whether the searcher's process has ended. A
// process that answers a later call has not.
//
// # Usage
//
//	t := lostcalls.New()
//	ended := t.Add(now, lostcalls.Call{Fingerprint: f, Service: "s", Searcher: "i-1"})
//	t.Answered(lostcalls.Call{...}, sentAt)
//	ended = t.End(now, "i-1")
package lostcalls

import (
	"slices"
	"time"
)

const (
	// callTTL is how long a lost call may wait for the end of its searcher to be known: an
	// entry of a searcher that is silent expires within seconds.
	callTTL = 15 * time.Second
	// endedTTL is how long the end of a process is remembered, as calls that are silent end
	// only at their deadline.
	endedTTL = 30 * time.Second
	// maxCalls is the maximum number of calls that are kept.
	maxCalls = 1024
)

// Call is a call that was lost.
type Call struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	Service     string
	// Searcher identifies the process of the searcher.
	Searcher string
	At       time.Time
	// Trial reports that the request ran alone because it was a suspect.
	Trial bool
}

// Tracker keeps lost calls. It is not safe for concurrent use.
type Tracker struct {
	// calls are in the order of their times.
	calls []Call
	ended map[string]end
}

// end is the end of a process.
type end struct {
	at time.Time
	// calls is the number of calls that were lost with it.
	calls int
}

// New returns a Tracker without calls.
func New() *Tracker { return &Tracker{ended: map[string]end{}} }

// Empty reports whether nothing is known.
func (t *Tracker) Empty() bool { return len(t.calls) == 0 && len(t.ended) == 0 }

// Add adds a lost call. If its searcher's process is known to have ended, it returns the
// number of calls that were lost with it, otherwise 0.
func (t *Tracker) Add(now time.Time, c Call) int {
	t.expire(now)
	if e, ok := t.ended[c.Searcher]; ok {
		e.calls++
		t.ended[c.Searcher] = e
		return e.calls
	}
	if len(t.calls) >= maxCalls {
		t.calls = slices.Delete(t.calls, 0, 1)
	}
	t.calls = append(t.calls, c)
	return 0
}

// End records that the process of a searcher has ended, and returns the calls that were
// lost with it.
func (t *Tracker) End(now time.Time, searcher string) []Call {
	t.expire(now)
	var lost []Call
	t.calls = slices.DeleteFunc(t.calls, func(c Call) bool {
		if c.Searcher == searcher {
			lost = append(lost, c)
		}
		return c.Searcher == searcher
	})
	e := t.ended[searcher]
	t.ended[searcher] = end{at: now, calls: e.calls + len(lost)}
	return lost
}

// Answered records the answer to a call that was sent at a time. Its searcher was alive
// after the calls that were lost before, and the request does not crash its service's
// searchers.
func (t *Tracker) Answered(c Call, sentAt time.Time) {
	if t.Empty() {
		return
	}
	delete(t.ended, c.Searcher)
	t.calls = slices.DeleteFunc(t.calls, func(o Call) bool {
		return o.Searcher == c.Searcher && o.At.Before(sentAt) || o.Fingerprint == c.Fingerprint && o.Service == c.Service
	})
}

// Lost returns the calls of a request that are kept.
func (t *Tracker) Lost(fingerprint uint64) []Call {
	var lost []Call
	for _, c := range t.calls {
		if c.Fingerprint == fingerprint {
			lost = append(lost, c)
		}
	}
	return lost
}

// expire forgets what is too old.
func (t *Tracker) expire(now time.Time) {
	n := 0
	for n < len(t.calls) && now.Sub(t.calls[n].At) > callTTL {
		n++
	}
	t.calls = slices.Delete(t.calls, 0, n)
	for s, e := range t.ended {
		if now.Sub(e.at) > endedTTL {
			delete(t.ended, s)
		}
	}
}
