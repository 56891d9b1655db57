package member

import (
	"context"
	"sync"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/rumor"
)

// maxBroadcastTargets is the largest number of VMs that Broadcast contacts
// individually.
const maxBroadcastTargets = 16

// Broadcast sends heartbeats with the rumors published by this node and waits
// for the answers or the end of ctx. Every live member gets one, and every
// listed VM that has not joined yet. If these are more than maxBroadcastTargets,
// it pushes to some members of this node's domain and one of each other domain,
// which pass the rumors on.
func (m *Membership) Broadcast(ctx context.Context) {
	us := m.broadcastTargets(ctx)
	if len(us) > maxBroadcastTargets {
		m.pushAndWait(ctx, pushScope{allDomains: true, localFanout: leaveFanout})
		return
	}
	rs := m.c.Rumors.OwnRumors(maxRumorBytes)
	var wg sync.WaitGroup
	for _, u := range us {
		wg.Go(func() { m.sendUntilAnswered(ctx, u, rs) })
	}
	wg.Wait()
}

// sendUntilAnswered sends a heartbeat with the given rumors until it is
// answered, maxPushAttempts are used up, or ctx ends.
func (m *Membership) sendUntilAnswered(ctx context.Context, u Update, rs []rumor.Rumor) {
	for range maxPushAttempts {
		if m.sendHeartbeatWith(ctx, u.VM.Addr, u.VM.ID, rs) == nil || ctx.Err() != nil {
			return
		}
		m.sleep(minPushInterval)
	}
}

// broadcastTargets returns the live members except this node, and the listed
// VMs that are not members yet.
func (m *Membership) broadcastTargets(ctx context.Context) []Update {
	list := m.refreshedList(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	us := m.t.liveIn(m.anyDomain)
	for _, v := range list {
		if _, member := m.t.members[v.ID]; !member && m.worthTrying(v) {
			us = append(us, Update{VM: v})
		}
	}
	return us
}

// refreshedList returns the platform's list of VMs, refreshed if possible.
func (m *Membership) refreshedList(ctx context.Context) []vm.VM {
	if m.c.Refresh != nil {
		return m.c.Refresh(ctx)
	}
	list, _ := m.c.VMs()
	return list
}
