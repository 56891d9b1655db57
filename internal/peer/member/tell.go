package member

import (
	"context"
	"sync"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/rumor"
)

// tellAll is the largest number of members that are all told.
const tellAll = 16

// Tell sends heartbeats with what this node has published and waits for the
// answers, or the end of ctx. In a small fleet every live member is told, and
// every listed VM that has not joined yet; in a large one as many as by a push,
// from whom the others hear.
func (m *Members) Tell(ctx context.Context) {
	us := m.tellTargets(ctx)
	if len(us) > tellAll {
		m.pushWait(ctx, reach{domains: true, home: leaveFanout})
		return
	}
	rs := m.c.Rumors.Own(rumorBytes)
	var wg sync.WaitGroup
	for _, u := range us {
		wg.Go(func() { m.tellOne(ctx, u, rs) })
	}
	wg.Wait()
}

// tellOne sends a heartbeat with the given rumors until it is answered, some
// tries are used up, or ctx ends.
func (m *Members) tellOne(ctx context.Context, u Update, rs []rumor.Rumor) {
	for range pushTries {
		if m.beatWith(ctx, u.VM.Addr, u.VM.ID, rs) == nil || ctx.Err() != nil {
			return
		}
		m.rest(pushSpacing)
	}
}

// tellTargets returns the live members but this one, and the listed VMs that are
// no members yet.
func (m *Members) tellTargets(ctx context.Context) []Update {
	list := m.freshList(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	us := m.t.liveIn(m.anywhere)
	for _, v := range list {
		if _, member := m.t.all[v.ID]; !member && m.unknown(v) {
			us = append(us, Update{VM: v})
		}
	}
	return us
}

// freshList returns the list of VMs as it is now.
func (m *Members) freshList(ctx context.Context) []vm.VM {
	if m.c.Refresh != nil {
		return m.c.Refresh(ctx)
	}
	list, _ := m.c.VMs()
	return list
}
