// Package peerchoice chooses the VM to which a request is handed over.
//
// A VM that is cut off from searchers does not know which other VMs reach them. It
// learns that from the requests that it hands over: a VM that cannot serve one says so
// at once, and is left alone for a while. VMs that served requests of the route lately
// are preferred, those of the own failure domain first. Now and then one that is not
// known is tried, so that the load spreads. While no VM of a failure domain answers, as
// in a partition between domains, one request at a time finds out when it does again.
//
// # Usage
//
//	t := peerchoice.New(peerchoice.Config{Domain: "sapporo"})
//	p, ok := t.Choose(now, "route", peers, tried)
//	t.Begin(now, p)
//	t.End(now, "route", p, peerchoice.Served)
package peerchoice

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// declinedCooldown is how long a VM gets no requests of a route after it declined
	// one, and failedCooldown how long it gets none at all after it did not answer. Up to
	// half of it is added as jitter.
	declinedCooldown = time.Second
	failedCooldown   = 2 * time.Second
	// provenTime is how long a VM that served a request of a route is preferred.
	provenTime = 5 * time.Second
	// maxSilence is the age of an unanswered request from which on a VM, or a failure
	// domain, that has not answered since gets no others.
	maxSilence = 300 * time.Millisecond
	// exploreShare is the share of requests that try an unknown VM of the own failure
	// domain although another one is known to serve.
	exploreShare = 0.2
)

// Peer is a VM to which requests may be handed over.
type Peer struct {
	// Addr is its address for other VMs.
	Addr   string
	Domain string
}

// Outcome is the result of handing a request over.
type Outcome int

// The outcomes.
const (
	// Served means that the VM answered the request, also if it refused it.
	Served Outcome = iota
	// Declined means that the VM cannot serve the request.
	Declined
	// Failed means that no answer arrived.
	Failed
)

// Config configures a Tracker.
type Config struct {
	// Domain is this VM's failure domain.
	Domain string
}

// Tracker keeps what is known of other VMs. It is safe for concurrent use.
type Tracker struct {
	c  Config
	mu sync.Mutex
	// peers holds what is known by address, domains by failure domain.
	peers, domains map[string]*contact
}

// contact is what is known of a VM or a failure domain.
type contact struct {
	// pending counts the requests without an answer, the first of which was sent at
	// pendingSince.
	pending      int
	pendingSince time.Time
	lastAnswer   time.Time
	// failedUntil is when it may get requests again.
	failedUntil time.Time
	// routes holds what is known by route.
	routes map[string]*routeContact
}

// routeContact is what is known of a VM and a route.
type routeContact struct{ declinedUntil, servedAt time.Time }

// New returns a Tracker that knows nothing.
func New(c Config) *Tracker {
	return &Tracker{c: c, peers: map[string]*contact{}, domains: map[string]*contact{}}
}

// rank orders VMs; a lower one is preferred.
type rank int

const (
	provenLocal rank = iota
	provenRemote
	unknownLocal
	unknownRemote
	unusable
)

// Choose returns the VM to hand a request of a route over to. It reports false if there
// is none that may be able to serve it. tried reports the VMs that are left out.
func (t *Tracker) Choose(now time.Time, route string, peers []Peer, tried func(Peer) bool) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var byRank [unusable][]Peer
	for _, p := range peers {
		if tried(p) {
			continue
		}
		if r := t.rank(now, route, p); r != unusable {
			byRank[r] = append(byRank[r], p)
		}
	}
	if len(byRank[unknownLocal]) > 0 && rand.Float64() < exploreShare {
		return t.leastPending(byRank[unknownLocal]), true
	}
	for _, ps := range byRank {
		if len(ps) > 0 {
			return t.leastPending(ps), true
		}
	}
	return Peer{}, false
}

// rank returns the rank of a VM. The lock is held.
func (t *Tracker) rank(now time.Time, route string, p Peer) rank {
	if t.domainOf(p).isSilent(now) {
		return unusable
	}
	c := t.contactOf(p)
	if c.isSilent(now) {
		return unusable
	}
	k := c.routes[route]
	local := p.Domain == t.c.Domain
	switch {
	case k != nil && now.Before(k.declinedUntil):
		return unusable
	case k != nil && !k.servedAt.IsZero() && now.Sub(k.servedAt) < provenTime:
		if local {
			return provenLocal
		}
		return provenRemote
	case local:
		return unknownLocal
	}
	return unknownRemote
}

// isSilent reports whether the VM or failure domain does not answer.
func (c *contact) isSilent(now time.Time) bool {
	return now.Before(c.failedUntil) || c.pending > 0 && c.lastAnswer.Before(c.pendingSince) && now.Sub(c.pendingSince) > maxSilence
}

// leastPending returns the one of two random VMs with fewer requests under way. The lock
// is held.
func (t *Tracker) leastPending(ps []Peer) Peer {
	a, b := ps[rand.IntN(len(ps))], ps[rand.IntN(len(ps))]
	if t.contactOf(b).pending < t.contactOf(a).pending {
		return b
	}
	return a
}

// contactOf returns what is known of a VM. The lock is held.
func (t *Tracker) contactOf(p Peer) *contact { return lookUp(t.peers, p.Addr) }

// domainOf returns what is known of a VM's failure domain. The lock is held.
func (t *Tracker) domainOf(p Peer) *contact { return lookUp(t.domains, p.Domain) }

// lookUp returns the contact of a name, which it creates if there is none.
func lookUp(m map[string]*contact, name string) *contact {
	c := m[name]
	if c == nil {
		c = &contact{routes: map[string]*routeContact{}}
		m[name] = c
	}
	return c
}

// Begin records that a request is handed over to a VM.
func (t *Tracker) Begin(now time.Time, p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contactOf(p).begin(now)
	t.domainOf(p).begin(now)
}

// begin records a request.
func (c *contact) begin(now time.Time) {
	if c.pending == 0 || c.lastAnswer.After(c.pendingSince) {
		c.pendingSince = now
	}
	c.pending++
}

// End records the outcome of a request of a route that was handed over to a VM.
func (t *Tracker) End(now time.Time, route string, p Peer, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, d := t.contactOf(p), t.domainOf(p)
	c.pending--
	d.pending--
	if o == Failed {
		until := now.Add(failedCooldown + rand.N(failedCooldown/2))
		c.failedUntil = until
		if d.lastAnswer.Before(d.pendingSince) {
			d.failedUntil = until
		}
		return
	}
	c.lastAnswer, d.lastAnswer = now, now
	d.failedUntil = time.Time{}
	k := c.routes[route]
	if k == nil {
		k = &routeContact{}
		c.routes[route] = k
	}
	if o == Declined {
		*k = routeContact{declinedUntil: now.Add(declinedCooldown + rand.N(declinedCooldown/2))}
		return
	}
	*k = routeContact{servedAt: now}
}

// Retain forgets all VMs but the given ones.
func (t *Tracker) Retain(peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[string]bool, len(peers))
	for _, p := range peers {
		known[p.Addr] = true
	}
	for addr, c := range t.peers {
		if !known[addr] && c.pending == 0 {
			delete(t.peers, addr)
		}
	}
}
