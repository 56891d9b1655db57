package pool

import (
	"slices"
	"time"

	"egrethaven/internal/back/link"
)

// usualGain is the weight of a new service time in the usual one, as a
// divisor.
const usualGain = 16

// look does what is due: it opens links after a wait, drops idle ones that
// were closed, and searches for silent ones while calls are in progress.
func (p *Pool) look(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := len(p.used)+len(p.waiting) > 0
	if p.closed || now.Before(p.next) && (!busy || now.Before(p.searched.Add(SilenceTimeout(p.usual)/2))) {
		return
	}
	p.sweep(now)
	p.fill()
	if busy && !p.c.DisableSilenceDetection {
		p.searched = now
		p.searchSilent(now)
	}
	p.next = now.Add(sweepInterval)
	if p.back.until.After(now) && p.back.until.Before(p.next) {
		p.next = p.back.until
	}
}

// soon has the next look made at once. The lock is held.
func (p *Pool) soon() { p.next, p.searched = time.Time{}, time.Time{} }

// sweep drops idle links that the searcher closed. The lock is held.
func (p *Pool) sweep(now time.Time) {
	if now.Before(p.swept.Add(sweepInterval)) {
		return
	}
	p.swept = now
	old := p.idle
	p.idle = nil
	for _, l := range old {
		if l.Alive() {
			p.idle = append(p.idle, l)
		}
	}
	for _, l := range old {
		if !slices.Contains(p.idle, l) {
			p.drop(l)
		}
	}
}

// searchSilent closes the connections that are silent. The lock is held.
func (p *Pool) searchSilent(now time.Time) {
	var oldest *link.Link
	for l, began := range p.used {
		if _, calling := l.CallStart(); !calling {
			continue
		}
		e := CallTiming{Elapsed: now.Sub(began), TypicalService: p.usual, Overtaken: p.passed.After(began)}
		switch Classify(e) {
		case Silent:
			p.silence(l, began)
		case Late:
			if oldest == nil || began.Before(p.used[oldest]) {
				oldest = l
			}
		}
	}
	if oldest != nil && p.c.Probe != nil && !p.probing {
		p.probe(oldest, now)
	}
}

// silence ends the call on a silent connection, and drops the idle links that
// have made no progress since the call began: what made this one silent may
// have lost track of them too. The lock is held.
func (p *Pool) silence(l *link.Link, began time.Time) {
	p.s.Silent++
	l.Abort(link.ErrSilent)
	p.idle = slices.DeleteFunc(p.idle, func(o *link.Link) bool {
		if o.IdleSince().After(began) {
			return false
		}
		o.Close()
		return true
	})
	if p.c.OnSilent != nil {
		p.c.OnSilent()
	}
}

// learn takes the time of the last call on l, for the usual one if it did
// work. The lock is held.
func (p *Pool) learn(l *link.Link, worked bool) {
	began, ok := p.used[l]
	if !ok || !l.Reusable() || l.Calls() == 0 {
		return
	}
	if began.After(p.passed) {
		p.passed = began
	}
	p.back = backOff{}
	p.room = min(max(p.room, p.open()+1), p.c.Max)
	if !worked {
		return
	}
	d := l.IdleSince().Sub(began)
	if p.usual == 0 {
		p.usual = d
		return
	}
	p.usual += (d - p.usual) / usualGain
}

// probe opens a new link and asks for a sign of life. If no room is left,
// the doubtful link makes room once it is twice as late. The lock is held.
func (p *Pool) probe(doubtful *link.Link, now time.Time) {
	if p.open() >= p.c.Max && !p.dropIdle() {
		if now.Sub(p.used[doubtful]) < 2*SilenceTimeout(p.usual) {
			return
		}
		p.s.Silent++
		doubtful.Abort(link.ErrSilent)
		return
	}
	p.probing = true
	p.dialing++
	p.wg.Go(p.runProbe)
}

// dropIdle closes the link that has been idle longest. The lock is held.
func (p *Pool) dropIdle() bool {
	if len(p.idle) == 0 {
		return false
	}
	p.idle[0].Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	return true
}

// runProbe opens a link and asks for a sign of life on it. Without one, no
// connection to the searcher is trusted that made no progress meanwhile.
func (p *Pool) runProbe() {
	began := time.Now()
	l, err := link.Dial(p.ctx, p.c.Link)
	alive := err == nil && p.signOfLife(l)
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
		p.abandon(began)
		p.refused()
	default:
		p.passed = maxTime(p.passed, began)
		p.soon()
		if l.Reusable() {
			p.opened(l, true)
		}
	}
}

// Invalidate closes all links: what answers at the address is not the searcher.
// New links have to bring a sign of life first.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		l.Close()
	}
	p.idle = nil
	for l := range p.used {
		l.Abort(link.ErrClosed)
	}
	p.gone = true
	p.refused()
}

// abandon ends the calls and drops the idle links that made no progress since
// began. The lock is held.
func (p *Pool) abandon(began time.Time) {
	if p.passed.After(began) {
		return
	}
	for l, since := range p.used {
		if since.Before(began) {
			p.silence(l, began)
		}
	}
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
