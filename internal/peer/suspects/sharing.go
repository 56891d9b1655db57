// Package suspects shares what a quarantine knows of requests that crash searchers with
// the other VMs, by rumors.
//
// An incident, a quarantine and an answer that clears a suspect are rumors of their own, so
// that they add up in whatever order they arrive. Times are sent as ages, which the
// remaining lifetime of a rumor tells.
//
// # Usage
//
//	s := suspects.New(suspects.Config{Rumors: set, Delay: 200 * time.Millisecond, Quarantine: quarantine.Config{...}})
//	q := s.Quarantine()
package suspects

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/rumor"
)

const (
	// fingerprintBase is the base of fingerprints in rumor keys.
	fingerprintBase = 16
	// maxNameBytes is the length from which on a name in a rumor key is hashed.
	maxNameBytes = 64
	// maxShared is the maximum number of incidents of a request that are told at a time. A
	// fan-out is lost on many searchers at once, which is one incident to the others.
	maxShared = 2
	// maxWaiting is the maximum number of suspects that wait for Config.Delay. Of more, as
	// after the loss of many searchers, none is told before it is lost once more in a trial.
	maxWaiting = 4
	// A VM tells at most maxTold suspects in toldWindow, and maxToldTrials more that were lost
	// in a trial: when many searchers are lost, hardly any of the requests crashes them.
	maxTold       = 4
	maxToldTrials = 16
	toldWindow    = 10 * time.Second
)

// Config configures a Sharing.
type Config struct {
	Rumors *rumor.Set
	// Delay is how long an incident waits before it is told to other VMs, as most suspects
	// are answered by their retry. Losses in trials are told at once.
	Delay time.Duration
	// Quarantine configures the quarantine; New sets the callbacks for other nodes.
	Quarantine quarantine.Config
}

// Sharing connects a quarantine with rumors. It is safe for concurrent use.
type Sharing struct {
	c Config
	q *quarantine.Quarantine

	incidents rumor.Topic[incident]
	answers   rumor.Topic[answer]

	mu sync.Mutex
	// waiting holds the suspects that wait for Config.Delay.
	waiting map[uint64]*time.Timer
	// publishing holds the keys of the rumors that this VM is publishing.
	publishing map[string]bool
	closed     bool
	// toldAt holds when suspects were told within toldWindow.
	toldAt []time.Time
}

// incident is the payload of a rumor about a request that crashes searchers.
// It announces a quarantine if HeldMS is above 0, else an incident.
type incident struct {
	Incident quarantine.Incident `json:"incident"`
	// HeldMS is the duration of the quarantine in milliseconds.
	HeldMS int64 `json:"held_ms,omitempty"`
}

// answer is the payload of a rumor about an answered request.
type answer struct {
	Service string `json:"service"`
}

// New returns a Sharing with an empty quarantine.
func New(c Config) *Sharing {
	if c.Quarantine.Events == nil {
		c.Quarantine.Events = event.Discard{}
	}
	s := &Sharing{c: c, incidents: rumor.NewTopic[incident](c.Rumors, rumor.Quarantine), answers: rumor.NewTopic[answer](c.Rumors, rumor.Answered),
		waiting: map[uint64]*time.Timer{}, publishing: map[string]bool{}}
	c.Quarantine.OnSuspect, c.Quarantine.OnQuarantine, c.Quarantine.OnAnswer = s.onSuspect, s.onQuarantine, s.onAnswer
	s.q = quarantine.New(c.Quarantine)
	s.incidents.Subscribe(s.receiveIncident)
	s.answers.Subscribe(s.receiveAnswer)
	return s
}

// Quarantine returns the quarantine.
func (s *Sharing) Quarantine() *quarantine.Quarantine { return s.q }

// Close stops telling incidents that wait for Config.Delay.
func (s *Sharing) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, t := range s.waiting {
		t.Stop()
	}
}

// onSuspect tells an incident, at once or after Config.Delay.
func (s *Sharing) onSuspect(fingerprint uint64, i quarantine.Incident) {
	if s.c.Delay == 0 {
		s.publishIncident(fingerprint, i)
		return
	}
	s.mu.Lock()
	_, waits := s.waiting[fingerprint]
	if !i.Trial && !waits && len(s.waiting) < maxWaiting && !s.closed {
		s.waiting[fingerprint] = time.AfterFunc(s.c.Delay, func() {
			s.mu.Lock()
			delete(s.waiting, fingerprint)
			s.mu.Unlock()
			s.publishIncidents(fingerprint, maxTold)
		})
	}
	s.mu.Unlock()
	if i.Trial {
		s.publishIncidents(fingerprint, maxTold+maxToldTrials)
	}
}

// mayTell reports whether another suspect may be told, of at most n in toldWindow.
func (s *Sharing) mayTell(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.toldAt = slices.DeleteFunc(s.toldAt, func(at time.Time) bool { return now.Sub(at) > toldWindow })
	if len(s.toldAt) >= n {
		return false
	}
	s.toldAt = append(s.toldAt, now)
	return true
}

// publishIncidents tells the incidents of a request that is still a suspect, unless n were
// told within toldWindow.
func (s *Sharing) publishIncidents(fingerprint uint64, n int) {
	is := s.q.Incidents(fingerprint)
	if len(is) == 0 || !s.mayTell(n) || !s.q.MarkShared(fingerprint) {
		return
	}
	for _, i := range is[max(0, len(is)-maxShared):] {
		if !s.c.Rumors.Has(rumor.Quarantine, incidentKey(fingerprint, i.Searcher)) {
			s.publishIncident(fingerprint, i)
		}
	}
}

// publishIncident tells an incident.
func (s *Sharing) publishIncident(fingerprint uint64, i quarantine.Incident) {
	left := quarantine.SuspicionTTL - time.Since(i.At)
	s.publish(incidentKey(fingerprint, i.Searcher), func(key string) error { return s.incidents.Publish(key, incident{Incident: i}, left) })
}

// onQuarantine tells that a request is quarantined.
func (s *Sharing) onQuarantine(fingerprint uint64, until time.Time) {
	left := time.Until(until)
	s.publish(incidentKey(fingerprint, ""), func(key string) error {
		return s.incidents.Publish(key, incident{HeldMS: left.Milliseconds()}, min(left, rumor.MaxTTL))
	})
}

// onAnswer tells that a suspect was answered.
func (s *Sharing) onAnswer(fingerprint uint64, service string) {
	s.publish(incidentKey(fingerprint, service), func(key string) error { return s.answers.Publish(key, answer{service}, quarantine.SuspicionTTL) })
}

// publish publishes a rumor. This VM knows already what it says.
func (s *Sharing) publish(key string, publish func(key string) error) {
	s.mu.Lock()
	s.publishing[key] = true
	s.mu.Unlock()
	if err := publish(key); err != nil {
		s.c.Quarantine.Events.Emit(event.SharingFailed, key, err.Error())
	}
	s.mu.Lock()
	delete(s.publishing, key)
	s.mu.Unlock()
}

// isPublishing reports whether this VM is publishing a rumor. One of an earlier process of
// this VM comes from the others, and is news.
func (s *Sharing) isPublishing(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publishing[key]
}

// receiveIncident takes in an incident or a quarantine.
func (s *Sharing) receiveIncident(m rumor.Message[incident]) {
	fingerprint, ok := parseKey(m.Key)
	switch {
	case !ok || s.isPublishing(m.Key):
	case m.Value.HeldMS > 0:
		s.q.AddRemote(fingerprint, time.Now().Add(m.TTL), m.Origin)
	default:
		i := m.Value.Incident
		i.At = time.Now().Add(m.TTL - quarantine.SuspicionTTL)
		s.q.AddRemoteIncident(fingerprint, i, m.Origin)
	}
}

// receiveAnswer takes in an answer.
func (s *Sharing) receiveAnswer(m rumor.Message[answer]) {
	if fingerprint, ok := parseKey(m.Key); ok && !s.isPublishing(m.Key) {
		s.q.AddRemoteAnswer(fingerprint, m.Value.Service, time.Now().Add(m.TTL-quarantine.SuspicionTTL), m.Origin)
	}
}

// incidentKey returns the rumor key for a fingerprint and the name of a searcher or
// service, which is empty for a quarantine.
func incidentKey(fingerprint uint64, name string) string {
	if len(name) > maxNameBytes {
		name = strconv.FormatUint(xxhash.Sum64String(name), fingerprintBase)
	}
	return strconv.FormatUint(fingerprint, fingerprintBase) + "/" + name
}

// parseKey returns the fingerprint in a key made by incidentKey, and false if the key is
// not valid.
func parseKey(key string) (uint64, bool) {
	f, _, ok := strings.Cut(key, "/")
	fingerprint, err := strconv.ParseUint(f, fingerprintBase, 64)
	return fingerprint, ok && err == nil
}
