package quarantine

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/pause"
)

const (
	// DefaultTime is how long a quarantine lasts.
	DefaultTime = 10 * time.Minute
	// DefaultSpreadTime is how long a suspicion takes to reach all nodes when
	// nothing tells that it has.
	DefaultSpreadTime = 2 * time.Second
	// purgeInterval is the time between two searches for what is over.
	purgeInterval = time.Minute
	// trustTime is how long an answered request is trusted.
	trustTime = 5 * time.Minute
	// mostTrusted bounds the answered requests that are remembered, in each of
	// two generations.
	mostTrusted = 50_000
)

// Verdict is how a request may run.
type Verdict int

// The verdicts.
const (
	// Trusted requests were answered before: they may run everywhere at once.
	Trusted Verdict = iota
	// Unseen requests were never answered here.
	Unseen
	// Suspect requests run alone, without hedge or retry elsewhere.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// Config describes a Quarantine.
type Config struct {
	// Time is how long a quarantine lasts.
	Time time.Duration
	// OnSuspect is called with each new incident, to tell the other nodes.
	OnSuspect func(fingerprint uint64, i Incident)
	// OnQuarantine is called when this node quarantines a request.
	OnQuarantine func(fingerprint uint64, until time.Time)
	// Spread waits until the other nodes know of a suspicion, or ctx ends.
	// Without it, Settle waits for DefaultSpreadTime.
	Spread func(ctx context.Context, fingerprint uint64)
	// Events takes what happens; nil discards it.
	Events event.Sink
	// Off trusts every request; for measurements.
	Off bool
}

// Quarantine judges requests. It is safe for concurrent use.
type Quarantine struct {
	c        Config
	mu       sync.Mutex
	suspects map[uint64]Suspicion
	held     map[uint64]time.Time
	trusted  generations
	lastLoss time.Time
	purged   time.Time
}

// New returns a Quarantine.
func New(c Config) *Quarantine {
	if c.Time <= 0 {
		c.Time = DefaultTime
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Quarantine{c: c, suspects: map[uint64]Suspicion{},
		held: map[uint64]time.Time{}, trusted: newGenerations(mostTrusted, trustTime)}
}

// Judge tells how a request may run.
func (q *Quarantine) Judge(fingerprint uint64) Verdict {
	if q.c.Off {
		return Trusted
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if until, ok := q.held[fingerprint]; ok {
		if now.Before(until) {
			return Quarantined
		}
		delete(q.held, fingerprint)
	}
	if s, ok := q.suspects[fingerprint]; ok {
		if !s.Expired(now) {
			return Suspect
		}
		delete(q.suspects, fingerprint)
	}
	if q.trusted.has(fingerprint, now) {
		return Trusted
	}
	return Unseen
}

// Passed tells that a searcher answered the request.
func (q *Quarantine) Passed(fingerprint uint64) {
	if q.c.Off {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.suspects[fingerprint]; ok {
		s = s.Passed()
		q.suspects[fingerprint] = s
		if !s.Acquitted() {
			return
		}
		delete(q.suspects, fingerprint)
	}
	q.trusted.add(fingerprint, time.Now())
}

// Lost tells that a connection to a searcher died while the request and
// inFlight-1 others of this node were in flight on it.
func (q *Quarantine) Lost(fingerprint uint64, searcher string, inFlight int) {
	q.lost(fingerprint, searcher, inFlight, false)
}

// LostAgain is Lost of a call that was made because an earlier one of the
// same request had been lost on another searcher: its death follows from the
// request, not from a failure that took both.
func (q *Quarantine) LostAgain(fingerprint uint64, searcher string, inFlight int) {
	q.lost(fingerprint, searcher, inFlight, true)
}

// lost takes an incident of this node and tells the others.
func (q *Quarantine) lost(fingerprint uint64, searcher string, inFlight int, again bool) {
	if q.c.Off {
		return
	}
	q.mu.Lock()
	i := Incident{Searcher: searcher, At: time.Now(), Weight: 1 / float64(max(inFlight, 1))}
	i.Trial = again || q.suspects[fingerprint].OnTrial(i.At)
	q.lastLoss = i.At
	until, turned := q.add(fingerprint, i)
	q.mu.Unlock()
	q.c.Events.Emit(event.PoisonSuspected, searcher, name(fingerprint))
	if q.c.OnSuspect != nil {
		q.c.OnSuspect(fingerprint, i)
	}
	if turned {
		q.c.Events.Emit(event.PoisonQuarantined, name(fingerprint), "until "+until.Format(time.TimeOnly))
		if q.c.OnQuarantine != nil {
			q.c.OnQuarantine(fingerprint, until)
		}
	}
}

// Settle waits until the other nodes know what Lost told and no searcher was
// lost for a while, or ctx ends. A request that is sent again earlier could
// meet a node that is not aware, or a failure that has nothing to do with it.
func (q *Quarantine) Settle(ctx context.Context, fingerprint uint64) {
	if q.c.Off {
		return
	}
	if q.c.Spread != nil {
		q.c.Spread(ctx, fingerprint)
	} else {
		pause.Sleep(ctx, DefaultSpreadTime)
	}
	for ctx.Err() == nil {
		d := time.Until(q.calm())
		if d <= 0 {
			return
		}
		pause.Sleep(ctx, d)
	}
}

// AddIncident takes an incident that another node saw. It counts from now:
// the clocks of nodes differ.
func (q *Quarantine) AddIncident(fingerprint uint64, i Incident) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i.At = time.Now()
	q.lastLoss = i.At
	q.add(fingerprint, i)
}

// Add takes a quarantine that another node set.
func (q *Quarantine) Add(fingerprint uint64, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if until.After(q.held[fingerprint]) && until.After(time.Now()) {
		q.held[fingerprint] = until
		delete(q.suspects, fingerprint)
	}
}

// Held returns the requests in quarantine, and until when.
func (q *Quarantine) Held() map[uint64]time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[uint64]time.Time, len(q.held))
	now := time.Now()
	for f, t := range q.held {
		if now.Before(t) {
			out[f] = t
		}
	}
	return out
}

// add takes an incident; turned tells that it led to a quarantine. The lock
// is held.
func (q *Quarantine) add(fingerprint uint64, i Incident) (until time.Time, turned bool) {
	if _, ok := q.held[fingerprint]; ok {
		return time.Time{}, false
	}
	q.purge(i.At)
	s := q.suspects[fingerprint]
	s.Fingerprint = fingerprint
	s = s.Lost(i)
	q.suspects[fingerprint] = s
	q.trusted.remove(fingerprint)
	if !s.Convicted() {
		return time.Time{}, false
	}
	until = time.Now().Add(q.c.Time)
	q.held[fingerprint] = until
	delete(q.suspects, fingerprint)
	return until, true
}

// purge drops what is over, now and then: requests that are never sent again
// are never judged. The lock is held.
func (q *Quarantine) purge(now time.Time) {
	if now.Sub(q.purged) < purgeInterval {
		return
	}
	q.purged = now
	maps.DeleteFunc(q.suspects, func(_ uint64, s Suspicion) bool { return s.Expired(now) })
	maps.DeleteFunc(q.held, func(_ uint64, until time.Time) bool { return !now.Before(until) })
}

// calm returns when no searcher will have been lost for the time of a wave.
func (q *Quarantine) calm() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lastLoss.Add(waveTime)
}

// name is the text form of a fingerprint.
func name(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}
