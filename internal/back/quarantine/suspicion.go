package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// incidentWindow is the time within which losses count as one incident.
	incidentWindow = time.Second
	// trustedWindow replaces incidentWindow for a request that was answered before. It is
	// longer than the time for which a request that crashes searchers does so.
	trustedWindow = 3 * time.Second
	// DefaultMinIncidents is the default of Config.MinIncidents.
	DefaultMinIncidents = 2
	// missingWeight is how much the weights of incidents that were no trials may lack to
	// the required number of incidents.
	missingWeight = 0.5
	// clearingAnswers is the number of answers after an incident that clears a
	// suspect.
	clearingAnswers = 2
	// SuspicionTTL is how long a suspicion lasts after the last incident.
	SuspicionTTL = 10 * time.Minute
	// maxIncidents is the maximum number of losses that a suspicion keeps. More add
	// nothing: a fan-out is lost on many searchers at once.
	maxIncidents = 32
)

// Incident is the loss of a searcher while a request was in flight on it.
type Incident struct {
	// Searcher identifies the process of the searcher.
	Searcher string `json:"searcher"`
	// Service is the service to which the request was sent; empty if an answer by any
	// service counts against the loss.
	Service string    `json:"service,omitempty"`
	At      time.Time `json:"-"`
	// Weight is the evidence against the request, from 0 to 1.
	Weight float64 `json:"weight"`
	// Trial is true if the request ran alone because it was a suspect, or as a
	// retry of a lost call.
	Trial bool `json:"trial,omitempty"`
	// Trusted is true if this node knows that the service had answered the request before.
	Trusted bool `json:"-"`
}

// Suspicion is the evidence against a request. It is immutable; its methods
// return an updated copy.
type Suspicion struct {
	Fingerprint uint64
	// Incidents are sorted by time.
	Incidents []Incident
	// Answers is the number of answers since the last incident.
	Answers int
	// AnsweredAt holds when a service last answered the request. Losses of that service
	// up to then don't count.
	AnsweredAt map[string]time.Time
	// Quarantines is the number of quarantines that have ended. One more loss in a trial
	// starts another one.
	Quarantines int
	// Since is when the last quarantine ended.
	Since time.Time
	// Shared reports whether other nodes know of the suspicion.
	Shared bool
}

// AddIncident adds an incident. Each searcher counts once.
func (s Suspicion) AddIncident(i Incident) Suspicion {
	if at, ok := s.AnsweredAt[i.Service]; ok && !i.At.After(at) {
		return s
	}
	s.Answers = 0
	incidents := make([]Incident, 0, len(s.Incidents)+1)
	for _, previous := range s.Incidents {
		if previous.Searcher == i.Searcher {
			i.Weight, i.Trial = max(i.Weight, previous.Weight), i.Trial || previous.Trial
			continue
		}
		incidents = append(incidents, previous)
	}
	if len(incidents) < maxIncidents {
		incidents = append(incidents, i)
	}
	slices.SortStableFunc(incidents, func(a, b Incident) int { return a.At.Compare(b.At) })
	s.Incidents = incidents
	return s
}

// OnTrial returns true if a request in flight now runs alone: it is a suspect, it
// was not answered since the last incident, and calls from before the incidents
// have ended.
func (s Suspicion) OnTrial(now time.Time) bool {
	if len(s.Incidents) == 0 || s.Answers > 0 {
		return false
	}
	for _, i := range s.Incidents {
		if sameIncident(i.At, now) {
			return false
		}
	}
	return true
}

// AddAnswer adds an answer by any service.
func (s Suspicion) AddAnswer() Suspicion {
	s.Answers++
	if s.Cleared() {
		s.Incidents, s.Quarantines = nil, 0
	}
	return s
}

// AddServiceAnswer adds an answer by a service: a request that crashes the searchers that
// run it is never answered by them, so their losses up to then had another cause.
func (s Suspicion) AddServiceAnswer(service string, at time.Time) Suspicion {
	s.AnsweredAt = maps.Clone(s.AnsweredAt)
	if s.AnsweredAt == nil {
		s.AnsweredAt = map[string]time.Time{}
	}
	if at.After(s.AnsweredAt[service]) {
		s.AnsweredAt[service] = at
	}
	s.Incidents = slices.DeleteFunc(slices.Clone(s.Incidents), func(i Incident) bool { return i.Service == service && !i.At.After(at) })
	if !at.Before(s.Since) {
		s.Quarantines = 0
	}
	return s
}

// Cleared returns true if the request was answered often enough to end the
// suspicion.
func (s Suspicion) Cleared() bool { return s.Answers >= clearingAnswers }

// Active returns true if there is evidence against the request.
func (s Suspicion) Active() bool { return len(s.Incidents) > 0 || s.Quarantines > 0 }

// Services returns the services that have lost searchers with the request.
func (s Suspicion) Services() map[string]bool {
	out := map[string]bool{}
	for _, i := range s.Incidents {
		out[i.Service] = true
	}
	return out
}

// ShouldQuarantine returns true if searchers were lost with the request in minIncidents
// incidents, and either one of the losses was in a trial or few other requests were in
// flight.
func (s Suspicion) ShouldQuarantine(minIncidents int) bool {
	n, weight, trial := s.independent()
	if s.Quarantines > 0 && trial {
		return true
	}
	return n >= minIncidents && (trial || weight >= float64(minIncidents)-missingWeight)
}

// independent returns the number of incidents and the sum of their weights, and whether
// one of them was a trial. Of losses within incidentWindow only the one with the largest
// weight counts, unless the request ran as a trial. A request that its service has answered
// before is likely to run by chance on searchers that another one crashes, also in trials:
// of its losses one counts in trustedWindow.
func (s Suspicion) independent() (n int, weight float64, trial bool) {
	var last, trusted time.Time
	largest := 0.0
	for _, i := range s.Incidents {
		trial = trial || i.Trial
		switch {
		case i.Trusted && !trusted.IsZero() && i.At.Sub(trusted) < trustedWindow:
		case i.Trusted:
			trusted = i.At
			n++
			weight += i.Weight
		case i.Trial:
			n++
			weight += i.Weight
		case last.IsZero() || !sameIncident(last, i.At):
			n++
			weight += i.Weight
			last, largest = i.At, i.Weight
		default:
			weight += max(0, i.Weight-largest)
			last, largest = i.At, max(largest, i.Weight)
		}
	}
	return n, weight, trial
}

// IsSuspect returns true if the request has to run alone. One that was answered before by
// all services that lost searchers is no suspect after a single incident.
func (s Suspicion) IsSuspect() bool {
	if s.Quarantines > 0 || slices.ContainsFunc(s.Incidents, func(i Incident) bool { return !i.Trusted }) {
		return true
	}
	n, _, _ := s.independent()
	return n > 1
}

// evidence orders suspicions by how much is known against the request, then by age: the
// smallest one may be forgotten first.
func (s Suspicion) evidence(o Suspicion) int {
	return cmp.Or(cmp.Compare(s.trials(), o.trials()), s.last().Compare(o.last()))
}

// trials returns the number of losses in trials, and of ended quarantines.
func (s Suspicion) trials() int {
	n := s.Quarantines
	for _, i := range s.Incidents {
		if i.Trial {
			n++
		}
	}
	return n
}

// last returns when the suspicion last changed.
func (s Suspicion) last() time.Time {
	t := s.Since
	for _, i := range s.Incidents {
		if i.At.After(t) {
			t = i.At
		}
	}
	for _, at := range s.AnsweredAt {
		if at.After(t) {
			t = at
		}
	}
	return t
}

// Expired returns true if nothing is known of the request for SuspicionTTL.
func (s Suspicion) Expired(now time.Time) bool { return now.Sub(s.last()) >= SuspicionTTL }

// sameIncident returns true if losses at the two times count as one incident.
func sameIncident(a, b time.Time) bool {
	return a.Sub(b).Abs() < incidentWindow
}
