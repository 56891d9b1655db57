package quarantine

import "time"

// generations is a set whose members are forgotten after a time: it keeps a
// young and an old generation, and drops the old one when the young is full
// or has aged.
type generations struct {
	most  int
	life  time.Duration
	young map[uint64]struct{}
	old   map[uint64]struct{}
	since time.Time
}

// newGenerations returns a set that keeps its members for life to twice life.
func newGenerations(most int, life time.Duration) generations {
	return generations{most: most, life: life, young: map[uint64]struct{}{}}
}

// add puts f into the young generation.
func (g *generations) add(f uint64, now time.Time) {
	g.turn(now)
	g.young[f] = struct{}{}
}

// has tells whether f is a member.
func (g *generations) has(f uint64, now time.Time) bool {
	g.turn(now)
	if _, ok := g.young[f]; ok {
		return true
	}
	_, ok := g.old[f]
	return ok
}

// remove takes f out.
func (g *generations) remove(f uint64) {
	delete(g.young, f)
	delete(g.old, f)
}

// turn begins a new generation when it is time.
func (g *generations) turn(now time.Time) {
	if len(g.young) < g.most && now.Sub(g.since) < g.life {
		return
	}
	g.old = g.young
	if now.Sub(g.since) >= 2*g.life {
		g.old = nil
	}
	g.young, g.since = map[uint64]struct{}{}, now
}
