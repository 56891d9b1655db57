// Package retrypool bounds the extra sends of a group of VMs together.
//
// It answers the load of a large tier: a VM's own part of the bound is two or
// three sends to a service in ten seconds, so that one VM runs out of them by
// chance while others use none. The VMs of a group tell each other several times
// a second how many they have made. While the group is well within its part of
// the bound, a VM may make more than its own; once it is not, nobody hedges.
//
// # Usage
//
//	p := retrypool.New(retrypool.Config{Bound: bound})
//	p.Report(now, "front-1", usage)
//	for _, service := range p.Spent(now) { ... }
package retrypool

import (
	"sync"
	"time"
)

const (
	// openShare is the part of the group's bound below which its VMs may exceed
	// their own. The rest is for what they send before they hear that it is
	// reached, and for requests that failed.
	openShare = 0.6
	// memberTime is how long after its last report a VM counts.
	memberTime = 2 * time.Second
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

// Spent returns the services for which no VM may exceed its own part.
func (p *Pool) Spent(now time.Time) []string {
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
	var out []string
	for service, s := range sums {
		if float64(s.Extra) >= openShare*p.c.Bound(len(p.by), s.First) {
			out = append(out, service)
		}
	}
	return out
}
