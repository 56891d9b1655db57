// Package retrypool pools the retry budgets of a group of VMs.
//
// In a large tier a VM's own share of the limit is two or three extra sends to a
// service in ten seconds, so some VMs run out by chance while others use none.
// The VMs of a group report their sends to each other several times a second.
// While the group is well within its limit, a VM may exceed its own share. Above
// that, hedging stops and the remainder is kept for retries.
//
// # Usage
//
//	p := retrypool.New(retrypool.Config{Limit: limit})
//	p.Report(now, "front-1", usage)
//	for service, level := range p.Levels(now) { ... }
package retrypool

import (
	"sync"
	"time"
)

const (
	// scarceThreshold is the fraction of the group's limit from which VMs stop
	// hedging.
	scarceThreshold = 0.8
	// spentThreshold is the fraction of the group's limit from which VMs also limit
	// retries to their own share. Sends before VMs learn of the new level are
	// covered by the part of the allowance that is not divided among groups.
	spentThreshold = 0.9
	// memberTTL is how long a VM counts as a member after its last report.
	memberTTL = 2 * time.Second
)

// Level says how much of the group's limit for a service is left.
type Level int

// The levels.
const (
	// Plenty permits VMs to exceed their own share.
	Plenty Level = iota
	// Scarce permits this for retries only, and forbids hedges.
	Scarce
	// Spent limits retries to a VM's own share, and forbids hedges.
	Spent
)

// Usage counts the sends of one VM to a service within the window.
type Usage struct {
	Service string
	// First counts the first sends of requests, Extra hedges and retries.
	First, Extra int
}

// Config holds the settings of a Pool.
type Config struct {
	// Limit returns the number of extra sends to a service that the given number
	// of VMs may make together for the given number of first sends.
	Limit func(vms, first int) float64
}

// Pool adds up the usage reported by the VMs of a group. It is safe for
// concurrent use.
type Pool struct {
	c  Config
	mu sync.Mutex
	// reports holds the last report of each VM.
	reports map[string]report
}

// report is the last report of a VM.
type report struct {
	usage []Usage
	at    time.Time
}

// New returns a pool without reports.
func New(c Config) *Pool { return &Pool{c: c, reports: map[string]report{}} }

// Report replaces the usage of a VM.
func (p *Pool) Report(now time.Time, vm string, usage []Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[vm] = report{usage: usage, at: now}
}

// Levels returns the level of each service whose level is not Plenty.
func (p *Pool) Levels(now time.Time) map[string]Level {
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := map[string]Usage{}
	for vm, r := range p.reports {
		if now.Sub(r.at) > memberTTL {
			delete(p.reports, vm)
			continue
		}
		for _, u := range r.usage {
			s := sums[u.Service]
			sums[u.Service] = Usage{First: s.First + u.First, Extra: s.Extra + u.Extra}
		}
	}
	out := map[string]Level{}
	for service, s := range sums {
		limit := p.c.Limit(len(p.reports), s.First)
		switch extra := float64(s.Extra); {
		case extra >= spentThreshold*limit:
			out[service] = Spent
		case extra >= scarceThreshold*limit:
			out[service] = Scarce
		}
	}
	return out
}
