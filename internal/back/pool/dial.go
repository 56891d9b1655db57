package pool

import (
	"context"
	"time"

	"egrethaven/internal/back/link"
)

const (
	// backOffFirst is the wait after the first refused connection.
	backOffFirst = 20 * time.Millisecond
	// signLeast is the least time that a new link has for a sign of life.
	signLeast = 200 * time.Millisecond
	// backOffMost bounds the wait after refused connections.
	backOffMost = time.Second
)

// backOff is the wait between attempts to open a link.
type backOff struct {
	wait  time.Duration
	until time.Time
}

// fail doubles the wait.
func (b *backOff) fail(now time.Time) {
	b.wait = min(max(2*b.wait, backOffFirst), backOffMost)
	b.until = now.Add(b.wait)
}

// failing tells that the last attempt failed.
func (b *backOff) failing() bool { return b.wait > 0 }

// fill opens as many links as callers wait for, and the warm ones. The lock
// is held.
func (p *Pool) fill() {
	if p.closed || time.Now().Before(p.back.until) {
		return
	}
	most, warm := min(p.c.Max, p.room), min(p.c.Warm, p.c.Max)
	if p.c.Max == 0 && len(p.waiting) > 0 {
		most = 1
	}
	if p.back.failing() && p.open() >= most {
		most = min(p.c.Max, most+1)
	}
	for p.open() < most {
		if p.dialing >= len(p.waiting) && p.open() >= warm {
			return
		}
		if p.back.failing() && p.dialing > 0 {
			return
		}
		p.dialing++
		p.wg.Go(p.dial)
	}
}

// dial opens one link. After a failure the link first has to bring a sign of
// life.
func (p *Pool) dial() {
	l, err := link.Dial(p.ctx, p.c.Link)
	p.mu.Lock()
	doubt := err == nil && p.back.failing() && p.c.Probe != nil
	p.mu.Unlock()
	if doubt && !p.signOfLife(l) {
		err = ErrRefused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	switch {
	case p.closed || err != nil || !l.Reusable():
		if l != nil {
			l.Close()
		}
		p.refused()
	default:
		p.opened(l, doubt)
	}
}

// signOfLife asks for a sign of life on a new link. A searcher that is known
// to answer soon gets no longer than a call has before it is doubted: while
// the answer is awaited, queries wait as well.
func (p *Pool) signOfLife(l *link.Link) bool {
	p.mu.Lock()
	wait := silentMost
	if p.usual > 0 {
		wait = max(SilenceTimeout(p.usual), signLeast)
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, wait)
	defer cancel()
	return p.c.Probe(ctx, l)
}

// opened takes a new link. The wait between attempts is only forgotten once
// the link has carried a call. The lock is held.
func (p *Pool) opened(l *link.Link, proven bool) {
	p.s.Opened++
	p.gone = false
	if len(p.waiting) == 0 && p.open() >= p.c.Max {
		l.Close()
		return
	}
	if proven {
		p.back = backOff{}
		p.room = min(max(p.room, p.open()+1), p.c.Max)
	}
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
	p.back.fail(time.Now())
	p.gone = p.gone || p.open() == 0
	if p.dead() {
		p.fail(ErrRefused)
	}
	p.soon()
}

// turnedAway counts a link that the searcher closed before any call. The
// lock is held.
func (p *Pool) turnedAway() {
	p.room = max(min(p.room-1, p.open()), min(p.c.Max, 1))
	p.refused()
}
