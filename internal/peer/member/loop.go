package member

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
)

const (
	// crossShare is the chance that a round also goes to another domain.
	crossShare = 0.2
	// absentShare is the chance that a round also tries a VM that is listed
	// or was known, but is not live.
	absentShare = 0.2
	// focusShare is the chance that a suspicion has the next round look at
	// another member of the same domain.
	focusShare = 0.25
	// focusQuiet is the time without suspicions after which one is pushed.
	focusQuiet = 3 * time.Second
	// lateBy is by how much a round may be late before its silence counts
	// against this node and not against the one that did not answer.
	lateBy = time.Second
	// listFresh is the age up to which the platform's list tells which dead
	// members are worth trying.
	listFresh = time.Minute
	// joinTries is how many VMs a node without peers tries in a round.
	joinTries = 3
)

func (m *Members) loop() {
	m.join()
	next := time.Now().Add(m.spread(period))
	for {
		t := time.NewTimer(time.Until(next))
		select {
		case <-m.ctx.Done():
			t.Stop()
			return
		case r := <-m.pushes:
			t.Stop()
			m.push(r)
			m.rest(pushSpacing)
		case now := <-t.C:
			late := now.Sub(next) > lateBy
			next = now.Add(period - period/20 + m.spread(period/10))
			m.round(late)
		}
	}
}

// spread returns a random part of d.
func (m *Members) spread(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rand.Int64N(int64(d)))
}

func (m *Members) rest(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.ctx.Done():
	}
}

// round sends the heartbeats of one period.
func (m *Members) round(late bool) {
	m.locked(func(t *table, now time.Time) { t.expire(now) })
	if !m.joined.Load() {
		m.join()
	}
	if u, ok := m.nextHome(); ok {
		m.wg.Go(func() { m.check(u, late) })
	}
	if u, ok := m.randomOther(); ok {
		m.wg.Go(func() { m.check(u, late) })
	}
	if u, ok := m.randomFocused(); ok {
		m.wg.Go(func() { m.check(u, late) })
	}
	if a, ok := m.randomAbsent(); ok {
		m.wg.Go(func() { _ = m.beat(m.ctx, a, "") })
	}
}

// nextHome returns the next member of the own domain.
func (m *Members) nextHome() (Update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range 2 {
		for len(m.ring) > 0 {
			id := m.ring[0]
			m.ring = m.ring[1:]
			if e, ok := m.t.all[id]; ok && e.State.live() {
				return e.Update, true
			}
		}
		for _, u := range m.t.liveIn(m.home) {
			m.ring = append(m.ring, u.VM.ID)
		}
		m.rand.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
	return Update{}, false
}

func (m *Members) home(d failuredomain.Domain) bool { return d == m.c.Self.Domain }

func (m *Members) anywhere(failuredomain.Domain) bool { return true }

func (m *Members) abroad(d failuredomain.Domain) bool { return d != m.c.Self.Domain }

// randomOther returns now and then a member of another domain. A node without
// live members in its own domain always gets one.
func (m *Members) randomOther() (Update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ring) > 0 && m.rand.Float64() >= crossShare {
		return Update{}, false
	}
	return m.pick(m.t.liveIn(m.abroad))
}

func (m *Members) pick(us []Update) (Update, bool) {
	if len(us) == 0 {
		return Update{}, false
	}
	return us[m.rand.IntN(len(us))], true
}

// focusOn has the next round look, by chance, at another member of a domain
// that has a suspected one: members of a domain often fail together. It is
// true for the first suspicion in a while, which is worth a push.
func (m *Members) focusOn(d failuredomain.Domain) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rand.Float64() < focusShare {
		m.focus = d
	}
	now := time.Now()
	first := now.Sub(m.suspected) > focusQuiet
	m.suspected = now
	return first
}

// randomFocused returns a member of the domain in focus that is not suspected.
func (m *Members) randomFocused() (Update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.focus == "" {
		return Update{}, false
	}
	us := m.t.liveIn(func(d failuredomain.Domain) bool { return d == m.focus })
	m.focus = ""
	return m.pick(slices.DeleteFunc(us, func(u Update) bool { return u.State == Suspect }))
}

// randomAbsent returns now and then the address of a VM that is not known as
// live but may be.
func (m *Members) randomAbsent() (string, bool) {
	list, age := m.c.VMs()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rand.Float64() >= absentShare {
		return "", false
	}
	var as []string
	for _, v := range list {
		if m.unknown(v) {
			as = append(as, v.Addr)
		}
	}
	if len(list) == 0 || age > listFresh {
		for _, u := range m.t.updates() {
			if u.State == Dead {
				as = append(as, u.VM.Addr)
			}
		}
	}
	if len(as) == 0 {
		return "", false
	}
	return as[m.rand.IntN(len(as))], true
}

// unknown tells whether a listed VM is worth trying.
func (m *Members) unknown(v vm.VM) bool {
	if v.Role != vm.Entry || v.State != vm.Live || v.ID == m.c.Self.ID {
		return false
	}
	e, ok := m.t.all[v.ID]
	return !ok || e.State == Dead
}

// join reads the whole table of some VM that answers.
func (m *Members) join() {
	list, _ := m.c.VMs()
	m.mu.Lock()
	var as []string
	for _, v := range list {
		if v.Role == vm.Entry && v.ID != m.c.Self.ID {
			as = append(as, v.Addr)
		}
	}
	as = append(as, m.c.Seeds...)
	for _, u := range m.t.liveIn(m.anywhere) {
		as = append(as, u.VM.Addr)
	}
	m.rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	m.mu.Unlock()
	for _, a := range as[:min(joinTries, len(as))] {
		if m.ctx.Err() != nil || a == m.c.Self.Addr {
			continue
		}
		if m.beat(m.ctx, a, "") == nil && m.syncAll(m.ctx, a) == nil {
			m.joined.Store(true)
			m.Push(true)
			return
		}
	}
}

// check sends a heartbeat to a member and suspects it when neither that nor
// one through others is answered.
func (m *Members) check(u Update, late bool) {
	if m.beat(m.ctx, u.VM.Addr, u.VM.ID) == nil || m.ctx.Err() != nil || late {
		return
	}
	if m.probeThrough(u) || m.ctx.Err() != nil {
		return
	}
	m.locked(func(t *table, now time.Time) { t.suspect(u.VM.ID, u.Incarnation, now) })
}

// Leave tells peers that this node leaves. It does not stop the heartbeats.
func (m *Members) Leave(ctx context.Context) {
	m.locked(func(t *table, _ time.Time) { t.leave() })
	done := make(chan struct{})
	m.wg.Go(func() {
		defer close(done)
		m.pushWait(ctx, reach{domains: true, home: leaveFanout})
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
