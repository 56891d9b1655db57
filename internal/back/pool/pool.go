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

// sweepInterval is the time between two looks at the idle links.
const sweepInterval = time.Second

// Config tells how a pool keeps its links.
type Config struct {
	// Link tells how to open one.
	Link link.Config
	// Max is how many links may be open at a time.
	Max int
	// Warm is how many links are kept open ahead of need, at least 1 and
	// within Max.
	Warm int
	// Probe asks a searcher for a sign of life over a new link. It runs when
	// a call is late and no other link tells whether the searcher works.
	// Without it such calls wait for their deadline.
	Probe func(ctx context.Context, l *link.Link) bool
	// Maintainer looks after the pool; nil has the pool bring its own.
	Maintainer *Maintainer
	// OnSilent is called when a connection was found silent; nil for none.
	OnSilent func()
	// DisableSilenceDetection disables the search for silent connections.
	DisableSilenceDetection bool
}

// Pool holds the links of one searcher.
type Pool struct {
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	c       Config
	idle    []*link.Link
	used    map[*link.Link]time.Time
	dialing int
	waiting []chan got
	back    backOff
	room    int
	// gone tells that all attempts to open a link have failed.
	gone     bool
	usual    time.Duration
	passed   time.Time
	next     time.Time
	searched time.Time
	swept    time.Time
	probing  bool
	closed   bool
	own      *Maintainer
	s        Stats
}

// got is what a waiting caller receives.
type got struct {
	l   *link.Link
	err error
}

// Stats are a pool's counts.
type Stats struct {
	// Open is the number of links open or being opened.
	Open int
	// Used is the number of links that carry a call.
	Used int
	// EstimatedMax is how many links the searcher seems to allow this node.
	EstimatedMax int
	// Opened, Refused and Silent count links since the start.
	Opened  int
	Refused int
	Silent  int
}

// New returns a pool and begins to open its warm links.
func New(c Config) *Pool {
	c.Max = max(c.Max, 1)
	c.Warm = max(c.Warm, 1)
	p := &Pool{c: c, room: c.Max, used: map[*link.Link]time.Time{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill()
	if p.c.Maintainer == nil {
		p.c.Maintainer = NewMaintainer()
		p.own = p.c.Maintainer
	}
	p.c.Maintainer.add(p)
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
	if p.dead() {
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

// Put gives a link back after a call that did work. A link that is not
// reusable is closed, and replaced in the background.
func (p *Pool) Put(l *link.Link) { p.put(l, true) }

// PutUntimed is Put of a link that did no work, such as one that was not used or
// brought the status page: how long that took says nothing of the time that
// work takes.
func (p *Pool) PutUntimed(l *link.Link) { p.put(l, false) }

// put gives a link back.
func (p *Pool) put(l *link.Link, worked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(l, worked)
	delete(p.used, l)
	if !l.Reusable() || p.closed || p.open() >= p.c.Max {
		l.Close()
		p.fill()
		return
	}
	p.offer(l)
}

// PutRefused gives back a link that the searcher turned away, and has the pool
// make do with fewer for a while.
func (p *Pool) PutRefused(l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.used, l)
	l.Close()
	p.turnedAway()
}

// SetMax changes how many links may be open. Surplus links close as their
// calls end. With 0, one is opened when a call needs it, and closed after it.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.Max = max(n, 0)
	p.room = p.c.Max
	for len(p.idle) > 0 && p.open() > p.c.Max {
		p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.fill()
}

// Unreachable tells that no link is open and all attempts to open one have failed.
func (p *Pool) Unreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead()
}

// Stats returns the pool's counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.s
	s.Open, s.Used, s.EstimatedMax = p.open(), len(p.used), p.room
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
	p.c.Maintainer.remove(p)
	if p.own != nil {
		p.own.Close()
	}
	p.wg.Wait()
}

// dead is Dead with the lock held.
func (p *Pool) dead() bool {
	return p.gone && len(p.idle)+len(p.used) == 0
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
			p.used[l] = time.Now()
			return l
		}
		p.drop(l)
	}
	return nil
}

// drop closes an idle link that is no longer alive. The lock is held.
func (p *Pool) drop(l *link.Link) {
	l.Close()
	if l.Calls() == 0 {
		p.turnedAway()
	}
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
	p.used[l] = time.Now()
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
