package quarantine

import (
	"fmt"
	"time"

	"egrethaven/internal/observe/event"
)

// AddRemoteIncident adds an incident that another node told of. Its time is that of this
// node's clock.
func (q *Quarantine) AddRemoteIncident(fingerprint uint64, i Incident, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastLoss = time.Now()
	until, quarantined := q.addIncident(fingerprint, i)
	if s, ok := q.suspects[fingerprint]; ok {
		s.Shared = true
		q.suspects[fingerprint] = s
	}
	q.heard(fingerprint, from, "lost "+i.Searcher+" with it")
	if quarantined {
		q.reportQuarantine(fingerprint, until, "by what other nodes told")
	}
}

// AddHandedOver adds an incident of the node that hands the request over. The other nodes
// don't know of it: that node tells them, unless the request is answered.
func (q *Quarantine) AddHandedOver(fingerprint uint64, i Incident) {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, quarantined := q.addIncident(fingerprint, i)
	q.heard(fingerprint, "the node that hands it over", "lost "+i.Searcher+" with it")
	if quarantined {
		q.reportQuarantine(fingerprint, until, "by what other nodes told")
	}
}

// AddRemoteAnswer adds an answer by a service that another node told of.
func (q *Quarantine) AddRemoteAnswer(fingerprint uint64, service string, at time.Time, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heard(fingerprint, from, "got an answer from "+service)
	if q.c.TrustAnswered {
		q.trust(fingerprint, service)
	}
	if q.isHeldAfter(fingerprint, service, at) {
		return
	}
	s := q.suspects[fingerprint]
	s.Fingerprint, s.Shared = fingerprint, true
	q.addServiceAnswer(s, service, at)
}

// AddRemote adds a quarantine that another node has started.
func (q *Quarantine) AddRemote(fingerprint uint64, until time.Time, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.c.TrustAnswered && q.trusted.has(fingerprint, time.Now()) {
		// This node decides by itself, from the same incidents.
		q.heard(fingerprint, from, "quarantined it, which was answered here")
		return
	}
	if h := q.quarantined[fingerprint]; until.After(h.until) && until.After(time.Now()) {
		q.hold(fingerprint, until)
		q.heard(fingerprint, from, "quarantined it until "+until.Format(time.TimeOnly))
	}
}

// heard reports what another node told of a request.
func (q *Quarantine) heard(fingerprint uint64, from, what string) {
	q.c.OnStep(StepHeard)
	q.c.Events.Emit(event.PoisonHeard, FormatFingerprint(fingerprint), fmt.Sprintf("%s %s", from, what))
}

// MarkShared records that other nodes know of a suspicion. It reports false if there is
// none.
func (q *Quarantine) MarkShared(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok || !s.Active() {
		_, ok = q.quarantined[fingerprint]
		return ok
	}
	s.Shared = true
	q.suspects[fingerprint] = s
	return true
}
