package instance

import (
	"fmt"
	"math"
	"time"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/back/isolation"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/placement"
	"egrethaven/internal/query/shedding"
)

// Outcome classifies the result of a request with respect to the searcher.
type Outcome int

// The outcomes.
const (
	// Served means that the searcher answered correctly.
	Served Outcome = iota
	// Failed means that the searcher answered with an internal error or closed
	// the connection.
	Failed
	// Refused means that the searcher declined to run the request.
	Refused
	// Postponed means that it declined and named a time in which it wants none. Afterwards
	// it is as good as before.
	Postponed
	// TimedOut means that no answer arrived before the deadline.
	TimedOut
	// WrongSearcher means that another searcher answered at the address.
	WrongSearcher
)

// RecordOutcome updates the searcher's statistics with the outcome of a request.
// usual is the usual service time of such requests over all searchers, 0 if
// unknown.
func (i *Instance) RecordOutcome(o Outcome, elapsed, usual time.Duration) {
	i.reportOutcome(o, elapsed, usual)
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	w := ewmaWeight(now.Sub(i.stats.lastAnswer))
	switch o {
	case WrongSearcher:
		i.stats.wrongSearcher = true
		return
	case TimedOut:
		i.stats.failureRate += w * (1 - i.stats.failureRate)
		if i.stats.lastAnswer.After(now.Add(-elapsed)) {
			// Other requests were answered in the meantime, so only this answer
			// was lost.
			return
		}
		i.stats.timeouts++
		i.stats.suspension = min(max(2*i.stats.suspension, minSuspension), maxSuspension)
		i.stats.suspendedUntil = now.Add(i.stats.suspension)
		i.c.Events.Emit(event.LinkSilent, i.s.ID,
			fmt.Sprintf("no answer for %s, %s; left alone for %s", elapsed.Round(time.Millisecond), formatLastAnswer(now, i.stats.lastAnswer), i.stats.suspension))
		return
	case Postponed:
	case Failed, Refused:
		i.stats.failureRate += w * (1 - i.stats.failureRate)
	case Served:
		i.stats.failureRate -= w * i.stats.failureRate
		if usual > 0 {
			i.stats.slowdown += w * (min(float64(elapsed)/float64(usual), maxLatencyRatio) - i.stats.slowdown)
		}
	}
	if o != Refused && o != Postponed {
		i.endWait(now)
	}
	if i.stats.timeouts > 0 {
		i.c.Events.Emit(event.SearcherReturned, i.s.ID, fmt.Sprintf("answers again after %d requests without an answer", i.stats.timeouts))
	}
	i.stats.timeouts, i.stats.suspension, i.stats.suspendedUntil = 0, 0, time.Time{}
	i.stats.lastAnswer = now
}

// recordAsked records a request. The caller holds the lock.
func (i *Instance) recordAsked(now time.Time) {
	if i.stats.askedAt.IsZero() {
		i.stats.askedAt = now
	}
}

// recordContact records a reaction of the searcher. The caller holds the lock.
func (i *Instance) recordContact(now time.Time) {
	i.stats.lastContact, i.stats.askedAt = now, time.Time{}
}

// Contact returns the contact with the searcher, to detect a partition.
func (i *Instance) Contact() isolation.Searcher {
	i.mu.Lock()
	defer i.mu.Unlock()
	return isolation.Searcher{Service: i.s.Service, Domain: i.s.Domain, LastContact: i.stats.lastContact, AskedAt: i.stats.askedAt,
		RunningSince: i.c.RunningSince(time.Now())}
}

// reportOutcome passes the outcome of a request to Config.Observe.
func (i *Instance) reportOutcome(o Outcome, elapsed, usual time.Duration) {
	switch {
	case o == WrongSearcher || o == Postponed || usual <= 0:
	case o == TimedOut:
		i.c.Observe(maxLatencyRatio, true)
	default:
		i.c.Observe(min(float64(elapsed)/float64(usual), maxLatencyRatio), o != Served)
	}
}

// ReportOverdue reports a request in flight to Config.Observe if its elapsed time
// exceeds overdueLatencyRatio times the usual service time.
func (i *Instance) ReportOverdue(elapsed, usual time.Duration) {
	if usual > 0 && elapsed > overdueLatencyRatio*usual {
		i.c.Observe(min(float64(elapsed)/float64(usual), maxLatencyRatio), false)
	}
}

// SetSharedScore sets the score of the searcher aggregated over all VMs.
func (i *Instance) SetSharedScore(now time.Time, s healthscore.Score) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.sharedScore, i.stats.sharedScoreAt, i.stats.lastSharedObservation = s, now, now.Add(-s.Age)
}

// health returns the searcher's slowdown factor relative to the usual service
// time and its failure rate, 0 to 1. It combines this VM's observations with the
// shared score if that is recent. The caller holds the lock.
func (i *Instance) health(now time.Time) (slowdown, failureRate float64) {
	since := now.Sub(i.stats.lastAnswer)
	if now.Sub(i.stats.sharedScoreAt) > maxSharedScoreAge {
		return 1 + (i.stats.slowdown-1)*decay(since, slowdownDecay), i.stats.failureRate * decay(since, failureRateDecay)
	}
	ownWeight := math.Exp(-float64(since) / float64(ownObservationDecay))
	sharedWeight := decay(now.Sub(i.stats.lastSharedObservation), i.sharedScoreDecay)
	return 1 + max((i.stats.slowdown-1)*ownWeight, (i.stats.sharedScore.SlowdownFactor-1)*sharedWeight), max(i.stats.failureRate*ownWeight, i.stats.sharedScore.FailureRate*sharedWeight)
}

// ewmaWeight returns the EWMA weight of an observation made d after the previous
// one. In a large tier a VM uses a searcher only every few seconds and must react
// to a single answer.
func ewmaWeight(d time.Duration) float64 {
	return max(minEWMAWeight, 1-math.Exp(-float64(d)/float64(ewmaTimeConstant)))
}

// decay returns the weight, 1 to 0, of statistics whose last update was d ago: it
// is 1/2 after half. Without decay, a searcher that gets no requests because of
// bad statistics would never recover.
func decay(d, half time.Duration) float64 {
	return 1 / (1 + float64(d)/float64(half))
}

// formatLastAnswer describes how long before now the last answer arrived.
func formatLastAnswer(now, t time.Time) string {
	if t.IsZero() {
		return "none before"
	}
	return fmt.Sprintf("last one %s ago", now.Sub(t).Round(time.Millisecond))
}

// RecordLoad stores the load reported in an answer.
func (i *Instance) RecordLoad(l Load) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.load, i.stats.loadAt = l, time.Now()
}

// Usable reports whether the instance accepts requests: it is not draining and
// no other searcher answered at its address.
func (i *Instance) Usable() bool { return i.Closure() == Open }

// Closure tells why an instance accepts no requests.
type Closure int

// The closures.
const (
	// Open instances accept requests.
	Open Closure = iota
	Draining
	// Displaced means that another searcher answered at the address.
	Displaced
)

// Closure returns why the instance accepts no requests, Open if it does.
func (i *Instance) Closure() Closure {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.draining:
		return Draining
	case i.stats.wrongSearcher:
		return Displaced
	}
	return Open
}

// isUnreachable reports whether no connection is open and the last attempt to
// open one failed. If connections are only opened on demand, it returns false
// once the next attempt is due, which a request then starts. The caller holds
// the lock.
func (i *Instance) isUnreachable(now time.Time) bool {
	kept, _ := i.minOpen(now)
	return i.openConns == 0 && i.stats.dialFailed && (kept > 0 || now.Before(i.redialAt))
}

// Candidate returns the searcher's state for request placement. domain is the
// caller's failure domain, usual the usual service time of the request.
func (i *Instance) Candidate(now time.Time, domain string, usual time.Duration) placement.Candidate {
	return i.CandidateFor(now, domain, usual, &shedding.Request{})
}

// CandidateFor is like Candidate. It counts as ahead only those queued requests that are sent
// before the given one.
func (i *Instance) CandidateFor(now time.Time, domain string, usual time.Duration, r *shedding.Request) placement.Candidate {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := placement.Candidate{
		Ahead:         i.ahead(now, r),
		Local:         i.s.Domain == domain,
		Slots:         i.s.Slots,
		InFlight:      len(i.calls),
		Queued:        len(i.queue),
		Conns:         max(i.c.Conns.MaxOpen, 1),
		ReportAge:     now.Sub(i.stats.loadAt),
		MedianLatency: usual,
		Cold:          i.coldFor(now) > 0,
		Suspect:       now.Before(i.stats.suspendedUntil) || i.stats.timeouts > 0 && len(i.calls) > 0,
		NoConn:        len(i.idle) == 0,
		LimitWait:     i.sendWait(now, len(i.queue)),
		LimitSpare:    i.limiter.Spare(now, len(i.queue)),
		NamedWait:     max(i.waitUntil.Sub(now), 0),
	}
	if _, c.Limited = i.limiter.Named(); i.resuming && c.LimitWait > 0 {
		c.Limited, c.LimitSpare = true, 0
	}
	if spare := i.coldSpare(now, len(i.queue)); spare < 1 {
		c.Limited, c.LimitSpare = true, min(c.LimitSpare, spare)
	}
	c.SlowdownFactor, c.FailureRate = i.health(now)
	if c.ReportAge < maxLoadReportAge {
		c.Waiting = i.stats.load.Waiting
	}
	if i.isUnreachable(now) {
		c.Suspect = true
	}
	for x := range i.calls {
		if started := x.startedAt; x.conn != nil && started.After(i.stats.lastAnswer) {
			c.StalledFor = max(c.StalledFor, now.Sub(started))
		}
	}
	if t := i.c.RunningSince(now); !t.IsZero() {
		c.StalledFor = min(c.StalledFor, now.Sub(t))
	}
	c.Suspect = c.Suspect || c.StalledFor > max(stallLatencyRatio*usual, minStallTimeout)
	return c
}
