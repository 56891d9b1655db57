package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/pause"
)

const (
	// DefaultDuration is how long the first quarantine of a request lasts. Each further one
	// lasts twice as long, up to maxDuration.
	DefaultDuration = 10 * time.Minute
	maxDuration     = time.Hour
	// DefaultPropagationTime is the assumed time for a suspicion to reach all
	// nodes if Config.AwaitPropagation is nil.
	DefaultPropagationTime = 2 * time.Second
	// purgeInterval is the time between two purges of expired state.
	purgeInterval = time.Minute
	// trustTTL is how long an answered request is trusted.
	trustTTL = 5 * time.Minute
	// maxTrusted is the maximum number of trusted requests in each of the two
	// generations.
	maxTrusted = 50_000
	// maxSuspects and maxQuarantined are the maximum numbers of requests of each kind.
	maxSuspects    = 2048
	maxQuarantined = 2048
)

// Class determines how a request may run.
type Class int

// The classes.
const (
	// Trusted requests were answered recently. They may run on several replicas
	// at once.
	Trusted Class = iota
	// Unseen requests have no recent answer on this node.
	Unseen
	// Suspect requests run alone, without hedges or retries on other replicas.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// Verdict is what is known of a request.
type Verdict struct {
	Class Class
	// Until is the end of the quarantine of a request that is Quarantined.
	Until time.Time
	// Services holds the services that have lost searchers with a Suspect request.
	Services map[string]bool
}

// Step is a step in the course of a suspicion, for metrics.
type Step string

// The steps.
const (
	StepSuspected   Step = "suspected"
	StepHeard       Step = "heard"
	StepQuarantined Step = "quarantined"
	StepCleared     Step = "cleared"
	StepEnded       Step = "ended"
	StepForgotten   Step = "forgotten"
)

// Config configures a Quarantine.
type Config struct {
	// Duration is how long a quarantine lasts.
	Duration time.Duration
	// MinIncidents is the number of incidents after which a request is quarantined; 0
	// means DefaultMinIncidents.
	MinIncidents int
	// OnSuspect is called for each incident, to notify the other nodes.
	OnSuspect func(fingerprint uint64, i Incident)
	// OnQuarantine is called when this node quarantines a request.
	OnQuarantine func(fingerprint uint64, until time.Time)
	// OnAnswer is called when an answer by a service ends a suspicion of which other nodes
	// know.
	OnAnswer func(fingerprint uint64, service string)
	// OnStep is called for each step.
	OnStep func(Step)
	// AwaitPropagation blocks until the other nodes know of a suspicion or ctx is
	// done. If nil, DefaultPropagationTime is waited.
	AwaitPropagation func(ctx context.Context, fingerprint uint64)
	// TrustAnswered makes it harder for a request to be quarantined that this node has
	// answered before.
	TrustAnswered bool
	// Events receives events. If nil, events are discarded.
	Events event.Sink
	// Disabled makes all requests trusted. For measurements.
	Disabled bool
}

// held is a request in quarantine.
type held struct {
	until time.Time
	// quarantines is the number of its quarantines before this one.
	quarantines int
	// evidence is what it was quarantined for by this node; without incidents if another
	// one told of the quarantine.
	evidence Suspicion
}

// Quarantine classifies requests by the searchers that were lost while they ran.
// It is safe for concurrent use.
type Quarantine struct {
	c           Config
	mu          sync.Mutex
	suspects    map[uint64]Suspicion
	quarantined map[uint64]held
	trusted     expiringSet
	lastLoss    time.Time
	lastPurge   time.Time
}

// New returns an empty Quarantine.
func New(c Config) *Quarantine {
	if c.Duration <= 0 {
		c.Duration = DefaultDuration
	}
	if c.MinIncidents <= 0 {
		c.MinIncidents = DefaultMinIncidents
	}
	if c.OnStep == nil {
		c.OnStep = func(Step) {}
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Quarantine{c: c, suspects: map[uint64]Suspicion{},
		quarantined: map[uint64]held{}, trusted: newExpiringSet(maxTrusted, trustTTL)}
}

// Classify returns the class of a request.
func (q *Quarantine) Classify(fingerprint uint64) Class { return q.Verdict(fingerprint).Class }

// Verdict returns what is known of a request.
func (q *Quarantine) Verdict(fingerprint uint64) Verdict {
	if q.c.Disabled {
		return Verdict{Class: Trusted}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if h, ok := q.quarantined[fingerprint]; ok && !now.Before(h.until) {
		q.endQuarantine(fingerprint, h)
	}
	if s, ok := q.suspects[fingerprint]; ok && s.Expired(now) {
		delete(q.suspects, fingerprint)
	}
	q.trusted.rotate(now)
	return q.verdict(fingerprint, now)
}

// Peek returns what Verdict would, and changes nothing: a quarantine or suspicion whose time is
// over is left to the next request.
func (q *Quarantine) Peek(fingerprint uint64) Verdict {
	if q.c.Disabled {
		return Verdict{Class: Trusted}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.verdict(fingerprint, time.Now())
}

// verdict returns what is known of a request. The caller holds the lock.
func (q *Quarantine) verdict(fingerprint uint64, now time.Time) Verdict {
	s, ok := q.suspects[fingerprint]
	if h, isHeld := q.quarantined[fingerprint]; isHeld {
		if now.Before(h.until) {
			return Verdict{Class: Quarantined, Until: h.until}
		}
		s, ok = h.afterwards(fingerprint), true
	}
	switch {
	case ok && !s.Expired(now) && s.IsSuspect():
		return Verdict{Class: Suspect, Services: s.Services()}
	case q.trusted.contains(fingerprint, now):
		return Verdict{Class: Trusted}
	}
	return Verdict{Class: Unseen}
}

// afterwards returns the suspicion that is left of a quarantine whose time is over.
func (h held) afterwards(fingerprint uint64) Suspicion {
	return Suspicion{Fingerprint: fingerprint, Quarantines: h.quarantines + 1, Since: h.until, Shared: true}
}

// endQuarantine makes a request whose quarantine is over a suspect. The caller holds the
// lock.
func (q *Quarantine) endQuarantine(fingerprint uint64, h held) {
	delete(q.quarantined, fingerprint)
	q.suspects[fingerprint] = h.afterwards(fingerprint)
	q.c.OnStep(StepEnded)
	q.c.Events.Emit(event.PoisonEnded, FormatFingerprint(fingerprint), "its time is over; the request runs alone until it is answered")
}

// RecordAnswer records that a searcher answered the request.
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
		q.clear(fingerprint, "answered")
		delete(q.suspects, fingerprint)
	}
	q.trusted.add(fingerprint, time.Now())
}

// RecordServiceAnswer records that a searcher of a service has answered the request. It
// ends the suspicion as far as that service has lost searchers with it.
func (q *Quarantine) RecordServiceAnswer(fingerprint uint64, service string) {
	if q.c.Disabled {
		return
	}
	q.mu.Lock()
	if q.c.TrustAnswered {
		q.trust(fingerprint, service)
	}
	_, wasHeld := q.quarantined[fingerprint]
	s := q.suspects[fingerprint]
	news := wasHeld && !q.isHeldAfter(fingerprint, service, time.Now())
	if !wasHeld && s.Active() && (s.Quarantines > 0 || s.Services()[service]) {
		q.addServiceAnswer(s, service, time.Now())
		news = s.Shared
	}
	q.mu.Unlock()
	if news && q.c.OnAnswer != nil {
		q.c.OnAnswer(fingerprint, service)
	}
}

// trust records that a service has answered a request. The caller holds the lock.
func (q *Quarantine) trust(fingerprint uint64, service string) {
	now := time.Now()
	q.trusted.add(fingerprint, now)
	q.trusted.add(trustKey(fingerprint, service), now)
}

// trustKey returns the member of the trusted set for a request and a service.
func trustKey(fingerprint uint64, service string) uint64 {
	return fingerprint ^ xxhash.Sum64String(service)
}

// addServiceAnswer adds an answer by a service to a suspicion. The caller holds the lock.
func (q *Quarantine) addServiceAnswer(s Suspicion, service string, at time.Time) {
	wasActive := s.Active()
	s = s.AddServiceAnswer(service, at)
	if wasActive && !s.Active() {
		q.clear(s.Fingerprint, "answered by "+service)
		if !s.Shared {
			delete(q.suspects, s.Fingerprint)
			return
		}
	}
	q.suspects[s.Fingerprint] = s
}

// clear reports that a request is no suspect any more.
func (q *Quarantine) clear(fingerprint uint64, why string) {
	q.c.OnStep(StepCleared)
	q.c.Events.Emit(event.PoisonCleared, FormatFingerprint(fingerprint), why)
}

// RecordLoss records that a connection to a searcher was lost while the request
// and inFlight-1 other requests of this node were in flight on it.
func (q *Quarantine) RecordLoss(fingerprint uint64, searcher string, inFlight int) {
	q.recordLoss(fingerprint, searcher, inFlight, false)
}

// RecordRetryLoss is RecordLoss for the retry of a call that was lost on another
// searcher. The second loss counts as caused by the request, not by a failure
// common to both searchers.
func (q *Quarantine) RecordRetryLoss(fingerprint uint64, searcher string, inFlight int) {
	q.recordLoss(fingerprint, searcher, inFlight, true)
}

// recordLoss adds an incident of this node and notifies the other nodes.
func (q *Quarantine) recordLoss(fingerprint uint64, searcher string, inFlight int, retry bool) {
	if q.c.Disabled {
		return
	}
	i := Incident{Searcher: searcher, At: time.Now(), Weight: 1 / float64(max(inFlight, 1))}
	q.mu.Lock()
	i.Trial = retry || q.suspects[fingerprint].OnTrial(i.At)
	q.mu.Unlock()
	q.AddIncident(fingerprint, i)
}

// AddIncident adds an incident of this node and notifies the other nodes.
func (q *Quarantine) AddIncident(fingerprint uint64, i Incident) {
	if q.c.Disabled {
		return
	}
	q.mu.Lock()
	q.lastLoss = time.Now()
	until, quarantined := q.addIncident(fingerprint, i)
	q.mu.Unlock()
	q.c.OnStep(StepSuspected)
	q.c.Events.Emit(event.PoisonSuspected, i.Searcher, FormatFingerprint(fingerprint))
	if q.c.OnSuspect != nil {
		q.c.OnSuspect(fingerprint, i)
	}
	if quarantined {
		q.reportQuarantine(fingerprint, until, "decided here")
		if q.c.OnQuarantine != nil {
			q.c.OnQuarantine(fingerprint, until)
		}
	}
}

// reportQuarantine reports that a request is quarantined.
func (q *Quarantine) reportQuarantine(fingerprint uint64, until time.Time, why string) {
	q.c.OnStep(StepQuarantined)
	q.c.Events.Emit(event.PoisonQuarantined, FormatFingerprint(fingerprint), "until "+until.Format(time.TimeOnly)+", "+why)
}

// AwaitPropagation blocks until the other nodes know of the recorded loss and no
// searcher was lost for incidentWindow, or until ctx is done. A request that is
// repeated earlier could reach a node that does not know of the suspicion, or
// run into an unrelated failure.
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
		d := time.Until(q.quietAt())
		if d <= 0 {
			return
		}
		pause.Sleep(ctx, d)
	}
}

// isHeldAfter reports whether a request stays in quarantine after an answer by a service,
// which may be older than the quarantine and only heard of later. If what is left of the
// evidence does not suffice, it ends the quarantine. The caller holds the lock.
func (q *Quarantine) isHeldAfter(fingerprint uint64, service string, at time.Time) bool {
	h, ok := q.quarantined[fingerprint]
	if !ok {
		return false
	}
	known := len(h.evidence.Incidents) > 0
	h.evidence = h.evidence.AddServiceAnswer(service, at)
	q.quarantined[fingerprint] = h
	if !known || h.evidence.ShouldQuarantine(q.c.MinIncidents) {
		return true
	}
	delete(q.quarantined, fingerprint)
	q.suspects[fingerprint] = h.evidence
	q.c.OnStep(StepEnded)
	q.c.Events.Emit(event.PoisonEnded, FormatFingerprint(fingerprint), "was answered by "+service)
	return false
}

// Incidents returns the evidence against a request.
func (q *Quarantine) Incidents(fingerprint uint64) []Incident {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspects[fingerprint].Incidents
}

// List returns the end of the quarantine of each quarantined request, by
// fingerprint.
func (q *Quarantine) List() map[uint64]time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[uint64]time.Time, len(q.quarantined))
	now := time.Now()
	for f, h := range q.quarantined {
		if now.Before(h.until) {
			out[f] = h.until
		}
	}
	return out
}

// Suspects returns the number of suspects.
func (q *Quarantine) Suspects() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, s := range q.suspects {
		if s.Active() {
			n++
		}
	}
	return n
}

// addIncident adds an incident. If it starts a quarantine, it returns the end of
// the quarantine and true. The caller holds the lock.
func (q *Quarantine) addIncident(fingerprint uint64, i Incident) (until time.Time, quarantined bool) {
	now := time.Now()
	if h, ok := q.quarantined[fingerprint]; ok && now.Before(h.until) {
		return time.Time{}, false
	}
	q.purge(now)
	s, ok := q.suspects[fingerprint]
	if !ok {
		q.makeRoom()
	}
	s.Fingerprint = fingerprint
	i.Trusted = q.c.TrustAnswered && q.trusted.has(trustKey(fingerprint, i.Service), now)
	s = s.AddIncident(i)
	q.suspects[fingerprint] = s
	if !q.c.TrustAnswered {
		q.trusted.remove(fingerprint)
	}
	if !s.ShouldQuarantine(q.c.MinIncidents) {
		return time.Time{}, false
	}
	until = now.Add(min(q.c.Duration<<min(s.Quarantines, 10), max(maxDuration, q.c.Duration)))
	q.hold(fingerprint, until)
	return until, true
}

// hold quarantines a request. The caller holds the lock.
func (q *Quarantine) hold(fingerprint uint64, until time.Time) {
	if _, ok := q.quarantined[fingerprint]; !ok && len(q.quarantined) >= maxQuarantined {
		first := fingerprint
		for f, h := range q.quarantined {
			if first == fingerprint || h.until.Before(q.quarantined[first].until) {
				first = f
			}
		}
		q.forget(first)
	}
	n := max(q.suspects[fingerprint].Quarantines, q.quarantined[fingerprint].quarantines)
	q.quarantined[fingerprint] = held{until: until, quarantines: n, evidence: q.suspects[fingerprint]}
	delete(q.suspects, fingerprint)
}

// makeRoom forgets the suspect with the least evidence if there are too many. The caller
// holds the lock.
func (q *Quarantine) makeRoom() {
	if len(q.suspects) < maxSuspects {
		return
	}
	var least *Suspicion
	for _, s := range q.suspects {
		if least == nil || s.evidence(*least) < 0 {
			least = &s
		}
	}
	q.forget(least.Fingerprint)
}

// forget forgets a request for want of room. The caller holds the lock.
func (q *Quarantine) forget(fingerprint uint64) {
	delete(q.suspects, fingerprint)
	delete(q.quarantined, fingerprint)
	q.c.OnStep(StepForgotten)
	q.c.Events.Emit(event.PoisonEnded, FormatFingerprint(fingerprint), "forgotten: too many requests are suspected or quarantined")
}

// purge removes expired state once per purgeInterval. Classify does not do this
// for requests that are never repeated. The caller holds the lock.
func (q *Quarantine) purge(now time.Time) {
	if now.Sub(q.lastPurge) < purgeInterval {
		return
	}
	q.lastPurge = now
	for f, h := range q.quarantined {
		if !now.Before(h.until) {
			q.endQuarantine(f, h)
		}
	}
	for f, s := range q.suspects {
		if s.Expired(now) {
			delete(q.suspects, f)
		}
	}
}

// quietAt returns the time when incidentWindow has passed since the last loss of a
// searcher, if there are no further losses.
func (q *Quarantine) quietAt() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lastLoss.Add(incidentWindow)
}
