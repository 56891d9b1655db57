// Package retrypool bounds the extra sends of a group of VMs together.
//
// It answers the load of a large tier: a VM's own part of the bound is two or
// three sends to a service in ten seconds, so that one VM runs out of them by
// chance while others use none. The VMs of a group tell each other several times
// a second how many they have made. While the group is well within its part of
// the bound, a VM may make more than its own; once it is not, nobody hedges, and
// what is left goes to requests that failed.
//
// # Usage
//
//	p := retrypool.New(retrypool.Config{Bound: bound})
//	p.Report(now, "front-1", usage)
//	for service, level := range p.Levels(now) { ... }
package retrypool

import (
	"sync"
	"time"
)

const (
	// scarceShare is the part of the group's bound from which on nobody hedges,
	// and spentShare the one from which on VMs keep to their own part for
	// requests that failed too. What they send before they hear of it is within
	// the part of the allowance that groups do not divide.
	scarceShare = 0.6
	spentShare  = 0.9
	// memberTime is how long after its last report a VM counts.
	memberTime = 2 * time.Second
)

// Level tells how much of the group's bound is left for a service.
type Level int

// The levels.
const (
	// Plenty: VMs may exceed their own part.
	Plenty Level = iota
	// Scarce: they may for requests that failed, and hedge none.
	Scarce
	// Spent: they keep to their own part, and hedge none.
	Spent
)

// Usage is what one VM has sent to a service within the window.
type Usage struct {
	Service string
	// First are the first sends of requests, Extra all others.
	First, Extra int
}

// Config sets up a Pool.
type Config struct {
	// Bound returns how many extra sends to a service the given number of VMs
	// may make for a number of requests.
	Bound func(vms, first int) float64
}

// Pool adds up what VMs report. It is safe for concurrent use.
type Pool struct {
	c  Config
	mu sync.Mutex
	by map[string]report
}

// report is the last report of a VM.
type report struct {
	usage []Usage
	at    time.Time
}

// New returns a pool without VMs.
func New(c Config) *Pool { return &Pool{c: c, by: map[string]report{}} }

// Report takes what a VM has sent within the window.
func (p *Pool) Report(now time.Time, vm string, usage []Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.by[vm] = report{usage: usage, at: now}
}

// Levels returns the level of each service that is not Plenty.
func (p *Pool) Levels(now time.Time) map[string]Level {
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := map[string]Usage{}
	for vm, r := range p.by {
		if now.Sub(r.at) > memberTime {
			delete(p.by, vm)
			continue
		}
		for _, u := range r.usage {
			s := sums[u.Service]
			sums[u.Service] = Usage{First: s.First + u.First, Extra: s.Extra + u.Extra}
		}
	}
	out := map[string]Level{}
	for service, s := range sums {
		bound := p.c.Bound(len(p.by), s.First)
		switch extra := float64(s.Extra); {
		case extra >= spentShare*bound:
			out[service] = Spent
		case extra >= scarceShare*bound:
			out[service] = Scarce
		}
	}
	return out
}
