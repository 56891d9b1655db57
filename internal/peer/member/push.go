package member

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/infra/failuredomain"
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
	// pushTries is how many members are tried until one answers, or how often
	// one that has to be told: what fits, at beatTimeout each, into the 3 s by which all nodes
	// have to know of a drain.
	pushTries = 5
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
	targets := m.pushTargets(r)
	for _, us := range targets {
		m.wg.Go(func() { m.beatOne(m.ctx, us, len(targets)) })
	}
}

// pushWait sends the heartbeats of a push and waits for the answers.
func (m *Members) pushWait(ctx context.Context, r reach) {
	var wg sync.WaitGroup
	targets := m.pushTargets(r)
	for _, us := range targets {
		wg.Go(func() { m.beatOne(ctx, us, len(targets)) })
	}
	wg.Wait()
}

// beatOne sends heartbeats of a push to members in turn until one answers.
// peers is how many members the push goes to. All tries carry the same rumors,
// so that a push that meets dead members uses up no more of them.
func (m *Members) beatOne(ctx context.Context, us []Update, peers int) {
	rs := m.rumors(peers)
	for _, u := range us {
		if m.beatWith(ctx, u.VM.Addr, u.VM.ID, rs) == nil {
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	m.c.Rumors.GiveBack(rs)
}

// pushTargets returns, for each heartbeat of a push, the members to try in
// turn: a member that died lately is still listed as live.
func (m *Members) pushTargets(r reach) [][]Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	home := m.t.liveIn(m.home)
	m.rand.Shuffle(len(home), func(i, j int) { home[i], home[j] = home[j], home[i] })
	out := make([][]Update, min(r.home, len(home)))
	for i, u := range home {
		if c := &out[i%len(out)]; len(*c) < pushTries {
			*c = append(*c, u)
		}
	}
	away := m.t.liveIn(m.abroad)
	m.rand.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
	if !r.domains {
		if len(away) > 0 && m.rand.Float64() < pushCross {
			out = append(out, away[:min(pushTries, len(away))])
		}
		return out
	}
	domain := map[failuredomain.Domain]int{}
	for _, u := range away {
		i, ok := domain[u.VM.Domain]
		if !ok {
			i = len(out)
			domain[u.VM.Domain] = i
			out = append(out, nil)
		}
		if len(out[i]) < pushTries {
			out[i] = append(out[i], u)
		}
	}
	return out
}
