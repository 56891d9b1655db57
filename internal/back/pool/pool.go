package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/link"
)

// The errors of Get besides those of the context.
const (
	// ErrRefused is returned if no link is open and none could be opened.
	ErrRefused = errors.ConstError("connection refused")
	// ErrClosed is returned if the pool is closed.
	ErrClosed = errors.ConstError("pool closed")
)

// sweepInterval is the time between two checks of the idle links.
const sweepInterval = time.Second

// Config configures a Pool.
type Config struct {
	// Link configures the links.
	Link link.Config
	// Max is the maximum number of open links.
	Max int
	// Warm is the number of links kept open ahead of need, at least 1 and within
	// Max.
	Warm int
	// Probe checks over a new link whether the searcher answers. It runs after a
	// failed dial, and when a call is late and no other link shows whether the
	// searcher works. If it is nil, late calls wait for their deadline.
	Probe func(ctx context.Context, l *link.Link) bool
	// Maintainer runs the background maintenance. If it is nil, the pool creates
	// its own.
	Maintainer *Maintainer
	// OnSilent, if not nil, is called with the pool locked when a connection is
	// found silent.
	OnSilent func()
	// DisableSilenceDetection turns off the detection of silent connections.
	DisableSilenceDetection bool
}

// Pool holds the links of one searcher.
type Pool struct {
	ctx          context.Context
	stop         context.CancelFunc
	wg           sync.WaitGroup
	mu           sync.Mutex
	c            Config
	idle         []*link.Link
	inUse        map[*link.Link]use
	dialing      int
	waiting      []waiter
	backoff      backoff
	estimatedMax int
	// dialFailing is true from a failed dial without open links to the next
	// successful one.
	dialFailing bool
	// typicalService is the EWMA of the searcher's service time, or 0.
	typicalService time.Duration
	// progressAt is the latest start time of a completed call or probe.
	progressAt       time.Time
	nextRun          time.Time
	lastSilenceCheck time.Time
	lastSweep        time.Time
	probing          bool
	closed           bool
	ownMaintainer    *Maintainer
	stats            Stats
}

// use describes the use of a link by one call.
type use struct {
	// since is the time when the link was taken.
	since time.Time
	// allowed is the time from then to the deadline of the call, or 0.
	allowed time.Duration
}

// newUse returns the use of a link that is taken now by a call with the given
// deadline, zero if it has none.
func newUse(deadline time.Time) use {
	u := use{since: time.Now()}
	if !deadline.IsZero() {
		u.allowed = max(deadline.Sub(u.since), 1)
	}
	return u
}

// waiter is a caller that waits for a link.
type waiter struct {
	result chan waitResult
	// deadline is that of the caller's call, zero if it has none.
	deadline time.Time
}

// waitResult is the result that a waiting caller receives.
type waitResult struct {
	l   *link.Link
	err error
}

// Stats holds a pool's link counts.
type Stats struct {
	// Open is the number of links that are open or being opened.
	Open int
	// Used is the number of links that carry a call.
	Used int
	// EstimatedMax is the number of links that the searcher appears to allow
	// this node.
	EstimatedMax int
	// Opened, Refused and Silent are totals since the pool was created.
	Opened  int
	Refused int
	Silent  int
}

// New returns a pool and starts opening its warm links.
func New(c Config) *Pool {
	c.Max = max(c.Max, 1)
	c.Warm = max(c.Warm, 1)
	p := &Pool{c: c, estimatedMax: c.Max, inUse: map[*link.Link]use{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialMissing()
	if p.c.Maintainer == nil {
		p.c.Maintainer = NewMaintainer()
		p.ownMaintainer = p.c.Maintainer
	}
	p.c.Maintainer.add(p)
	return p
}

// Get returns a link for one call, to be given back with Put, PutUntimed or
// PutRefused. It waits while all links are in use.
func (p *Pool) Get(ctx context.Context) (*link.Link, error) {
	deadline, _ := ctx.Deadline()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if l := p.popIdle(deadline); l != nil {
		p.mu.Unlock()
		return l, nil
	}
	if p.unreachable() {
		p.mu.Unlock()
		return nil, ErrRefused
	}
	w := waiter{result: make(chan waitResult, 1), deadline: deadline}
	p.waiting = append(p.waiting, w)
	p.dialMissing()
	p.mu.Unlock()
	select {
	case g := <-w.result:
		return g.l, g.err
	case <-ctx.Done():
		p.cancelWait(w.result)
		return nil, ctx.Err()
	}
}

// Put gives back a link after a call whose duration counts as a service time. A
// link that is not reusable is closed, and replaced in the background.
func (p *Pool) Put(l *link.Link) { p.put(l, true) }

// PutUntimed is like Put, but ignores the duration of the call. It is for a link
// that was not used or only carried a status request, which says nothing about
// the service time of other calls.
func (p *Pool) PutUntimed(l *link.Link) { p.put(l, false) }

// put gives back a link. timed is true if the duration of the call counts as a
// service time.
func (p *Pool) put(l *link.Link, timed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordCall(l, timed)
	delete(p.inUse, l)
	if !l.Reusable() || p.closed || p.open() >= p.c.Max {
		l.Close()
		p.dialMissing()
		return
	}
	p.deliver(l)
}

// PutRefused gives back a link that the searcher refused to serve. The pool then
// opens fewer links until calls succeed again.
func (p *Pool) PutRefused(l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, l)
	l.Close()
	p.linkRefused()
}

// SetMax changes the maximum number of open links. Surplus links are closed when
// they are idle. With 0, one link is opened when a call needs it and closed
// after the call.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.Max = max(n, 0)
	p.estimatedMax = p.c.Max
	for len(p.idle) > 0 && p.open() > p.c.Max {
		p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.dialMissing()
}

// Unreachable returns true if no link is open and none could be opened.
func (p *Pool) Unreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreachable()
}

// Stats returns the pool's link counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Open, s.Used, s.EstimatedMax = p.open(), len(p.inUse), p.estimatedMax
	return s
}

// Close aborts all calls in progress, closes all links and waits for the pool's
// goroutines.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.stop()
	for _, l := range p.idle {
		l.Close()
	}
	for l := range p.inUse {
		l.Close()
	}
	p.idle = nil
	p.failWaiting(ErrClosed)
	p.mu.Unlock()
	p.c.Maintainer.remove(p)
	if p.ownMaintainer != nil {
		p.ownMaintainer.Close()
	}
	p.wg.Wait()
}

// unreachable is Unreachable for callers that hold p.mu.
func (p *Pool) unreachable() bool {
	return p.dialFailing && len(p.idle)+len(p.inUse) == 0
}

// open returns the number of links that are open or being opened. p.mu must be
// held.
func (p *Pool) open() int {
	return len(p.idle) + len(p.inUse) + p.dialing
}

// popIdle returns the most recently used idle link, so that surplus links stay
// idle, for a call with the given deadline, or nil if none is idle. Links that the
// searcher closed are dropped. p.mu must be held.
func (p *Pool) popIdle(deadline time.Time) *link.Link {
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if l.Alive() {
			p.inUse[l] = newUse(deadline)
			return l
		}
		p.dropDead(l)
	}
	return nil
}

// dropDead closes an idle link that is no longer alive. A link that has carried
// no call counts as refused by the searcher. p.mu must be held.
func (p *Pool) dropDead(l *link.Link) {
	l.Close()
	if l.Calls() == 0 {
		p.linkRefused()
	}
}

// deliver hands a link to the longest waiting caller, or adds it to the idle
// links. p.mu must be held.
func (p *Pool) deliver(l *link.Link) {
	if len(p.waiting) == 0 {
		p.idle = append(p.idle, l)
		return
	}
	w := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	p.inUse[l] = newUse(w.deadline)
	w.result <- waitResult{l: l}
}

// cancelWait cancels the wait of a caller. A link that was already handed to the
// caller is given back.
func (p *Pool) cancelWait(w chan waitResult) {
	p.mu.Lock()
	if i := slices.IndexFunc(p.waiting, func(o waiter) bool { return o.result == w }); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if g := <-w; g.l != nil {
		p.Put(g.l)
	}
}

// failWaiting returns err to all waiting callers. p.mu must be held.
func (p *Pool) failWaiting(err error) {
	for _, w := range p.waiting {
		w.result <- waitResult{err: err}
	}
	p.waiting = nil
}
