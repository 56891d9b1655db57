package quota

import (
	"math"
	"sync"
	"time"

	"egrethaven/internal/infra/boottime"
)

const (
	// demandTime is the time constant of the moving average of demand.
	demandTime = 2 * time.Second
	// standingTime is how much demand a VM's permits in advance cover, and standingShare the
	// share of a bucket that all VMs may hold in advance. The rest is for bursts at single VMs.
	standingTime  = time.Second
	standingShare = 0.5
	// singleShare is the share of a bucket up to which each VM holds one permit in advance.
	singleShare = 0.25
	// minElapsed is the shortest time between two calls for the estimate of a rising demand.
	minElapsed = 20 * time.Millisecond
	// maxWait limits the time after which a permit fits.
	maxWait = 5 * time.Second
	// idleTime is how long an unused bucket is kept, at least.
	idleTime = time.Minute
	// maxCuts is the number of losses of fractions that are kept, for buckets that are created
	// later.
	maxCuts = 16
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Incarnation identifies this process; it is not 0.
	Incarnation uint64
	Rule        Rule
	// Start is the origin of the pool's clock.
	Start boottime.Instant
	// Limit returns the limit of an account. It reports false if the account has none.
	Limit func(account uint64) (Limit, bool)
}

// Pool holds the quota that VMs have delegated to this one. It is safe for concurrent use.
type Pool struct {
	c  PoolConfig
	mu sync.Mutex
	// clock is the time since Start of the latest call.
	clock   time.Duration
	vms     map[session]*delegation
	buckets map[uint64]*bucket
	// sum is the sum of the fractions, settled that of those among them that were delegated
	// for the time of a lease, and steady that of those delegated for a window more.
	sum, settled, steady float64
	total                integrals
	// cuts are the last losses of fractions, the oldest first, and clippedAt is the time of
	// the last one or of the last removal of unused buckets.
	cuts      []cut
	clippedAt time.Duration
	// emptyUntil is until when nothing can be delegated to this pool.
	emptyUntil time.Duration
}

// integrals are what buckets were filled with, in seconds at an account's rate: filled by the sum
// of the fractions, and boosted by what is added while VMs are missing. allowed is the sum of the
// fractions that began with an allowance.
type integrals struct{ filled, boosted, allowed float64 }

// since returns what was added after an earlier time.
func (i integrals) since(earlier integrals) integrals {
	return integrals{i.filled - earlier.filled, i.boosted - earlier.boosted, i.allowed - earlier.allowed}
}

// cut is a loss of fractions, after which buckets are cut to the capacity of the rest.
type cut struct {
	total        integrals
	sum, settled float64
}

// session identifies a period in which a VM uses this coordinator.
type session struct {
	vm string
	id uint64
}

// delegation is what is known of a VM's session.
type delegation struct {
	// seq is the number of the latest call, read at seenAt.
	seq    uint64
	seenAt time.Duration
	// fraction is delegated from since until until; it is 0 if none is.
	fraction     float64
	since, until time.Duration
	lease        time.Duration
	// starting is set while the VM's own fraction does not count yet, as it said after this process
	// had started, and ended once a later process of the VM has taken its fraction back. free is
	// set when all VMs were starting.
	starting, ended, free bool
	// accounts holds the accounts of which the VM may hold permits.
	accounts map[uint64]*holding
}

// holding is the permits that a VM may hold of an account.
type holding struct {
	permits int
	until   time.Duration
	// used is what the latest call reported.
	used int
	// demand is a moving average in requests per second, of the time demandAt.
	demand   float64
	demandAt time.Duration
}

// bucket is the token bucket of an account.
type bucket struct {
	limit Limit
	// level is the number of permits that can be granted, and total the pool's integrals
	// up to which it was filled.
	level float64
	total integrals
	// held holds the permits that VMs may hold; outstanding is their sum.
	held        map[session]*holding
	outstanding int
	// demand is the sum of the VMs' demands, of the time demandAt.
	demand   float64
	demandAt time.Duration
}

// NewPool returns a pool to which nothing is delegated.
func NewPool(c PoolConfig) *Pool {
	return &Pool{c: c, vms: map[session]*delegation{}, buckets: map[uint64]*bucket{}}
}

// Serve answers a call. It reports false if the call is older than one that was served. A call
// with the number 0 only asks whether this VM answers.
func (p *Pool) Serve(now boottime.Instant, c Call) (Reply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if c.Seq == 0 {
		return Reply{Coordinator: p.c.Incarnation, Clock: p.clock}, true
	}
	id := session{c.VM, c.Session}
	d := p.vms[id]
	if d == nil {
		d = &delegation{accounts: map[uint64]*holding{}}
		p.vms[id] = d
	}
	if c.Seq <= d.seq {
		return Reply{}, false
	}
	// The reply to the previous call did not arrive if it is not acknowledged. The VM then
	// reports what it had used before once more.
	repeated := c.Acked != d.seq
	d.seq, d.seenAt, d.lease = c.Seq, p.clock, min(c.Lease, maxLease)
	p.delegate(d, c)
	d.starting = c.Starting > 0 && c.Coordinator == p.c.Incarnation
	r := Reply{Coordinator: p.c.Incarnation, Clock: p.clock, Free: c.Starting > 0 && p.takesBack(id, c.Starting, d.lease)}
	reported := make(map[uint64]bool, len(c.Reports))
	for _, a := range c.Reports {
		reported[a.Account] = true
		if g, ok := p.grant(id, d, a, repeated); ok {
			r.Grants = append(r.Grants, g)
		}
	}
	for account := range d.accounts {
		if !reported[account] {
			p.giveBack(id, d, account)
		}
	}
	return r, true
}

// advance moves the clock to now. Leases that have ended stop counting at their end.
func (p *Pool) advance(now boottime.Instant) {
	p.total = p.totalAt(now.Sub(p.c.Start))
	p.clock = max(p.clock, now.Sub(p.c.Start))
	ended := false
	for id, d := range p.vms {
		if d.fraction > 0 && d.until <= p.clock {
			d.fraction, ended = 0, true
		}
		if d.fraction == 0 && p.clock-d.seenAt > 2*maxLease {
			p.forget(id, d)
		}
	}
	p.addFractions()
	if ended || p.clock-p.clippedAt > idleTime {
		p.clip()
	}
}

// totalAt returns the integrals at a time of the pool's clock.
func (p *Pool) totalAt(clock time.Duration) integrals {
	if clock <= p.clock {
		return p.total
	}
	sum, steady, elapsed := 0.0, 0.0, (clock - p.clock).Seconds()
	for _, d := range p.vms {
		if end := min(clock, d.until); d.fraction > 0 && end > p.clock {
			sum += d.fraction * (end - p.clock).Seconds()
			steady += d.fraction * max(0, end-max(p.clock, d.steadyAt(p.c.Rule))).Seconds()
		}
	}
	out := p.total
	out.filled += min(sum, elapsed)
	out.boosted += p.boostOf(sum, steady, elapsed)
	return out
}

// boostOf returns what is added to the sum of the fractions, of which some are steady. All may be
// integrals over a time; whole is that of 1.
func (p *Pool) boostOf(sum, steady, whole float64) float64 {
	return max(0, min(boostShare*p.c.Rule.Overage*steady, whole-sum))
}

// steadyAt returns since when a delegated fraction counts for the boost.
func (d *delegation) steadyAt(r Rule) time.Duration { return d.since + r.Window + d.lease }

// forget removes a session whose permits have all expired.
func (p *Pool) forget(id session, d *delegation) {
	for account, h := range d.accounts {
		p.buckets[account].drop(id, h)
	}
	delete(p.vms, id)
}

// delegate records the fraction that a call delegates, or that it delegates none.
func (p *Pool) delegate(d *delegation, c Call) {
	if c.VMs <= 0 {
		if d.fraction > 0 {
			d.fraction = 0
			p.addFractions()
			p.clip()
		}
		return
	}
	until := c.Clock + d.lease
	if d.ended || p.clock < p.emptyUntil || c.Coordinator != p.c.Incarnation || c.Clock > p.clock || until <= p.clock {
		return
	}
	f := 1 / float64(c.VMs)
	if d.fraction == 0 {
		d.since = p.clock
		if c.Allowance {
			p.total.allowed += f
		}
	}
	less := f < d.fraction
	d.fraction, d.until = f, until
	p.addFractions()
	if less {
		p.clip()
	}
}

// takesBack reports whether the fraction of a starting VM is free. It is if this coordinator
// holds it of the VM's process before, whose session ends then. It also is if all VMs are
// starting, as the processes to which they had delegated are gone as well, and those that are
// there keep their pools empty.
func (p *Pool) takesBack(id session, vms int, lease time.Duration) bool {
	held := false
	for o, d := range p.vms {
		if o.vm == id.vm && o != id {
			// A late call of the process before must not delegate the fraction again.
			held = held || d.fraction > 0
			d.fraction, d.ended = 0, true
		}
	}
	if held {
		p.addFractions()
		p.clip()
	}
	if p.clock < lease {
		p.freeStarting(vms)
	}
	return held || p.vms[id].free
}

// freeStarting frees the fractions of all VMs if all are starting. Those that know it first
// are not starting any more when the others call.
func (p *Pool) freeStarting(vms int) {
	latest := map[string]*delegation{}
	for o, d := range p.vms {
		if l := latest[o.vm]; l == nil || l.seenAt < d.seenAt || l.seenAt == d.seenAt && l.starting {
			latest[o.vm] = d
		}
	}
	starting := 0
	for _, d := range latest {
		if d.starting {
			starting++
		}
	}
	if starting < vms {
		return
	}
	for _, d := range latest {
		d.free = d.free || d.starting
	}
}

// KeepEmpty returns a call of this VM as it is to be sent to another one. If the call counts as one
// of a VM that is starting, the pool refuses delegations for two leases from now on, and if
// something is delegated to it already, the call does not count. The other VM may free the fractions
// of all VMs within a lease, and what this pool accepts within a second lease may have been sent by
// a process that has ended since. A call without an echo does not count, so that a VM that has only
// called one that is lost can coordinate at once.
func (p *Pool) KeepEmpty(now boottime.Instant, c Call) Call {
	if c.Starting == 0 || c.Coordinator == 0 {
		return c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if p.sum > 0 {
		c.Starting = 0
		return c
	}
	p.emptyUntil = p.clock + 2*c.Lease
	return c
}

// clip cuts all buckets to their capacity after the loss of a fraction. Otherwise what they
// held of it would count again when the fraction is back. Full buckets that are not in use are
// removed.
func (p *Pool) clip() {
	p.clippedAt = p.clock
	if p.cuts = append(p.cuts, cut{p.total, p.sum, p.settled}); len(p.cuts) > maxCuts {
		p.cuts = p.cuts[1:]
	}
	for account, b := range p.buckets {
		limited := p.update(account, b)
		if len(b.held) == 0 && p.clock-b.demandAt > idleTime && (!limited || b.level >= p.capacity(b.limit)) {
			delete(p.buckets, account)
		}
	}
}

// newBucket returns the bucket of an account that had no requests: as full as if it had
// existed since the oldest known cut, and empty then.
func (p *Pool) newBucket(account uint64) *bucket {
	l, _ := p.c.Limit(account)
	b := &bucket{limit: l, held: map[session]*holding{}, demandAt: p.clock}
	for i, c := range p.cuts {
		if i > 0 || len(p.cuts) < maxCuts {
			b.level = min(b.level+p.c.Rule.income(l, c.total.since(b.total)), p.capacityOf(l, c.sum, c.settled))
		}
		b.total = c.total
	}
	return b
}

// addFractions computes the sums of fractions. They count as at most 1 together.
func (p *Pool) addFractions() {
	p.sum, p.settled, p.steady = 0, 0, 0
	for _, d := range p.vms {
		p.sum += d.fraction
		if p.clock-d.since >= d.lease {
			p.settled += d.fraction
		}
		if p.clock >= d.steadyAt(p.c.Rule) {
			p.steady += d.fraction
		}
	}
	if p.sum > 1 {
		p.sum, p.settled = 1, p.settled/p.sum
	}
}

// capacity returns the capacity of a bucket in permits.
func (p *Pool) capacity(l Limit) float64 {
	return p.capacityOf(l, p.sum, p.settled)
}

// capacityOf returns the capacity for a sum of fractions.
func (p *Pool) capacityOf(l Limit, sum, settled float64) float64 {
	return sum*p.c.Rule.margin(l)/2 + settled*l.Burst
}

// update fills a bucket, drops permits that have expired and cuts the level. It reports false
// if the account has no limit.
func (p *Pool) update(account uint64, b *bucket) bool {
	l, ok := p.c.Limit(account)
	b.limit = l
	for id, h := range b.held {
		if h.until <= p.clock {
			b.drop(id, h)
			delete(p.vms[id].accounts, account)
		}
	}
	b.level += p.c.Rule.income(l, p.total.since(b.total))
	b.total = p.total
	b.level = max(0, min(b.level, p.capacity(l)-float64(b.outstanding)))
	return ok
}

// drop removes the permits of a VM.
func (b *bucket) drop(id session, h *holding) {
	b.outstanding -= h.permits
	delete(b.held, id)
}

// giveBack returns the permits of an account that a VM no longer reports: it has none.
func (p *Pool) giveBack(id session, d *delegation, account uint64) {
	b, h := p.buckets[account], d.accounts[account]
	delete(d.accounts, account)
	b.drop(id, h)
	b.level += float64(h.permits)
	p.update(account, b)
}

// grant answers a report. It reports false if the account has no limit.
func (p *Pool) grant(id session, d *delegation, r Report, repeated bool) (Grant, bool) {
	b := p.buckets[r.Account]
	if b == nil {
		b = p.newBucket(r.Account)
		p.buckets[r.Account] = b
	}
	if !p.update(r.Account, b) {
		return Grant{}, false
	}
	h := b.held[id]
	held := r.Held
	if h == nil {
		// What it holds has expired here, and is granted again.
		held = 0
		h = &holding{demandAt: p.clock}
		b.held[id], d.accounts[r.Account] = h, h
	} else {
		used := r.Used
		if repeated {
			used -= h.used
		}
		b.level += float64(max(0, h.permits-held-max(0, used)))
	}
	b.outstanding += held - h.permits
	h.permits, h.used, h.until = held, r.Used, p.clock+d.lease
	p.update(r.Account, b)
	elapsed := p.clock - h.demandAt
	p.addDemand(b, h, r.Asked)
	total, wait := p.divide(b, h, r, elapsed)
	b.level -= float64(max(0, total-held))
	b.outstanding += max(held, total) - held
	h.permits = max(held, total)
	return Grant{Account: r.Account, Permits: total, Wait: wait}, true
}

// addDemand adds a number of requests to the averages of a VM and of all VMs.
func (p *Pool) addDemand(b *bucket, h *holding, asked int) {
	decay := func(since time.Duration) float64 {
		return math.Exp(-float64(p.clock-since) / float64(demandTime))
	}
	added := float64(asked) / demandTime.Seconds()
	h.demand = h.demand*decay(h.demandAt) + added
	b.demand = b.demand*decay(b.demandAt) + added
	h.demandAt, b.demandAt = p.clock, p.clock
}

// divide returns how many permits a VM is to hold, at most those that it has and the bucket's
// level, and the time after which another one fits if that is fewer than it needs. elapsed is
// the time since the VM's previous report.
func (p *Pool) divide(b *bucket, h *holding, r Report, elapsed time.Duration) (total int, wait time.Duration) {
	capacity, rate := p.capacity(b.limit), p.c.Rule.income(b.limit, integrals{filled: p.sum, boosted: p.boostOf(p.sum, p.steady, 1)})
	part := 1.0
	if b.demand > 0 {
		part = min(1, h.demand/b.demand)
	}
	// The average follows a rise only after some calls.
	demand := max(h.demand, float64(r.Asked)/max(elapsed, minElapsed).Seconds())
	standing := math.Min(math.Ceil(demand*standingTime.Seconds()), math.Floor(standingShare*capacity*part))
	if standing < 1 && float64(len(b.held)) <= singleShare*capacity {
		standing = 1
	}
	// What is held in advance leaves the rest of the bucket for requests that wait.
	standing = min(standing, float64(h.permits)+max(0, math.Floor(b.level-(1-standingShare)*capacity)))
	need := standing + float64(r.Waiting)
	if b.demand > rate {
		need = min(need, max(1, math.Ceil(capacity*part)))
	}
	total = int(min(need, float64(h.permits)+math.Floor(b.level)))
	if total >= int(standing)+r.Waiting {
		return total, 0
	}
	if rate <= 0 {
		return total, waitOf(1)
	}
	left := b.level - float64(total-h.permits)
	seconds := max(0, 1-left) / rate
	if b.demand > rate && part > 0 {
		seconds = max(seconds, 1/(rate*part))
	}
	return total, waitOf(seconds)
}

// waitOf returns a wait of some seconds, at least a millisecond and at most maxWait.
func waitOf(seconds float64) time.Duration {
	return time.Duration(min(maxWait.Seconds(), max(0.001, seconds)) * float64(time.Second))
}

// Fraction returns the sum of the fractions that are delegated to this VM.
func (p *Pool) Fraction(now boottime.Instant) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	return p.sum
}
