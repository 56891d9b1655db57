package member

import (
	"context"
	"sync"

	"egrethaven/internal/peer/rumor"
)

// tellAll is the largest number of members that are all told.
const tellAll = 16

// Tell sends heartbeats with what this node has published and waits for the
// answers, or the end of ctx. In a small fleet every live member is told; in
// a large one as many as by a push, from whom the others hear.
func (m *Members) Tell(ctx context.Context) {
	us := m.tellTargets()
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

// tellTargets returns the live members but this one.
func (m *Members) tellTargets() []Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.liveIn(m.anywhere)
}
