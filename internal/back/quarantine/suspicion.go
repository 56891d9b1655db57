package quarantine

import "time"

const (
	// incidentWindow is the time within which losses count as one incident.
	incidentWindow = time.Second
	// quarantineWeight is the sum of incident weights that starts a quarantine.
	quarantineWeight = 1.5
	// clearingAnswers is the number of answers after an incident that clears a
	// suspect.
	clearingAnswers = 2
	// suspicionTTL is how long a suspicion lasts after the last incident.
	suspicionTTL = 10 * time.Minute
)

// Incident is the loss of a searcher while a request was in flight on it.
type Incident struct {
	Searcher string    `json:"searcher"`
	At       time.Time `json:"-"`
	// Weight is the evidence against the request, from 0 to 1.
	Weight float64 `json:"weight"`
	// Trial is true if the request ran alone because it was a suspect, or as a
	// retry of a lost call.
	Trial bool `json:"trial,omitempty"`
}

// Suspicion is the evidence against a request. It is immutable; its methods
// return an updated copy.
type Suspicion struct {
	Fingerprint uint64
	Incidents   []Incident
	// Answers is the number of answers since the last incident.
	Answers int
}

// AddIncident adds an incident. Each searcher counts once. Of losses within
// incidentWindow only the one with the largest weight counts, unless the request
// ran as a trial.
func (s Suspicion) AddIncident(i Incident) Suspicion {
	next := Suspicion{Fingerprint: s.Fingerprint}
	for _, previous := range s.Incidents {
		switch {
		case previous.Searcher == i.Searcher:
			i.Weight, i.Trial = max(i.Weight, previous.Weight), i.Trial || previous.Trial
		case !i.Trial && !previous.Trial && sameIncident(previous.At, i.At):
			if previous.Weight > i.Weight {
				i.Searcher, i.Weight = previous.Searcher, previous.Weight
			}
		default:
			next.Incidents = append(next.Incidents, previous)
		}
	}
	next.Incidents = append(next.Incidents, i)
	return next
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

// AddAnswer adds an answer.
func (s Suspicion) AddAnswer() Suspicion {
	s.Answers++
	return s
}

// Cleared returns true if the request was answered often enough to end the
// suspicion.
func (s Suspicion) Cleared() bool { return s.Answers >= clearingAnswers }

// ShouldQuarantine returns true if two searchers were lost with the request, and
// either one of the losses was in a trial or few other requests were in flight.
func (s Suspicion) ShouldQuarantine() bool {
	if len(s.Incidents) < 2 {
		return false
	}
	sum := 0.0
	for _, i := range s.Incidents {
		if i.Trial {
			return true
		}
		sum += i.Weight
	}
	return sum >= quarantineWeight
}

// Expired returns true if no incident is younger than suspicionTTL.
func (s Suspicion) Expired(now time.Time) bool {
	for _, i := range s.Incidents {
		if now.Sub(i.At) < suspicionTTL {
			return false
		}
	}
	return true
}

// sameIncident returns true if losses at the two times count as one incident.
func sameIncident(a, b time.Time) bool {
	return a.Sub(b).Abs() < incidentWindow
}
