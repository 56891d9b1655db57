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
	// DefaultDuration is how long a quarantine lasts.
	DefaultDuration = 10 * time.Minute
	// DefaultPropagationTime is how long a suspicion takes to reach all nodes when
	// nothing tells that it has.
	DefaultPropagationTime = 2 * time.Second
	// purgeInterval is the time between two searches for what is over.
	purgeInterval = time.Minute
	// trustTime is how long an answered request is trusted.
	trustTime = 5 * time.Minute
	// mostTrusted bounds the answered requests that are remembered, in each of
	// two generations.
	mostTrusted = 50_000
)

// Class is how a request may run.
type Class int

// The verdicts.
const (
	// Trusted requests were answered before: they may run everywhere at once.
	Trusted Class = iota
	// Unseen requests were never answered here.
	Unseen
	// Suspect requests run alone, without hedge or retry elsewhere.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// Config describes a Quarantine.
type Config struct {
	// Duration is how long a quarantine lasts.
	Duration time.Duration
	// OnSuspect is called with each new incident, to tell the other nodes.
	OnSuspect func(fingerprint uint64, i Incident)
	// OnQuarantine is called when this node quarantines a request.
	OnQuarantine func(fingerprint uint64, until time.Time)
	// AwaitPropagation waits until the other nodes know of a suspicion, or ctx ends.
	// Without it, AwaitPropagation waits for DefaultSpreadTime.
	AwaitPropagation func(ctx context.Context, fingerprint uint64)
	// Events takes what happens; nil discards it.
	Events event.Sink
	// Disabled trusts every request; for measurements.
	Disabled bool
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
	if c.Duration <= 0 {
		c.Duration = DefaultDuration
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Quarantine{c: c, suspects: map[uint64]Suspicion{},
		held: map[uint64]time.Time{}, trusted: newGenerations(mostTrusted, trustTime)}
}

// Classify tells how a request may run.
func (q *Quarantine) Classify(fingerprint uint64) Class {
	if q.c.Disabled {
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

// RecordAnswer tells that a searcher answered the request.
func (q *Quarantine) RecordAnswer(fingerprint uint64) {
	if q.c.Disabled {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.suspects[fingerprint]; ok {
		s = s.AddAnswer()
		q.suspects[fingerprint] = s
		if !s.Cleared() {
			return
		}
		delete(q.suspects, fingerprint)
	}
	q.trusted.add(fingerprint, time.Now())
}

// RecordLoss tells that a connection to a searcher died while the request and
// inFlight-1 others of this node were in flight on it.
func (q *Quarantine) RecordLoss(fingerprint uint64, searcher string, inFlight int) {
	q.lost(fingerprint, searcher, inFlight, false)
}

// RecordRetryLoss is RecordLoss of a call that was made because an earlier one of the
// same request had been lost on another searcher: its death follows from the
// request, not from a failure that took both.
func (q *Quarantine) RecordRetryLoss(fingerprint uint64, searcher string, inFlight int) {
	q.lost(fingerprint, searcher, inFlight, true)
}

// lost takes an incident of this node and tells the others.
func (q *Quarantine) lost(fingerprint uint64, searcher string, inFlight int, again bool) {
	if q.c.Disabled {
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

// AwaitPropagation waits until the other nodes know what RecordLoss told and no searcher was
// lost for a while, or ctx ends. A request that is sent again earlier could
// meet a node that is not aware, or a failure that has nothing to do with it.
func (q *Quarantine) AwaitPropagation(ctx context.Context, fingerprint uint64) {
	if q.c.Disabled {
		return
	}
	if q.c.AwaitPropagation != nil {
		q.c.AwaitPropagation(ctx, fingerprint)
	} else {
		pause.Sleep(ctx, DefaultPropagationTime)
	}
	for ctx.Err() == nil {
		d := time.Until(q.calm())
		if d <= 0 {
			return
		}
		pause.Sleep(ctx, d)
	}
}

// AddRemoteIncident takes an incident that another node saw. It counts from now:
// the clocks of nodes differ.
func (q *Quarantine) AddRemoteIncident(fingerprint uint64, i Incident) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i.At = time.Now()
	q.lastLoss = i.At
	q.add(fingerprint, i)
}

// AddRemote takes a quarantine that another node set.
func (q *Quarantine) AddRemote(fingerprint uint64, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if until.After(q.held[fingerprint]) && until.After(time.Now()) {
		q.held[fingerprint] = until
		delete(q.suspects, fingerprint)
	}
}

// List returns the requests in quarantine, and until when.
func (q *Quarantine) List() map[uint64]time.Time {
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
	s = s.AddIncident(i)
	q.suspects[fingerprint] = s
	q.trusted.remove(fingerprint)
	if !s.ShouldQuarantine() {
		return time.Time{}, false
	}
	until = time.Now().Add(q.c.Duration)
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
