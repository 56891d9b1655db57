package pool

import (
	"context"
	"time"

	"egrethaven/internal/back/link"
)

const (
	// initialBackoff is the delay after the first refused connection.
	initialBackoff = 20 * time.Millisecond
	// minProbeTimeout is the shortest timeout of a probe of a new link.
	minProbeTimeout = 200 * time.Millisecond
	// maxBackoff is the longest delay between attempts to open a link.
	maxBackoff = time.Second
)

// backoff is the exponential backoff between attempts to open a link.
type backoff struct {
	delay time.Duration
	until time.Time
}

// increase doubles the delay, within initialBackoff and maxBackoff.
func (b *backoff) increase(now time.Time) {
	b.delay = min(max(2*b.delay, initialBackoff), maxBackoff)
	b.until = now.Add(b.delay)
}

// failing returns true if the last attempt failed.
func (b *backoff) failing() bool { return b.delay > 0 }

// dialMissing dials for waiting callers and missing warm links, one link at a time
// after a failed attempt. p.mu must be held.
func (p *Pool) dialMissing() {
	if p.closed || time.Now().Before(p.backoff.until) {
		return
	}
	maxOpen, warm := min(p.c.Max, p.estimatedMax), min(p.c.Warm, p.c.Max)
	if p.c.Max == 0 && len(p.waiting) > 0 {
		maxOpen = 1
	}
	if p.backoff.failing() && p.open() >= maxOpen {
		maxOpen = min(p.c.Max, maxOpen+1)
	}
	for p.open() < maxOpen {
		if p.dialing >= len(p.waiting) && p.open() >= warm {
			return
		}
		if p.backoff.failing() && p.dialing > 0 {
			return
		}
		p.dialing++
		p.wg.Go(p.dial)
	}
}

// dial opens one link. After a failed attempt the new link is only used once a
// probe over it succeeds.
func (p *Pool) dial() {
	l, err := link.Dial(p.ctx, p.c.Link)
	p.mu.Lock()
	needsProbe := err == nil && p.backoff.failing() && p.c.Probe != nil
	timeout := CallTiming{TypicalService: p.typicalService}.ProbeTimeout()
	p.mu.Unlock()
	if needsProbe && !p.probeSearcher(l, timeout) {
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
		p.connectFailed()
	default:
		p.addLink(l, needsProbe)
	}
}

// probeSearcher returns true if a probe over a new link succeeds.
func (p *Pool) probeSearcher(l *link.Link, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	return p.c.Probe(ctx, l)
}

// addLink adds a new link to the pool. The backoff is reset only if the link has
// already carried a probe: an accepted connection alone does not show that the
// searcher answers. p.mu must be held.
func (p *Pool) addLink(l *link.Link, probed bool) {
	p.stats.Opened++
	p.dialFailing = false
	if len(p.waiting) == 0 && p.open() >= p.c.Max {
		l.Close()
		return
	}
	if probed {
		p.backoff = backoff{}
		p.estimatedMax = min(max(p.estimatedMax, p.open()+1), p.c.Max)
	}
	p.deliver(l)
	p.dialMissing()
}

// connectFailed counts a failed attempt to open a link and increases the
// backoff. If no link is left, it fails the waiting callers. p.mu must be held.
func (p *Pool) connectFailed() {
	if p.closed {
		return
	}
	p.stats.Refused++
	p.backoff.increase(time.Now())
	p.dialFailing = p.dialFailing || p.open() == 0
	if p.unreachable() {
		p.failWaiting(ErrRefused)
	}
	p.scheduleNow()
}

// linkRefused is called after the searcher closed a link before its first call, or
// answered that its connection limit is reached. It lowers estimatedMax, the
// estimated number of links that the searcher accepts, and counts a failed attempt
// to open a link. p.mu must be held.
func (p *Pool) linkRefused() {
	p.estimatedMax = max(min(p.estimatedMax-1, p.open()), min(p.c.Max, 1))
	p.connectFailed()
}
