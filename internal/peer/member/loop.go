package member

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
)

const (
	// crossDomainProbability is the probability that a round also sends a
	// heartbeat to another domain.
	crossDomainProbability = 0.2
	// absentProbability is the probability that a round also tries a VM that
	// is listed or was a member, but is not live.
	absentProbability = 0.2
	// focusProbability is the probability that a suspicion makes the next
	// round probe another member of the same domain.
	focusProbability = 0.25
	// suspicionPushGap is the time without suspicions after which the next
	// one is pushed.
	suspicionPushGap = 3 * time.Second
	// maxRoundDelay is the delay of a round above which a missing answer is
	// attributed to this node and the other member is not suspected.
	maxRoundDelay = time.Second
	// maxListAge is the age up to which the platform's list decides which dead
	// members are tried again.
	maxListAge = time.Minute
	// maxJoinAttempts is the number of VMs that a node that has not joined
	// tries per round.
	maxJoinAttempts = 3
)

func (m *Membership) loop() {
	m.join()
	next := time.Now().Add(m.randomDuration(heartbeatInterval))
	for {
		t := time.NewTimer(time.Until(next))
		select {
		case <-m.ctx.Done():
			t.Stop()
			return
		case r := <-m.pushes:
			t.Stop()
			m.push(r)
			m.sleep(minPushInterval)
		case now := <-t.C:
			delayed := now.Sub(next) > maxRoundDelay
			next = now.Add(heartbeatInterval - heartbeatInterval/20 + m.randomDuration(heartbeatInterval/10))
			m.round(delayed)
		}
	}
}

// randomDuration returns a random duration in [0, d).
func (m *Membership) randomDuration(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rand.Int64N(int64(d)))
}

func (m *Membership) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.ctx.Done():
	}
}

// round sends the heartbeats of one heartbeatInterval. delayed is true if the
// round started late.
func (m *Membership) round(delayed bool) {
	m.withTable(func(t *table, now time.Time) { t.expire(now) })
	if !m.joined.Load() {
		m.join()
	}
	if u, ok := m.nextLocal(); ok {
		m.wg.Go(func() { m.probeMember(u, delayed) })
	}
	if u, ok := m.randomRemote(); ok {
		m.wg.Go(func() { m.probeMember(u, delayed) })
	}
	if u, ok := m.randomFocused(); ok {
		m.wg.Go(func() { m.probeMember(u, delayed) })
	}
	if a, ok := m.randomAbsent(); ok {
		m.wg.Go(func() { _ = m.sendHeartbeat(m.ctx, a, "") })
	}
}

// nextLocal returns the next live member of this node's domain in ring order,
// and reshuffles the ring when it is used up.
func (m *Membership) nextLocal() (Update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range 2 {
		for len(m.ring) > 0 {
			id := m.ring[0]
			m.ring = m.ring[1:]
			if e, ok := m.t.members[id]; ok && e.State.live() {
				return e.Update, true
			}
		}
		for _, u := range m.t.liveIn(m.isLocal) {
			m.ring = append(m.ring, u.VM.ID)
		}
		m.rand.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
	return Update{}, false
}

func (m *Membership) isLocal(d failuredomain.Domain) bool { return d == m.c.Self.Domain }

func (m *Membership) anyDomain(failuredomain.Domain) bool { return true }

func (m *Membership) isRemote(d failuredomain.Domain) bool { return d != m.c.Self.Domain }

// randomRemote returns a random member of another domain with
// crossDomainProbability, or always if the ring is empty, as it is when no
// other member of this node's domain is live.
func (m *Membership) randomRemote() (Update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ring) > 0 && m.rand.Float64() >= crossDomainProbability {
		return Update{}, false
	}
	return m.pick(m.t.liveIn(m.isRemote))
}

func (m *Membership) pick(us []Update) (Update, bool) {
	if len(us) == 0 {
		return Update{}, false
	}
	return us[m.rand.IntN(len(us))], true
}

// recordSuspicion records a suspected member of domain d. With focusProbability
// the next round probes another member of d, as members of a domain often fail
// together. It returns true if there was no suspicion for suspicionPushGap.
func (m *Membership) recordSuspicion(d failuredomain.Domain) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rand.Float64() < focusProbability {
		m.focusDomain = d
	}
	now := time.Now()
	quietBefore := now.Sub(m.lastSuspicion) > suspicionPushGap
	m.lastSuspicion = now
	return quietBefore
}

// randomFocused returns a random unsuspected member of focusDomain, and clears
// focusDomain.
func (m *Membership) randomFocused() (Update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.focusDomain == "" {
		return Update{}, false
	}
	us := m.t.liveIn(func(d failuredomain.Domain) bool { return d == m.focusDomain })
	m.focusDomain = ""
	return m.pick(slices.DeleteFunc(us, func(u Update) bool { return u.State == Suspect }))
}

// randomAbsent returns, with absentProbability, the address of a random VM that
// is not known to be live: a listed one or, if the list is empty or older than
// maxListAge, any dead member.
func (m *Membership) randomAbsent() (string, bool) {
	list, age := m.c.VMs()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rand.Float64() >= absentProbability {
		return "", false
	}
	var addrs []string
	for _, v := range list {
		if m.worthTrying(v) {
			addrs = append(addrs, v.Addr)
		}
	}
	if len(list) == 0 || age > maxListAge {
		for _, u := range m.t.updates() {
			if u.State == Dead {
				addrs = append(addrs, u.VM.Addr)
			}
		}
	}
	if len(addrs) == 0 {
		return "", false
	}
	return addrs[m.rand.IntN(len(addrs))], true
}

// worthTrying reports whether v is listed as a live entry VM but is not a
// member, or is a dead one.
func (m *Membership) worthTrying(v vm.VM) bool {
	if v.Role != vm.Entry || v.State != vm.Live || v.ID == m.c.Self.ID {
		return false
	}
	e, ok := m.t.members[v.ID]
	return !ok || e.State == Dead
}

// join reads the whole member table of the first of maxJoinAttempts random VMs
// that answers.
func (m *Membership) join() {
	list, _ := m.c.VMs()
	m.mu.Lock()
	var addrs []string
	for _, v := range list {
		if v.Role == vm.Entry && v.ID != m.c.Self.ID {
			addrs = append(addrs, v.Addr)
		}
	}
	addrs = append(addrs, m.c.Seeds...)
	for _, u := range m.t.liveIn(m.anyDomain) {
		addrs = append(addrs, u.VM.Addr)
	}
	m.rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	m.mu.Unlock()
	for _, a := range addrs[:min(maxJoinAttempts, len(addrs))] {
		if m.ctx.Err() != nil || a == m.c.Self.Addr {
			continue
		}
		if m.sendHeartbeat(m.ctx, a, "") == nil && m.syncAll(m.ctx, a) == nil {
			m.joined.Store(true)
			m.Push(true)
			return
		}
	}
}

// probeMember sends a heartbeat to a member and suspects it if neither that nor
// an indirect probe is answered. It suspects nobody if the round was delayed.
func (m *Membership) probeMember(u Update, delayed bool) {
	if m.sendHeartbeat(m.ctx, u.VM.Addr, u.VM.ID) == nil || m.ctx.Err() != nil || delayed {
		return
	}
	if m.probeIndirectly(u) || m.ctx.Err() != nil {
		return
	}
	m.withTable(func(t *table, now time.Time) { t.suspect(u.VM.ID, u.Incarnation, now) })
}

// Leave announces to peers that this node leaves, and waits until they have
// answered or ctx ends. It does not stop the heartbeats.
func (m *Membership) Leave(ctx context.Context) {
	m.withTable(func(t *table, _ time.Time) { t.leave() })
	done := make(chan struct{})
	m.wg.Go(func() {
		defer close(done)
		m.pushAndWait(ctx, pushScope{allDomains: true, localFanout: leaveFanout})
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
