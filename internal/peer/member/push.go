package member

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/infra/failuredomain"
)

const (
	// pushFanout is the number of members of this node's domain that get a
	// push.
	pushFanout = 4
	// leaveFanout is the number of members of this node's domain that get the
	// announcement of a leave, or a broadcast in a large fleet.
	leaveFanout = 8
	// crossDomainPushProbability is the probability that a local push also
	// goes to another domain.
	crossDomainPushProbability = 0.125
	// minPushInterval is the minimum time between two pushes.
	minPushInterval = 50 * time.Millisecond
	// maxPushAttempts is the number of members tried until one answers, or the
	// number of attempts to reach one member of a broadcast. At
	// heartbeatTimeout each, that fits into the 3 s within which all nodes
	// have to know of a drain.
	maxPushAttempts = 5
)

// pushScope selects the recipients of a push.
type pushScope struct {
	// allDomains also sends the push to one member of each other domain.
	allDomains bool
	// localFanout is the number of recipients in this node's domain.
	localFanout int
}

// Push sends heartbeats to a few members without waiting for the next round, so
// that updates spread faster. With allDomains, one member of each other failure
// domain gets one too. Push does not block; pending pushes are combined.
func (m *Membership) Push(allDomains bool) {
	scope := pushScope{allDomains: allDomains, localFanout: pushFanout}
	for {
		select {
		case m.pushes <- scope:
			return
		case old := <-m.pushes:
			scope.allDomains = scope.allDomains || old.allDomains
		}
	}
}

// push starts sending the heartbeats of a push.
func (m *Membership) push(scope pushScope) {
	targets := m.pushTargets(scope)
	for _, us := range targets {
		m.wg.Go(func() { m.pushToFirst(m.ctx, us, len(targets)) })
	}
}

// pushAndWait sends the heartbeats of a push and waits for the answers.
func (m *Membership) pushAndWait(ctx context.Context, scope pushScope) {
	var wg sync.WaitGroup
	targets := m.pushTargets(scope)
	for _, us := range targets {
		wg.Go(func() { m.pushToFirst(ctx, us, len(targets)) })
	}
	wg.Wait()
}

// pushToFirst sends the heartbeat of a push to members in turn until one
// answers. peers is the number of recipients of the push. All attempts carry
// the same rumors, so that attempts to reach dead members don't count as sends.
func (m *Membership) pushToFirst(ctx context.Context, us []Update, peers int) {
	rs := m.takeRumors(peers)
	for _, u := range us {
		if m.sendHeartbeatWith(ctx, u.VM.Addr, u.VM.ID, rs) == nil {
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	m.c.Rumors.Requeue(rs)
}

// pushTargets returns, for each heartbeat of a push, the members to try in
// turn, since a member that died recently is still listed as live.
func (m *Membership) pushTargets(scope pushScope) [][]Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	local := m.t.liveIn(m.isLocal)
	m.rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	out := make([][]Update, min(scope.localFanout, len(local)))
	for i, u := range local {
		if c := &out[i%len(out)]; len(*c) < maxPushAttempts {
			*c = append(*c, u)
		}
	}
	remote := m.t.liveIn(m.isRemote)
	m.rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	if !scope.allDomains {
		if len(remote) > 0 && m.rand.Float64() < crossDomainPushProbability {
			out = append(out, remote[:min(maxPushAttempts, len(remote))])
		}
		return out
	}
	index := map[failuredomain.Domain]int{}
	for _, u := range remote {
		i, ok := index[u.VM.Domain]
		if !ok {
			i = len(out)
			index[u.VM.Domain] = i
			out = append(out, nil)
		}
		if len(out[i]) < maxPushAttempts {
			out[i] = append(out[i], u)
		}
	}
	return out
}
