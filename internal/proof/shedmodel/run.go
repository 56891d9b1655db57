package shedmodel

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"egrethaven/internal/query/shedding"
)

// event is something that happens at a time of the run.
type event struct {
	at time.Duration
	// seq keeps events of one time in the order in which they were added.
	seq int
	do  func()
}

// events is a heap of events by time.
type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || e.list[i].at == e.list[j].at && e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	n := len(e.list) - 1
	x := e.list[n]
	e.list = e.list[:n]
	return x
}

// after runs a function after a time.
func (m *model) after(d time.Duration, do func()) {
	m.events.seq++
	heap.Push(&m.events, event{at: m.now + d, seq: m.events.seq, do: do})
}

// Run plays the load and returns what the callers got.
func Run(c Config) Result {
	m := &model{c: c, rng: rand.New(rand.NewPCG(c.Seed, 0)), result: Result{}, accounts: slices.Sorted(maps.Keys(c.Accounts))}
	for n := range c.VMs {
		v := &vm{domain: n%c.Domains + 1, policy: shedding.NewPolicy()}
		for shard := range c.Shards {
			for r := range c.Replicas {
				phase := time.Duration(0)
				if c.PauseEvery > 0 {
					phase = time.Duration(shard*c.Replicas+r) * 997 * time.Millisecond % c.PauseEvery
				}
				v.links = append(v.links, &link{shard: shard, domain: r%c.Domains + 1, pausePhase: phase})
			}
		}
		m.vms = append(m.vms, v)
	}
	for n := range c.Routes {
		for _, a := range m.accounts {
			m.scheduleArrivals(&c.Routes[n], a)
		}
	}
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.result
}

// scheduleArrivals adds the requests of one route and account, a Poisson process whose
// rate follows the faults.
func (m *model) scheduleArrivals(r *Route, account string) {
	base := r.Rate * m.c.Accounts[account]
	peak := base
	for _, f := range m.c.Faults {
		peak = max(peak, base*f.Load)
	}
	for t := time.Duration(0); ; {
		t += time.Duration(m.rng.ExpFloat64() / peak * float64(time.Second))
		if t >= m.c.Length {
			return
		}
		rate := base
		for _, f := range m.c.Faults {
			if f.Load > 0 && t >= f.From && t < f.To && (f.Account == "" || f.Account == account) {
				rate *= f.Load
			}
		}
		n, u, shard := m.rng.IntN(m.c.VMs), m.rng.Float64(), m.rng.IntN(m.c.Shards)
		if u < rate/peak {
			m.after(t, func() { m.arrive(n, r, account, shard) })
		}
	}
}

// arrive admits a request and queues its sends.
func (m *model) arrive(n int, r *Route, account string, shard int) {
	v, now := m.vms[n], at(m.now)
	k := Key{Route: r.Name, Account: account, Domain: v.domain}
	if m.result[k] == nil {
		m.result[k] = &Count{}
	}
	q := &request{vm: n, route: r, class: shedding.Class{Route: r.Name, Account: account}, count: m.result[k], needed: 1, pending: 1, arrived: m.now}
	q.count.Asked++
	shards := []int{shard}
	if r.FanOut {
		shards = make([]int, m.c.Shards)
		for s := range shards {
			shards[s] = s
		}
		q.needed, q.pending = int(math.Ceil(m.c.MinCoverage*float64(m.c.Shards)-1e-9)), m.c.Shards
	}
	q.shed = shedding.Request{Standing: v.policy.Standing(now, q.class, r.Priority), Arrived: now,
		Objective: now.Add(r.Objective), Deadline: now.Add(r.Deadline), Service: r.Service, Sends: len(shards)}
	var links []*link
	var waits []time.Duration
	for _, s := range shards {
		if l, wait := m.best(v, s, q); l != nil {
			links, waits = append(links, l), append(waits, wait)
		}
	}
	slices.Sort(waits)
	if len(links) < q.needed {
		m.end(q, &q.count.Refused)
		return
	}
	patience := r.Objective
	if m.c.Order == ValuePerWork {
		patience = q.shed.Standing.Patience(r.Objective, r.Service)
	}
	if wait := waits[q.needed-1]; wait > 0 && wait+r.Service > patience {
		m.end(q, &q.count.Refused)
		return
	}
	q.pending = len(links)
	for _, l := range links {
		l.queue = append(l.queue, &send{request: q, service: time.Duration((0.6 + 0.8*m.rng.Float64()) * float64(r.Service))})
		m.dispatch(l)
	}
	m.after(r.Objective, func() { m.check(q) })
	m.after(r.Deadline, func() {
		if !q.done {
			m.end(q, &q.count.Failed)
		}
	})
}

// best returns the usable link of a VM to a shard with the shortest wait; nil if there is
// none.
func (m *model) best(v *vm, shard int, q *request) (*link, time.Duration) {
	var best *link
	var shortest time.Duration
	for _, l := range v.links[shard*m.c.Replicas : (shard+1)*m.c.Replicas] {
		if !m.usable(v, l) {
			continue
		}
		wait := time.Duration(0)
		if l.busy >= m.c.Conns {
			wait = l.running / time.Duration(2*m.c.Conns)
			for _, s := range l.queue {
				if !s.request.done && m.goesFirst(s.request, q) {
					wait += s.service / time.Duration(m.c.Conns)
				}
			}
			wait = time.Duration(float64(wait) * m.slowness(l))
		}
		if best == nil || wait < shortest {
			best, shortest = l, wait
		}
	}
	return best, shortest
}

// goesFirst reports whether a waiting request is sent before a new one.
func (m *model) goesFirst(waiting, q *request) bool {
	switch m.c.Order {
	case StrictPriority:
		return waiting.route.Priority <= q.route.Priority
	case EarliestDeadline:
		return !q.shed.Objective.Before(waiting.shed.Objective)
	case ValuePerWork:
		return waiting.shed.Value(at(m.now)) >= q.shed.Value(at(m.now))
	}
	return true
}

// active returns the faults in force.
func (m *model) active(yield func(Fault) bool) {
	for _, f := range m.c.Faults {
		if m.now >= f.From && m.now < f.To && !yield(f) {
			return
		}
	}
}

// usable reports whether a VM can send over a link now.
func (m *model) usable(v *vm, l *link) bool {
	for f := range m.active {
		if f.Gone && l.shard < f.Shards || f.Domain > 0 && (v.domain == f.Domain) != (l.domain == f.Domain) {
			return false
		}
	}
	return true
}

// slowness returns the factor of the service times at a link's searcher.
func (m *model) slowness(l *link) float64 {
	for f := range m.active {
		if f.Slow > 0 && l.shard < f.Shards {
			return f.Slow
		}
	}
	return 1
}

// dispatch sends what waits at a link as long as a connection is free.
func (m *model) dispatch(l *link) {
	for l.busy < m.c.Conns {
		l.queue = slices.DeleteFunc(l.queue, func(s *send) bool { return s.request.done })
		if len(l.queue) == 0 {
			return
		}
		n := m.next(l)
		s := l.queue[n]
		l.queue = slices.Delete(l.queue, n, n+1)
		d := time.Duration(float64(s.service) * m.slowness(l))
		if m.c.PauseEvery > 0 {
			// The part of a pause that is left when it meets the send.
			into := (m.now + l.pausePhase) % m.c.PauseEvery
			if into < m.c.Pause {
				d += m.c.Pause - into
			} else if into+d > m.c.PauseEvery {
				d += m.c.Pause
			}
		}
		l.busy++
		l.running = d
		m.after(d, func() { m.answered(l, s.request) })
	}
}

// next returns the index of the waiting send that goes first.
func (m *model) next(l *link) int {
	before := func(less func(a, b *request) bool) int {
		best := 0
		for n := range l.queue {
			if less(l.queue[n].request, l.queue[best].request) {
				best = n
			}
		}
		return best
	}
	switch m.c.Order {
	case StrictPriority:
		return before(func(a, b *request) bool { return a.route.Priority < b.route.Priority })
	case EarliestDeadline:
		return before(func(a, b *request) bool { return a.shed.Objective.Before(b.shed.Objective) })
	case ValuePerWork:
		return l.picker.Next(at(m.now), len(l.queue), func(n int) shedding.Request { return l.queue[n].request.shed })
	}
	return 0
}

// answered handles the end of a send. A link that was cut meanwhile has lost the answer.
func (m *model) answered(l *link, q *request) {
	l.busy--
	if m.usable(m.vms[q.vm], l) && !q.done {
		q.got++
	}
	q.pending--
	m.check(q)
	m.dispatch(l)
}

// check ends a request whose answer is determined.
func (m *model) check(q *request) {
	took := m.now - q.arrived
	switch {
	case q.done:
	case q.pending == 0 && q.got < q.needed:
		m.end(q, &q.count.Failed)
	case q.got < q.needed || q.pending > 0 && took < q.route.Objective:
	case took <= q.route.Objective:
		m.end(q, &q.count.InTime)
	default:
		m.end(q, &q.count.Late)
	}
}

// end counts the result of a request.
func (m *model) end(q *request, result *int) {
	q.done = true
	*result++
	served := result == &q.count.InTime || result == &q.count.Late
	m.vms[q.vm].policy.Ended(q.class, q.route.Priority, served)
}
