package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"egrethaven/internal/infra/boottime"
)

const (
	// simTrip is the time of a message, simPatience how long a request waits for a permit (a
	// quarter of the shortest objective), and simTimeout how long a VM waits for a reply.
	simTrip     = 1500 * time.Microsecond
	simPatience = 12500 * time.Microsecond
	simTimeout  = 400 * time.Millisecond
)

// sim simulates a deployment on a simulated clock.
type sim struct {
	origin boottime.Instant
	now    time.Duration
	queue  events
	order  int
	random *rand.Rand
	vms    []*simVM
	// others are the VMs that any of them may choose: those with wide links, and the first one
	// of the rest.
	others []Candidate
	// limits and counts have an entry for each account.
	limits map[uint64]Limit
	counts map[uint64]*simCount
	calls  int
}

// simCount counts the requests of an account.
type simCount struct{ asked, served int }

// share returns the share of the requests that were served.
func (c *simCount) share() float64 { return float64(c.served) / float64(c.asked) }

// simVM is a simulated VM.
type simVM struct {
	Candidate
	pool    *Pool
	member  *Member
	chooser *Chooser
	// coordinator is the VM in use; it is usable if it answered the last call.
	coordinator Candidate
	usable      bool
	down        bool
	calling     bool
	// wakeAt is when the VM checks next whether a call is due.
	wakeAt  time.Duration
	waiting []simRequest
}

// simRequest is a request of an account that waits until a time.
type simRequest struct {
	account uint64
	until   time.Duration
}

// simEvent is something that happens at a time. Those of the same time keep their order.
type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

// events is a heap of events.
type events []simEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// newSim returns a deployment of n VMs in three failure domains that have run for ten seconds. The
// accounts have the numbers from account on.
func newSim(n int, limits ...Limit) *sim {
	s := &sim{origin: boottime.Now(), limits: map[uint64]Limit{}, vms: make([]*simVM, n), random: rand.New(rand.NewPCG(1, 2))}
	for i, l := range limits {
		s.limits[account+uint64(i)] = l
	}
	s.reset()
	for i := range s.vms {
		s.start(i)
	}
	s.run(10 * time.Second)
	s.reset()
	return s
}

// reset starts to count at 0.
func (s *sim) reset() {
	s.calls, s.counts = 0, map[uint64]*simCount{}
	for a := range s.limits {
		s.counts[a] = &simCount{}
	}
}

// clock returns the simulated time.
func (s *sim) clock() boottime.Instant { return s.origin.Add(s.now) }

// after schedules an event.
func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + max(d, 0), s.order, do})
}

// run runs for a time.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// start starts a VM's process.
func (s *sim) start(i int) {
	v := &simVM{Candidate: Candidate{ID: fmt.Sprint("vm-", i), Domain: fmt.Sprint(i % 3), Addr: fmt.Sprint(i), LinkMbps: 20}}
	if i < 6 {
		v.LinkMbps = 200
		if len(s.others) <= i {
			s.others = append(s.others, v.Candidate)
		}
	}
	s.order++
	id := uint64(s.order) << 20
	rule := Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	v.pool = NewPool(PoolConfig{Incarnation: id, Rule: rule, Start: s.clock(), Limit: func(a uint64) (Limit, bool) { return s.limits[a], true }})
	v.member = NewMember(MemberConfig{VM: v.ID, Session: id, Start: s.clock(), Window: rule.Window})
	v.member.SetVMs(len(s.vms))
	v.chooser = NewChooser(v.Candidate)
	s.vms[i] = v
	s.after(time.Duration(s.random.Int64N(int64(Interval(len(s.vms))))), func() { s.poll(v) })
}

// poll has a VM call its coordinator if that is due, and plans the next time.
func (s *sim) poll(v *simVM) {
	if v.down || v.calling {
		return
	}
	if wait := v.member.Next(s.clock()).Sub(s.clock()); wait > 0 {
		if v.wakeAt <= s.now || s.now+wait < v.wakeAt {
			v.wakeAt = s.now + wait
			s.after(wait, func() { s.poll(v) })
		}
		return
	}
	to := v.chooser.Choose(s.clock(), s.others)
	if to != v.coordinator && v.usable {
		// A better VM is used only if it answers, and the fraction is taken back before.
		if s.vmAt(to.Addr).down {
			v.chooser.Fail(s.clock(), to.Addr, v.member.Starting())
			to = v.coordinator
		} else {
			c := v.member.Release(s.clock())
			if r, ok := s.vmAt(v.coordinator.Addr).pool.Serve(s.clock(), c); ok {
				v.member.End(s.clock(), c, r)
			}
		}
	}
	v.coordinator = to
	c := v.member.Begin(s.clock(), to.Addr)
	if to.ID != v.ID {
		c = v.pool.KeepEmpty(s.clock(), c)
	}
	v.calling = true
	s.calls++
	ended := false
	end := func(r Reply, ok bool) {
		if ended {
			return
		}
		ended, v.calling, v.usable = true, false, ok
		if ok {
			v.member.End(s.clock(), c, r)
		} else {
			v.chooser.Fail(s.clock(), to.Addr, v.member.Starting())
			v.member.Fail()
		}
		s.serveWaiting(v)
		s.poll(v)
	}
	s.after(simTrip, func() {
		if w := s.vmAt(to.Addr); !w.down {
			r, ok := w.pool.Serve(s.clock(), c)
			s.after(simTrip, func() { end(r, ok) })
		}
	})
	s.after(simTimeout, func() { end(Reply{}, false) })
}

// vmAt returns the VM at an address.
func (s *sim) vmAt(addr string) *simVM {
	var i int
	_, _ = fmt.Sscan(addr, &i)
	return s.vms[i]
}

// ask makes a request of an account at a VM that is not down.
func (s *sim) ask(v *simVM, a uint64) {
	s.counts[a].asked++
	ok, retryAfter := v.member.Take(s.clock(), a, s.limits[a])
	switch {
	case ok:
		s.counts[a].served++
	case retryAfter == 0:
		v.member.Wait(a, 1)
		v.waiting = append(v.waiting, simRequest{a, s.now + simPatience})
	}
	s.poll(v)
}

// serveWaiting serves or refuses the requests that waited for a call.
func (s *sim) serveWaiting(v *simVM) {
	var still []simRequest
	for _, r := range v.waiting {
		ok, retryAfter := false, time.Duration(0)
		if s.now <= r.until {
			ok, retryAfter = v.member.TakeAgain(s.clock(), r.account)
		}
		switch {
		case ok:
			s.counts[r.account].served++
		case retryAfter == 0 && s.now < r.until:
			still = append(still, r)
			continue
		}
		v.member.Wait(r.account, -1)
	}
	v.waiting = still
}

// load makes requests at random times for a time, at some VMs by chance, and runs until after it.
func (s *sim) load(perSecond float64, d time.Duration, vms int) {
	s.begin(account, perSecond, d, vms, s.random)
	s.run(d + time.Second)
}

// begin makes requests of an account as load does, while other events run.
func (s *sim) begin(a uint64, perSecond float64, d time.Duration, vms int, random *rand.Rand) {
	end := s.now + d
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		i := random.IntN(vms)
		for s.vms[i].down {
			i = (i + 1) % len(s.vms)
		}
		s.ask(s.vms[i], a)
		s.after(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// replace ends a tenth of the VMs at once and starts as many others; coordinator reports
// whether the coordinator is among them. All VMs count both for the time of a registration.
func (s *sim) replace(coordinator bool) {
	n := max(1, len(s.vms)/10)
	i := s.coordinator()
	if !coordinator {
		i = (i + 1) % len(s.vms)
	}
	for range n {
		s.vms[i].down = true
		i = (i + 10) % len(s.vms)
	}
	for range n {
		s.vms = append(s.vms, nil)
		s.start(len(s.vms) - 1)
	}
	for _, v := range s.vms {
		v.member.SetVMs(len(s.vms))
	}
}

// coordinator returns the number of the VM that most VMs use.
func (s *sim) coordinator() int {
	for i, v := range s.vms {
		if v.pool.Fraction(s.clock()) > 0.5 {
			return i
		}
	}
	return -1
}

// TestShares checks what an account gets in deployments of 9, 68 and 300 VMs, from one VM and
// from all, and how many calls that takes. An account that asks less than its rate was refused
// when permits lay at other VMs, and a coordinator of many VMs got more calls than it can read.
func TestShares(t *testing.T) {
	few, many, most := Limit{Rate: 4, Burst: 4}, Limit{Rate: 41, Burst: 20}, Limit{Rate: 1000, Burst: 100}
	all := []Limit{few, many, most}
	for _, c := range []struct {
		name         string
		demand, want float64
		maxCalls     float64
		limits       []Limit
		// replace and killed report whether a tenth of the VMs is replaced, with the coordinator.
		replace, killed bool
	}{
		{"bursts", 0.6, 0.999, 8, all, false, false},
		{"below the rate", 0.9, 0.99, 15, all, false, false},
		{"ten times the rate", 10, 0.9, 50, all, false, false},
		{"a tenth replaced", 0.9, 0.95, 25, []Limit{many, most}, true, false},
		{"a tenth replaced, few requests", 0.9, 0.95, 25, []Limit{few}, true, false},
		{"a tenth replaced with the coordinator", 0.9, 0.95, 25, all, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, n := range []int{9, 68, 300} {
				for _, from := range []int{1, n} {
					for _, l := range c.limits {
						s := newSim(n, l)
						s.load(c.demand*l.Rate, 2*time.Second, from)
						s.reset()
						// Ten times the rate of the largest account are most of the test's events.
						seconds := 30.0
						if c.demand > 1 {
							seconds = 10
						}
						if c.replace {
							s.after(5*time.Second, func() { s.replace(c.killed) })
						}
						s.load(c.demand*l.Rate, time.Duration(seconds)*time.Second, from)
						got := s.counts[account]
						share := float64(got.served) / min(float64(got.asked), l.Rate*seconds)
						calls := float64(s.calls) / (seconds + 1) / float64(n)
						t.Logf("from %d of %d VMs, rate %g: %.4f served, %.2f calls per VM and second", from, n, l.Rate, share, calls)
						if share < c.want || calls > c.maxCalls {
							t.Errorf("want %g and at most %g calls", c.want, c.maxCalls)
						}
					}
				}
			}
		})
	}
}

// TestGreedyAccount guards against an account that asks at ten times its rate and takes from what
// other accounts get: by calls that delay those for the requests of the others, or by messages
// that the coordinator does not get through.
func TestGreedyAccount(t *testing.T) {
	limits := []Limit{{Rate: 41, Burst: 20}, {Rate: 4, Burst: 4}, {Rate: 41, Burst: 20}, {Rate: 20, Burst: 0}, {Rate: 300, Burst: 100}}
	for _, n := range []int{9, 68, 300} {
		for _, from := range []int{1, n} {
			t.Run(fmt.Sprintf("from %d of %d", from, n), func(t *testing.T) {
				t.Parallel()
				play := func(greedy float64) map[uint64]*simCount {
					s := newSim(n, limits...)
					for i, l := range limits {
						a, demand, vms := account+uint64(i), 0.5, n
						if i == 0 {
							demand, vms = greedy, from
						}
						s.begin(a, demand*l.Rate, 32*time.Second, vms, rand.New(rand.NewPCG(a, 3)))
					}
					s.run(2 * time.Second)
					s.reset()
					s.run(31 * time.Second)
					return s.counts
				}
				without, with := play(0.001), play(10)
				for i := 1; i < len(limits); i++ {
					a := account + uint64(i)
					t.Logf("rate %g: %.4f without, %.4f with", limits[i].Rate, without[a].share(), with[a].share())
					if with[a].share() < without[a].share() {
						t.Errorf("an account of rate %g loses", limits[i].Rate)
					}
				}
				if got := float64(with[account].served) / (30 * limits[0].Rate); got < 0.9 {
					t.Errorf("the account that asks too much gets %.3f of its quota, want 0.9", got)
				}
			})
		}
	}
}
