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
	// ErrRefused tells that no link is open and none could be opened.
	ErrRefused = errors.ConstError("connection refused")
	// ErrClosed tells that the pool was closed.
	ErrClosed = errors.ConstError("pool closed")
)

const (
	// backOffFirst is the wait after the first refused connection.
	backOffFirst = 20 * time.Millisecond
	// backOffMost bounds the wait after refused connections.
	backOffMost = time.Second
)

// Config tells how a pool keeps its links.
type Config struct {
	// Link tells how to open one.
	Link link.Config
	// Max is how many links may be open at a time.
	Max int
	// Warm is how many links are kept open ahead of need.
	Warm int
}

// Pool holds the links of one searcher.
type Pool struct {
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	c       Config
	idle    []*link.Link
	used    map[*link.Link]struct{}
	dialing int
	waiting []chan got
	backOff time.Duration
	notTill time.Time
	closed  bool
	s       Stats
}

// got is what a waiting caller receives.
type got struct {
	l   *link.Link
	err error
}

// Stats are a pool's counts.
type Stats struct {
	Open    int
	Used    int
	Opened  int
	Refused int
}

// New returns a pool and begins to open its warm links.
func New(c Config) *Pool {
	c.Max = max(c.Max, 1)
	c.Warm = min(c.Warm, c.Max)
	p := &Pool{c: c, used: map[*link.Link]struct{}{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill()
	return p
}

// Get returns a link for one call. It waits while all links are in use.
func (p *Pool) Get(ctx context.Context) (*link.Link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if l := p.pop(); l != nil {
		p.mu.Unlock()
		return l, nil
	}
	if p.open() == 0 && time.Now().Before(p.notTill) {
		p.mu.Unlock()
		return nil, ErrRefused
	}
	w := make(chan got, 1)
	p.waiting = append(p.waiting, w)
	p.fill()
	p.mu.Unlock()
	select {
	case g := <-w:
		return g.l, g.err
	case <-ctx.Done():
		p.leave(w)
		return nil, ctx.Err()
	}
}

// Put gives a link back after its call. A link that is not reusable is
// closed, and replaced in the background.
func (p *Pool) Put(l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.used, l)
	if !l.Reusable() || p.closed || p.open() >= p.c.Max {
		l.Close()
		p.fill()
		return
	}
	p.offer(l)
}

// SetMax changes how many links may be open. Surplus links close as their
// calls end.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.Max = max(n, 1)
	for len(p.idle) > 0 && p.open() > p.c.Max {
		p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.fill()
}

// Stats returns the pool's counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.s
	s.Open, s.Used = p.open(), len(p.used)
	return s
}

// Close ends all calls in progress, closes all links and waits for the
// pool's goroutines.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.stop()
	for _, l := range p.idle {
		l.Close()
	}
	for l := range p.used {
		l.Close()
	}
	p.idle = nil
	p.fail(ErrClosed)
	p.mu.Unlock()
	p.wg.Wait()
}

// open is the number of links open or being opened. The lock is held.
func (p *Pool) open() int {
	return len(p.idle) + len(p.used) + p.dialing
}

// pop takes the idle link that was used last, so that surplus ones stay
// idle. Links that the searcher closed meanwhile are dropped. The lock is
// held.
func (p *Pool) pop() *link.Link {
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if l.Alive() {
			p.used[l] = struct{}{}
			return l
		}
		l.Close()
	}
	return nil
}

// offer hands a link to the caller that has waited longest, or keeps it. The
// lock is held.
func (p *Pool) offer(l *link.Link) {
	if len(p.waiting) == 0 {
		p.idle = append(p.idle, l)
		return
	}
	w := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	p.used[l] = struct{}{}
	w <- got{l: l}
}

// leave withdraws a waiting caller. A link that reached it meanwhile goes
// back.
func (p *Pool) leave(w chan got) {
	p.mu.Lock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if g := <-w; g.l != nil {
		p.Put(g.l)
	}
}

// fail ends the wait of all callers. The lock is held.
func (p *Pool) fail(err error) {
	for _, w := range p.waiting {
		w <- got{err: err}
	}
	p.waiting = nil
}

// fill opens as many links as callers wait for, and the warm ones. The lock
// is held.
func (p *Pool) fill() {
	if p.closed || time.Now().Before(p.notTill) {
		return
	}
	for p.open() < p.c.Max {
		if p.dialing >= len(p.waiting) && p.open() >= p.c.Warm {
			return
		}
		p.dialing++
		p.wg.Go(p.dial)
	}
}

// dial opens one link.
func (p *Pool) dial() {
	l, err := link.Dial(p.ctx, p.c.Link)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.refused()
		return
	}
	if p.closed {
		l.Close()
		return
	}
	p.s.Opened++
	p.backOff = 0
	p.offer(l)
	p.fill()
}

// refused counts a failed attempt and sets when the next may be made. The
// lock is held.
func (p *Pool) refused() {
	if p.closed {
		return
	}
	p.s.Refused++
	p.backOff = min(max(2*p.backOff, backOffFirst), backOffMost)
	p.notTill = time.Now().Add(p.backOff)
	if p.open() == 0 {
		p.fail(ErrRefused)
	}
	p.wg.Go(p.again)
}

// again fills the pool once the wait after a refusal is over.
func (p *Pool) again() {
	t := time.NewTimer(time.Until(p.notTillNow()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.ctx.Done():
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill()
}

// notTillNow returns when the next attempt may be made.
func (p *Pool) notTillNow() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notTill
}
