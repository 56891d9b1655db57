package member

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/world/zone"
)

const (
	// pushFanout is how many members of the own domain a push goes to.
	pushFanout = 4
	// leaveFanout is how many members of the own domain are told of a leave.
	leaveFanout = 8
	// pushCross is the chance that a push also goes to another domain.
	pushCross = 0.125
	// pushSpacing is the least time between two pushes.
	pushSpacing = 50 * time.Millisecond
)

// reach is how far a push goes.
type reach struct {
	// domains sends it to one member of each other domain as well.
	domains bool
	// home is how many members of the own domain get it.
	home int
}

// Push sends heartbeats to a few members at once, so that news get around
// faster than by one heartbeat a second. With domains, one member of each
// other failure domain gets one too.
func (m *Members) Push(domains bool) {
	r := reach{domains: domains, home: pushFanout}
	for {
		select {
		case m.pushes <- r:
			return
		case old := <-m.pushes:
			r.domains = r.domains || old.domains
		}
	}
}

// push starts the heartbeats of a push.
func (m *Members) push(r reach) {
	for _, u := range m.pushTargets(r) {
		m.wg.Go(func() { _ = m.beat(m.ctx, u.VM.Addr, u.VM.ID) })
	}
}

// pushWait sends the heartbeats of a push and waits for the answers.
func (m *Members) pushWait(ctx context.Context, r reach) {
	var wg sync.WaitGroup
	for _, u := range m.pushTargets(r) {
		wg.Go(func() { _ = m.beat(ctx, u.VM.Addr, u.VM.ID) })
	}
	wg.Wait()
}

func (m *Members) pushTargets(r reach) []Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	home := m.t.liveIn(m.home)
	m.rand.Shuffle(len(home), func(i, j int) { home[i], home[j] = home[j], home[i] })
	out := home[:min(r.home, len(home))]
	away := m.t.liveIn(m.abroad)
	m.rand.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
	if !r.domains {
		if len(away) > 0 && m.rand.Float64() < pushCross {
			out = append(out, away[0])
		}
		return out
	}
	seen := map[zone.Domain]bool{}
	for _, u := range away {
		if !seen[u.VM.Domain] {
			seen[u.VM.Domain] = true
			out = append(out, u)
		}
	}
	return out
}
