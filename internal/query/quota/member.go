package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"egrethaven/internal/infra/boottime"
)

const (
	// minStart is the shortest time after which the fraction of a new VM counts. The other VMs
	// count this one by then.
	minStart = 3 * time.Second
	// idleAccount is the time without requests after which no permits are held in advance.
	idleAccount = 10 * time.Second
	// burstCalls calls may follow each other at once, and then one every minGap.
	burstCalls = 3
	minGap     = 20 * time.Millisecond
	// overGap is the time between calls that only accounts over their quota need. They do not count
	// for the others: with three calls and then one every 20 ms for all accounts, one account at ten
	// times its rate cost another one at the same VMs a tenth of its requests.
	overGap = 2 * minGap
	// overTime is how long an account counts as over its quota after a reply without enough permits
	// or a refusal that followed from it.
	overTime = time.Second
	// minRefusal is the shortest time for which requests are refused after a reply without
	// permits, so that an account over its quota does not cost a call for each request.
	minRefusal = 100 * time.Millisecond
	// refillShare is the share of the granted permits below which more are asked for, if at least
	// minRefill were granted. With fewer, most calls would be for permits that nobody uses.
	refillShare = 0.25
	minRefill   = 4
)

// MemberConfig configures a Member.
type MemberConfig struct {
	VM string
	// Session is a random number.
	Session uint64
	// Start is when the process started.
	Start boottime.Instant
	// Window is that of the Rule.
	Window time.Duration
}

// Member holds the permits of a VM. It is safe for concurrent use.
type Member struct {
	c  MemberConfig
	mu sync.Mutex
	// vms is the number of VMs; 0 if it is not known yet.
	vms         int
	coordinator string
	session     uint64
	// seq is the number of the latest call, and acked of the latest one of the session with
	// a reply, which came from process and had the time clock. It was received at echoAt.
	seq, acked uint64
	process    uint64
	clock      time.Duration
	echoAt     boottime.Instant
	// leaseEnd is when the fraction is back from this session's coordinator at the latest, and
	// freeAt from the coordinators of earlier sessions.
	leaseEnd, freeAt boottime.Instant
	delegates        bool
	// begunAt is when this process began to delegate to its latest coordinator, begun that session.
	begunAt boottime.Instant
	begun   uint64
	// free is set once this process's fraction counts, and counted if the other VMs count this
	// one since before it started.
	free, counted bool
	// called are the times of the last calls, the newest first, without those that only accounts
	// over their quota needed, of which the last one was at overCalled.
	called     [burstCalls]boottime.Instant
	overCalled boottime.Instant
	// urgent reports whether a call is due as soon as allowed, and overdue whether one is due
	// for an account over its quota.
	urgent, overdue bool
	wake            chan struct{}
	accounts        map[uint64]*stock
}

// permits is a number of permits that expire, of which taken more are in use or used.
type permits struct {
	n, taken int
	until    boottime.Instant
}

// usable reports whether a request can take one.
func (p permits) usable(now boottime.Instant) bool { return p.n > 0 && now.Before(p.until) }

// stock is what a VM holds of an account.
type stock struct {
	limit Limit
	// current are the permits of this session's coordinator, of which granted were held after the
	// last reply; earlier are those of earlier sessions.
	current permits
	granted int
	earlier []permits
	// used and asked count since the last acknowledged call, whose reply took away what the
	// call had reported.
	used, asked                 int
	reportedUsed, reportedAsked int
	waiting                     int
	lastAsked                   boottime.Instant
	// fitsAt is when another permit fits; requests are refused until refusedUntil. The account
	// counts as over its quota until overUntil.
	fitsAt, refusedUntil, overUntil boottime.Instant
}

// NewMember returns a member without permits.
func NewMember(c MemberConfig) *Member {
	return &Member{c: c, session: c.Session, begunAt: c.Start, wake: make(chan struct{}, 1), accounts: map[uint64]*stock{}}
}

// Wake returns a channel that receives a value when the time of the next call has changed.
func (m *Member) Wake() <-chan struct{} { return m.wake }

// hurry makes the next call due as soon as allowed. The lock is held.
func (m *Member) hurry() {
	m.urgent = true
	m.notify()
}

// hurryFor makes the next call due as soon as allowed for an account. The lock is held.
func (m *Member) hurryFor(now boottime.Instant, s *stock) {
	if !now.Before(s.overUntil) {
		m.hurry()
		return
	}
	m.overdue = true
	m.notify()
}

// notify reports that the time of the next call has changed.
func (m *Member) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// SetCounted records that the other VMs have counted this one since before its process started.
func (m *Member) SetCounted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counted = true
}

// Starting reports whether this process's fraction does not count yet.
func (m *Member) Starting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.free
}

// Fail records that the last call got no reply. Another one, to another VM, is due.
func (m *Member) Fail() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hurry()
}

// SetVMs sets the number of VMs; 0 if it is not known yet.
func (m *Member) SetVMs(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = n
}

// Take takes a permit for a new request. If there is none, retryAfter is the time after which
// one fits, or 0 if the coordinator may have one: then the request can wait for a call.
func (m *Member) Take(now boottime.Instant, account uint64, l Limit) (ok bool, retryAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.accounts[account]
	if s == nil {
		s = &stock{limit: l}
		m.accounts[account] = s
	}
	s.setLimit(l)
	s.asked++
	s.lastAsked = now
	return m.take(now, s)
}

// TakeAgain is like Take for a request that has waited for a call.
func (m *Member) TakeAgain(now boottime.Instant, account uint64) (ok bool, retryAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.accounts[account]; s != nil {
		return m.take(now, s)
	}
	return false, 0
}

// take takes a permit. The lock is held.
func (m *Member) take(now boottime.Instant, s *stock) (ok bool, retryAfter time.Duration) {
	s.earlier = slices.DeleteFunc(s.earlier, func(p permits) bool { return !now.Before(p.until) })
	p, retryAfter := m.next(now, s)
	if p == nil {
		if !s.isRefused(now) {
			m.hurryFor(now, s)
			if retryAfter > 0 {
				s.overUntil = now.Add(overTime)
			}
		}
		return false, retryAfter
	}
	p.n--
	p.taken++
	if p == &s.current {
		s.used++
		if !s.isRefused(now) && s.granted >= minRefill && float64(s.current.n) < refillShare*float64(s.granted) {
			m.hurryFor(now, s)
		}
	}
	return true, 0
}

// setLimit sets the limit in force. Permits that were granted under a higher one are dropped.
func (s *stock) setLimit(l Limit) {
	if l.Rate < s.limit.Rate || l.Burst < s.limit.Burst {
		s.current.n, s.earlier = 0, nil
	}
	s.limit = l
}

// next returns the permits of which the next request takes one; nil if there is none. Then
// retryAfter is the time after which one fits, or 0 if the coordinator has to be asked. The lock
// is held.
func (m *Member) next(now boottime.Instant, s *stock) (p *permits, retryAfter time.Duration) {
	for i := range s.earlier {
		if e := &s.earlier[i]; e.usable(now) {
			return e, 0
		}
	}
	switch {
	case s.current.usable(now):
		return &s.current, 0
	case s.isRefused(now):
		return nil, max(s.fitsAt.Sub(now), time.Millisecond)
	}
	if due := m.overCalled.Add(overGap); now.Before(s.overUntil) && now.Before(due) {
		// Waiting for the next call would take too long for most requests.
		return nil, max(boottime.Later(s.fitsAt, due).Sub(now), time.Millisecond)
	}
	return nil, 0
}

// isRefused reports whether the coordinator has told not to ask for more permits yet.
func (s *stock) isRefused(now boottime.Instant) bool { return now.Before(s.refusedUntil) }

// lots returns the permits that a request can take.
func (s *stock) lots(now boottime.Instant) []Lot {
	var out []Lot
	for _, p := range append([]permits{s.current}, s.earlier...) {
		if p.usable(now) {
			out = append(out, Lot{Permits: p.n, For: p.until.Sub(now)})
		}
	}
	return out
}

// Lot is a number of permits that expire together.
type Lot struct {
	Permits int
	// For is how long they last.
	For time.Duration
}

// Outlook is what Take would return for the next request of an account.
type Outlook struct {
	OK         bool
	RetryAfter time.Duration
	// Lots are the permits that the VM holds.
	Lots []Lot
}

// WouldTake returns what Take would do, and changes nothing.
func (m *Member) WouldTake(now boottime.Instant, account uint64, l Limit) Outlook {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.accounts[account]
	if s == nil {
		return Outlook{}
	}
	after := *s
	after.setLimit(l)
	p, retryAfter := m.next(now, &after)
	return Outlook{OK: p != nil, RetryAfter: retryAfter, Lots: after.lots(now)}
}

// Wait adds to the number of requests of an account that wait for a permit.
func (m *Member) Wait(account uint64, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.accounts[account]; s != nil {
		s.waiting += n
	}
}

// Return gives back a permit whose request was not sent. A permit that has expired meanwhile is
// lost.
func (m *Member) Return(now boottime.Instant, account uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.accounts[account]
	if s == nil {
		return
	}
	for i := range s.earlier {
		if e := &s.earlier[i]; e.taken > 0 && now.Before(e.until) {
			e.n++
			e.taken--
			return
		}
	}
	if s.current.taken > 0 && now.Before(s.current.until) {
		s.current.n++
		s.current.taken--
		s.used--
	}
}

// Next returns when the next call is due.
func (m *Member) Next(now boottime.Instant) boottime.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.called[0].IsZero() {
		return now
	}
	next := m.called[0].Add(Interval(m.vms))
	switch soon := boottime.Later(m.called[0], m.called[burstCalls-1].Add(burstCalls*minGap)); {
	case m.urgent:
		next = soon
	case m.overdue:
		next = boottime.Later(soon, m.overCalled.Add(overGap))
	}
	if free := m.freeAt; !m.delegates && now.Before(free) && free.Before(next) {
		next = free
	}
	return next
}

// Begin returns the call to make now. The previous one is given up.
func (m *Member) Begin(now boottime.Instant, coordinator string) Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	if coordinator != m.coordinator {
		m.startSession(coordinator)
	}
	return m.begin(now, false)
}

// Release returns a call that ends the delegation to the current coordinator.
func (m *Member) Release(now boottime.Instant) Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begin(now, true)
}

// startSession starts to use a coordinator. The lock is held.
func (m *Member) startSession(coordinator string) {
	m.coordinator = coordinator
	m.session++
	m.acked, m.process, m.clock, m.echoAt = 0, 0, 0, boottime.Instant{}
	m.freeAt, m.leaseEnd = boottime.Later(m.freeAt, m.leaseEnd), boottime.Instant{}
	m.delegates = false
	for _, s := range m.accounts {
		if s.current.n > 0 || s.current.taken > 0 {
			s.earlier = append(s.earlier, s.current)
		}
		s.current, s.granted, s.used, s.asked = permits{}, 0, 0, 0
		s.refusedUntil, s.overUntil = boottime.Instant{}, boottime.Instant{}
	}
}

// begin returns a call. The lock is held.
func (m *Member) begin(now boottime.Instant, release bool) Call {
	m.seq++
	if m.overdue && !m.urgent && now.Before(m.called[0].Add(Interval(m.vms))) {
		m.overCalled = now
	} else {
		copy(m.called[1:], m.called[:])
		m.called[0] = now
	}
	m.urgent, m.overdue = false, false
	c := Call{VM: m.c.VM, Session: m.session, Seq: m.seq, Acked: m.acked, Coordinator: m.process, Clock: m.clock,
		Lease: Lease(m.vms), sentAt: now, echoAt: m.echoAt}
	start := c.Lease
	if !m.counted {
		start = max(start, minStart)
	}
	m.free = m.free || now.Sub(m.c.Start) >= start
	if !m.free {
		// A VM that does not know the number of VMs counts as starting for the others.
		if c.Starting = m.vms; m.vms == 0 {
			c.Starting = math.MaxInt32
		}
	}
	if m.delegates = m.free && m.vms > 0 && !release && m.acked > 0 && !now.Before(m.freeAt); m.delegates {
		c.VMs = m.vms
		m.leaseEnd = boottime.Later(m.leaseEnd, m.echoAt.Add(c.Lease))
		if m.begun != m.session {
			c.Allowance = now.Sub(m.begunAt) >= m.c.Window+allowanceLeases*c.Lease
			m.begunAt, m.begun = now, m.session
		}
	}
	for account, s := range m.accounts {
		if !now.Before(s.current.until) {
			s.current.n = 0
		}
		if s.used == 0 && s.waiting == 0 && now.Sub(s.lastAsked) > idleAccount {
			delete(m.accounts, account)
			continue
		}
		s.reportedUsed, s.reportedAsked = s.used, s.asked
		c.Reports = append(c.Reports, Report{Account: account, Held: s.current.n, Used: s.used, Asked: s.asked, Waiting: s.waiting})
	}
	return c
}

// End applies the reply to a call. A reply to another than the last call is ignored.
func (m *Member) End(now boottime.Instant, c Call, r Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Seq != m.seq || c.Session != m.session {
		return
	}
	if m.process != 0 && m.process != r.Coordinator {
		// The coordinator's process is another one. It does not know what this VM holds, and
		// the one before uses its fraction no more.
		m.leaseEnd = boottime.Instant{}
		m.startSession(m.coordinator)
		m.hurry()
		return
	}
	m.urgent = m.urgent || m.acked == 0 || r.Free && !m.free
	m.free = m.free || r.Free
	m.acked, m.process, m.clock, m.echoAt = c.Seq, r.Coordinator, r.Clock, now
	if c.VMs == 0 {
		m.leaseEnd = boottime.Instant{}
	}
	for _, a := range c.Reports {
		if s := m.accounts[a.Account]; s != nil {
			s.used -= s.reportedUsed
			s.asked -= s.reportedAsked
		}
	}
	until := c.sentAt.Add(c.Lease)
	for _, g := range r.Grants {
		s := m.accounts[g.Account]
		if s == nil {
			continue
		}
		s.current.n, s.current.until = max(0, g.Permits-s.used), until
		s.granted = g.Permits
		s.fitsAt, s.refusedUntil = now.Add(g.Wait), boottime.Instant{}
		if g.Wait > 0 {
			s.refusedUntil, s.overUntil = now.Add(max(g.Wait, minRefusal)), now.Add(overTime)
		}
	}
}

// Holding is what a VM holds of an account.
type Holding struct {
	Account uint64
	Limit   Limit
	Permits int
	// For is how long the permits last; 0 if there are none.
	For time.Duration
}

// Holdings returns what the VM holds of the accounts with requests lately.
func (m *Member) Holdings(now boottime.Instant) []Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Holding, 0, len(m.accounts))
	for account, s := range m.accounts {
		h := Holding{Account: account, Limit: s.limit}
		for _, l := range s.lots(now) {
			h.Permits += l.Permits
			h.For = max(h.For, l.For)
		}
		out = append(out, h)
	}
	return out
}
