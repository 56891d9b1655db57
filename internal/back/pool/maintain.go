package pool

import (
	"slices"
	"time"

	"egrethaven/internal/back/link"
)

// typicalServiceDivisor is the reciprocal EWMA weight of a new service time.
const typicalServiceDivisor = 16

// maintain runs the maintenance that is due: it opens links after a backoff,
// drops idle links that the searcher closed, and detects silent connections
// while calls are in progress.
func (p *Pool) maintain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := len(p.inUse)+len(p.waiting) > 0
	if p.closed || now.Before(p.nextRun) && (!busy || now.Before(p.lastSilenceCheck.Add(checkInterval(p.typicalService)))) {
		return
	}
	p.sweep(now)
	p.dialMissing()
	if busy && !p.c.DisableSilenceDetection {
		p.lastSilenceCheck = now
		p.closeSilent(now)
	}
	p.nextRun = now.Add(sweepInterval)
	if p.backoff.until.After(now) && p.backoff.until.Before(p.nextRun) {
		p.nextRun = p.backoff.until
	}
}

// scheduleNow makes the next maintenance run due at once. p.mu must be held.
func (p *Pool) scheduleNow() { p.nextRun, p.lastSilenceCheck = time.Time{}, time.Time{} }

// sweep drops idle links that the searcher closed. p.mu must be held.
func (p *Pool) sweep(now time.Time) {
	if now.Before(p.lastSweep.Add(sweepInterval)) {
		return
	}
	p.lastSweep = now
	old := p.idle
	p.idle = nil
	for _, l := range old {
		if l.Alive() {
			p.idle = append(p.idle, l)
		}
	}
	for _, l := range old {
		if !slices.Contains(p.idle, l) {
			p.dropDead(l)
		}
	}
}

// closeSilent aborts the calls on silent connections, and starts a probe if a
// call is late. p.mu must be held.
func (p *Pool) closeSilent(now time.Time) {
	var oldest *link.Link
	for l, u := range p.inUse {
		if _, calling := l.CallStartedAt(); !calling {
			continue
		}
		switch Classify(p.timing(u, now)) {
		case Silent:
			p.abortSilent(l, u.since)
		case Late:
			if oldest == nil || u.since.Before(p.inUse[oldest].since) {
				oldest = l
			}
		}
	}
	if oldest != nil && p.c.Probe != nil && !p.probing {
		p.startProbe(oldest, now)
	}
}

// timing returns the times by which the call of a use is classified. p.mu must be
// held.
func (p *Pool) timing(u use, now time.Time) CallTiming {
	return CallTiming{Elapsed: now.Sub(u.since), Allowed: u.allowed, TypicalService: p.typicalService, Overtaken: p.progressAt.After(u.since)}
}

// abortSilent aborts the call on a silent connection and closes the idle links
// last used before start, since the same fault may affect them. p.mu must be
// held.
func (p *Pool) abortSilent(l *link.Link, start time.Time) {
	p.stats.Silent++
	l.Abort(link.ErrSilent)
	p.idle = slices.DeleteFunc(p.idle, func(o *link.Link) bool {
		if o.IdleSince().After(start) {
			return false
		}
		o.Close()
		return true
	})
	if p.c.OnSilent != nil {
		p.c.OnSilent()
	}
}

// recordCall records a completed call on l, and its duration if timed. p.mu must
// be held.
func (p *Pool) recordCall(l *link.Link, timed bool) {
	u, ok := p.inUse[l]
	if !ok || !l.Reusable() || l.Calls() == 0 {
		return
	}
	start := u.since
	if start.After(p.progressAt) {
		p.progressAt = start
	}
	p.backoff = backoff{}
	p.estimatedMax = min(max(p.estimatedMax, p.open()+1), p.c.Max)
	if !timed {
		return
	}
	d := l.IdleSince().Sub(start)
	if p.typicalService == 0 {
		p.typicalService = d
		return
	}
	p.typicalService += (d - p.typicalService) / typicalServiceDivisor
}

// startProbe starts a probe of the searcher over a new link. If the pool is
// full and has no idle link to close, the late link is aborted to make room
// once its call has taken twice the silence timeout. p.mu must be held.
func (p *Pool) startProbe(late *link.Link, now time.Time) {
	if p.open() >= p.c.Max && !p.closeOldestIdle() {
		if t := p.timing(p.inUse[late], now); t.Elapsed < 2*t.SilenceTimeout() {
			return
		}
		p.stats.Silent++
		late.Abort(link.ErrSilent)
		return
	}
	p.probing = true
	p.dialing++
	timeout := p.timing(p.inUse[late], now).ProbeTimeout()
	p.wg.Go(func() { p.runProbe(timeout) })
}

// closeOldestIdle closes the link that has been idle longest. It returns false
// if no link is idle. p.mu must be held.
func (p *Pool) closeOldestIdle() bool {
	if len(p.idle) == 0 {
		return false
	}
	p.idle[0].Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	return true
}

// runProbe opens a link and probes the searcher over it. If that fails, all
// connections without progress since the start of the probe are closed.
func (p *Pool) runProbe(timeout time.Duration) {
	start := time.Now()
	l, err := link.Dial(p.ctx, p.c.Link)
	alive := err == nil && p.probeSearcher(l, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
	p.dialing--
	if l != nil && (p.closed || !l.Reusable()) {
		l.Close()
	}
	switch {
	case p.closed:
	case !alive:
		p.abortStalled(start)
		p.connectFailed()
	default:
		p.progressAt = later(p.progressAt, start)
		p.scheduleNow()
		if l.Reusable() {
			p.addLink(l, true)
		}
	}
}

// Invalidate closes all links, because another server answers at the searcher's
// address. New links are used only after a successful probe.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		l.Close()
	}
	p.idle = nil
	for l := range p.inUse {
		l.Abort(link.ErrClosed)
	}
	p.dialFailing = true
	p.connectFailed()
}

// abortStalled aborts the calls that started before start and closes the idle
// links last used before it, unless a call that started later has completed.
// p.mu must be held.
func (p *Pool) abortStalled(start time.Time) {
	if p.progressAt.After(start) {
		return
	}
	for l, u := range p.inUse {
		if u.since.Before(start) {
			p.abortSilent(l, start)
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
