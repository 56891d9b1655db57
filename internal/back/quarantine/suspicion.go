package quarantine

import "time"

const (
	// waveTime is the time within which deaths count as one incident.
	waveTime = time.Second
	// convicting is the sum of incident weights that leads to quarantine.
	convicting = 1.5
	// acquitting is how many answers after an incident clear a suspect.
	acquitting = 2
	// suspectTime is how long a suspicion lasts without a new incident.
	suspectTime = 10 * time.Minute
)

// Incident is the death of a searcher while a request was in flight on it.
type Incident struct {
	Searcher string    `json:"searcher"`
	At       time.Time `json:"-"`
	// Weight is how much it speaks against the request, between 0 and 1.
	Weight float64 `json:"weight"`
	// Trial tells that the request ran alone because it was a suspect.
	Trial bool `json:"trial,omitempty"`
}

// Suspicion is what speaks against a request. It is a value; its methods
// return the next one.
type Suspicion struct {
	Fingerprint uint64
	Incidents   []Incident
	// Answers counts answers since the last incident.
	Answers int
}

// AddIncident adds an incident. A searcher counts once; deaths within the same wave
// count as the heaviest of them, unless the request ran as a trial.
func (s Suspicion) AddIncident(i Incident) Suspicion {
	next := Suspicion{Fingerprint: s.Fingerprint}
	for _, o := range s.Incidents {
		switch {
		case o.Searcher == i.Searcher:
			i.Weight, i.Trial = max(i.Weight, o.Weight), i.Trial || o.Trial
		case !i.Trial && !o.Trial && near(o.At, i.At):
			if o.Weight > i.Weight {
				i.Searcher, i.Weight = o.Searcher, o.Weight
			}
		default:
			next.Incidents = append(next.Incidents, o)
		}
	}
	next.Incidents = append(next.Incidents, i)
	return next
}

// OnTrial tells that a request in flight now runs alone: it is a suspect, it
// was not answered since, and what ran before the incident has ended.
func (s Suspicion) OnTrial(now time.Time) bool {
	if len(s.Incidents) == 0 || s.Answers > 0 {
		return false
	}
	for _, i := range s.Incidents {
		if near(i.At, now) {
			return false
		}
	}
	return true
}

// AddAnswer counts an answer.
func (s Suspicion) AddAnswer() Suspicion {
	s.Answers++
	return s
}

// Cleared tells that enough answers speak for the request.
func (s Suspicion) Cleared() bool { return s.Answers >= acquitting }

// ShouldQuarantine tells that the request is to be quarantined: two searchers died
// under it, and either it ran alone at one of them or little else was in
// flight.
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
	return sum >= convicting
}

// Expired tells that the last incident is too long ago to matter.
func (s Suspicion) Expired(now time.Time) bool {
	for _, i := range s.Incidents {
		if now.Sub(i.At) < suspectTime {
			return false
		}
	}
	return true
}

// near tells whether two deaths belong to one wave.
func near(a, b time.Time) bool {
	return a.Sub(b).Abs() < waveTime
}
