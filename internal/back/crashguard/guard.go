// Package crashguard keeps requests that crash searchers away from them.
//
// A Guard learns from the calls of a gateway which requests were under way on searchers
// that ended, and tells how a request may run. The evidence itself, and what other VMs
// know, is in package quarantine; package lostcalls tells a crash from a lost connection.
//
// A suspect runs alone: one call to one searcher, before anything else is sent. Several
// arrivals of the same suspect at this VM wait for each other.
//
// # Usage
//
//	g := crashguard.New(crashguard.Config{Quarantine: q})
//	v := g.Verdict(fingerprint)
//	end, running := g.BeginTrial(fingerprint)
//	g.RecordLoss(lostcalls.Call{...})
//	g.RecordAnswer(lostcalls.Call{...}, sentAt)
//	g.SearcherEnded("i-1")
package crashguard

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"egrethaven/internal/back/lostcalls"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/observe/event"
)

// maxLoggedCalls is the maximum number of requests that the event of a lost searcher names.
const maxLoggedCalls = 16

// Config configures a Guard.
type Config struct {
	Quarantine *quarantine.Quarantine
	Events     event.Sink
}

// Guard decides how requests may run. It is safe for concurrent use.
type Guard struct {
	c  Config
	mu sync.Mutex
	// lost holds the calls whose searchers are not known to have ended.
	lost *lostcalls.Tracker
	// trials holds the suspects that run now; the channel is closed at the end.
	trials map[uint64]chan struct{}
}

// New returns a Guard.
func New(c Config) *Guard {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Guard{c: c, lost: lostcalls.New(), trials: map[uint64]chan struct{}{}}
}

// Verdict returns how a request may run.
func (g *Guard) Verdict(fingerprint uint64) quarantine.Verdict {
	return g.c.Quarantine.Verdict(fingerprint)
}

// Peek returns how a request may run, and changes nothing. running reports whether it is the
// suspect of a trial that is under way at this VM.
func (g *Guard) Peek(fingerprint uint64) (v quarantine.Verdict, running bool) {
	g.mu.Lock()
	_, running = g.trials[fingerprint]
	g.mu.Unlock()
	return g.c.Quarantine.Peek(fingerprint), running
}

// BeginTrial reserves the trial of a suspect. If one is under way at this VM, it returns a
// channel that is closed at its end. Otherwise end has to be called once.
func (g *Guard) BeginTrial(fingerprint uint64) (end func(), running <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.trials[fingerprint]; ok {
		return nil, c
	}
	c := make(chan struct{})
	g.trials[fingerprint] = c
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.trials, fingerprint)
		close(c)
	}, nil
}

// RecordLoss records a call that ended without an answer after it had been sent.
func (g *Guard) RecordLoss(c lostcalls.Call) {
	g.mu.Lock()
	n := g.lost.Add(c.At, c)
	g.mu.Unlock()
	if n > 0 {
		g.suspect(c, n)
	}
}

// RecordAnswer records the answer to a call that was sent at a time.
func (g *Guard) RecordAnswer(c lostcalls.Call, sentAt time.Time) {
	g.mu.Lock()
	g.lost.Answered(c, sentAt)
	g.mu.Unlock()
	g.c.Quarantine.RecordServiceAnswer(c.Fingerprint, c.Service)
}

// SearcherEnded records that the process of a searcher has ended. The requests whose calls
// were lost with it become suspects.
func (g *Guard) SearcherEnded(searcher string) {
	g.mu.Lock()
	lost := g.lost.End(time.Now(), searcher)
	g.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	requests := map[uint64]bool{}
	lost = slices.DeleteFunc(lost, func(c lostcalls.Call) bool {
		again := requests[c.Fingerprint]
		requests[c.Fingerprint] = true
		return again
	})
	g.c.Events.Emit(event.SearcherLost, searcher, describe(lost))
	for _, c := range lost {
		g.suspect(c, len(lost))
	}
}

// suspect adds a call to the evidence, given the number of calls that were lost together.
func (g *Guard) suspect(c lostcalls.Call, calls int) {
	g.c.Quarantine.AddIncident(c.Fingerprint, incident(c, calls))
}

// incident returns the evidence of a call, given the number of calls that were lost together.
func incident(c lostcalls.Call, calls int) quarantine.Incident {
	return quarantine.Incident{Searcher: c.Searcher, Service: c.Service, At: c.At, Weight: 1 / float64(calls), Trial: c.Trial}
}

// describe returns a text that names lost calls.
func describe(lost []lostcalls.Call) string {
	var names []string
	for _, c := range lost[:min(len(lost), maxLoggedCalls)] {
		names = append(names, quarantine.FormatFingerprint(c.Fingerprint))
	}
	return fmt.Sprintf("%d requests were under way: %s", len(lost), strings.Join(names, " "))
}

// Evidence returns what is known against a request, also from calls whose searchers are
// not known to have ended, to be passed on with it to another VM.
func (g *Guard) Evidence(fingerprint uint64) []quarantine.Incident {
	g.mu.Lock()
	lost := g.lost.Lost(fingerprint)
	g.mu.Unlock()
	is := append([]quarantine.Incident(nil), g.c.Quarantine.Incidents(fingerprint)...)
	for _, c := range lost {
		is = append(is, incident(c, len(lost)))
	}
	return is
}

// AddEvidence adds what another VM that hands a request over knows against it.
func (g *Guard) AddEvidence(fingerprint uint64, is []quarantine.Incident) {
	for _, i := range is {
		g.c.Quarantine.AddHandedOver(fingerprint, i)
	}
}
