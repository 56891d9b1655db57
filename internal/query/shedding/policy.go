package shedding

import (
	"math"
	"sync"
	"time"
)

const (
	// memory is the time over which past requests lose their weight (by a factor of e).
	memory = 5 * time.Second
	// refreshInterval is the time between two computations of the standings.
	refreshInterval = 100 * time.Millisecond
	// A class is behind if it was served less often than behindRatio times the average of
	// its priority, and starved below starvedRatio times that of all. The bounds to be kept
	// are 0.8 and 0.25; the rest is for the time until the standings take effect.
	behindRatio  = 0.92
	starvedRatio = 0.4
	// minAsked is the weight of past requests from which a class is compared to others.
	minAsked = 3
	// forgetBelow is the weight of past requests below which a class is forgotten.
	forgetBelow = 0.05
)

// Class identifies requests that have to be served about equally often as others of
// their priority.
type Class struct {
	Route, Account string
}

// key is a class at one priority: an account's priority may change.
type key struct {
	Class
	priority int
}

// tally counts requests, weighted by age.
type tally struct {
	asked, served float64
}

// add adds another tally.
func (t *tally) add(o tally) {
	t.asked += o.asked
	t.served += o.served
}

// below reports whether the share of served requests is less than a factor of another one.
func (t *tally) below(factor float64, o tally) bool {
	return t.asked >= minAsked && t.served*o.asked < factor*o.served*t.asked
}

// record is what is known of one class.
type record struct {
	tally
	standing Standing
}

// Policy keeps the record of how often the classes were served. It is safe for concurrent
// use.
type Policy struct {
	mu          sync.Mutex
	records     map[key]*record
	refreshedAt time.Time
}

// NewPolicy returns a policy without records.
func NewPolicy() *Policy { return &Policy{records: map[key]*record{}} }

// Standing returns the standing of a class with the given priority; 0 is the highest.
func (p *Policy) Standing(now time.Time, c Class, priority int) Standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.standingOf(now, key{c, priority})
}

// Peek returns what Standing would, and changes nothing: a class that is not in use yet would
// take part in the ranks of the others.
func (p *Policy) Peek(now time.Time, c Class, priority int) Standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	scratch := Policy{records: make(map[key]*record, len(p.records)+1), refreshedAt: p.refreshedAt}
	for k, r := range p.records {
		clone := *r
		scratch.records[k] = &clone
	}
	return scratch.standingOf(now, key{c, priority})
}

// standingOf is Standing. The lock is held.
func (p *Policy) standingOf(now time.Time, k key) Standing {
	r := p.recordOf(k)
	if now.Sub(p.refreshedAt) >= refreshInterval {
		p.refresh(now)
	}
	return r.standing
}

// Ended counts a request that was served or not.
func (p *Policy) Ended(c Class, priority int, served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.recordOf(key{c, priority})
	r.asked++
	if served {
		r.served++
	}
}

// recordOf returns the record of a class. The lock is held.
func (p *Policy) recordOf(k key) *record {
	r := p.records[k]
	if r == nil {
		r = &record{standing: Standing{Rank: p.rank(k.priority)}}
		p.records[k] = r
	}
	return r
}

// rank returns the number of higher priorities in use, at most maxRank. The lock is held.
func (p *Policy) rank(priority int) int {
	var higher [maxRank]int
	n := 0
next:
	for k := range p.records {
		if k.priority >= priority {
			continue
		}
		for _, seen := range higher[:n] {
			if seen == k.priority {
				continue next
			}
		}
		if higher[n] = k.priority; n == maxRank-1 {
			return maxRank
		}
		n++
	}
	return n
}

// refresh ages the records, forgets old ones and computes all standings. The lock is held.
func (p *Policy) refresh(now time.Time) {
	if p.refreshedAt.IsZero() {
		p.refreshedAt = now
	}
	keep := math.Exp(-float64(now.Sub(p.refreshedAt)) / float64(memory))
	p.refreshedAt = now
	var all tally
	peers := map[int]tally{}
	for k, r := range p.records {
		r.asked *= keep
		r.served *= keep
		if r.asked > 0 && r.asked < forgetBelow {
			delete(p.records, k)
			continue
		}
		all.add(r.tally)
		t := peers[k.priority]
		t.add(r.tally)
		peers[k.priority] = t
	}
	ranks := map[int]int{}
	for priority := range peers {
		ranks[priority] = p.rank(priority)
	}
	for k, r := range p.records {
		r.standing = Standing{Rank: ranks[k.priority], Behind: r.below(behindRatio, peers[k.priority]), Starved: r.below(starvedRatio, all)}
	}
}
