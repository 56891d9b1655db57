package forward

import (
	"math/rand/v2"
	"time"

	"egrethaven/internal/query/placement"
)

const (
	// maxRefusedWait is how long a subrequest that was refused waits before its last
	// permitted send. Searchers have stalled together for 50 ms, and two of them then
	// refused a request at once.
	maxRefusedWait = 60 * time.Millisecond
	// freshReport is the age up to which a load report shows that a searcher does not stall.
	// For a part of a fan-out it also has to be newer than the refused send: searchers that had
	// reported free slots 1 to 16 ms before refused the last permitted sends too.
	freshReport = 20 * time.Millisecond
	// settleDelay is how long the last permitted send waits though the answer can do without
	// the part so far: the first sends to three of four shards were refused within 0.5 ms of
	// each other.
	settleDelay = 2 * time.Millisecond
	// refusedPoll is the interval at which a waiting part of a fan-out looks for such a report.
	refusedPoll = 10 * time.Millisecond
	// minResumeDelay and maxResumeDelay bound the delay before a subrequest is tried again.
	// It doubles each time, because a budget refills over seconds.
	minResumeDelay = 20 * time.Millisecond
	maxResumeDelay = 250 * time.Millisecond
	// inTimeFactor is the number of median latencies that are left for an answer in time.
	inTimeFactor = 2
	// resumeJitter is the relative spread of these times.
	resumeJitter = 0.25
)

// spread returns d with a random deviation of up to resumeJitter.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - resumeJitter + 2*resumeJitter*rand.Float64()))
}

// awaitsRefused reports whether a retry has to wait: it is the last permitted one, the
// attempt before was refused without being run, and no searcher is known to be free.
func (p *subrequest) awaitsRefused(now time.Time) bool {
	x := p.dispatch
	if x.suspect || p.resumes > 0 || len(p.attempts) == 0 || p.sends+1 != x.route.MaxAttempts {
		return false
	}
	last := p.attempts[len(p.attempts)-1]
	if last.reply == nil || last.reply.Err != nil || !last.reply.NotRun || last.reply.Misdirected {
		return false
	}
	return p.refusedWait(now) > 0 && !p.hasFree(now)
}

// hasFree reports whether a load report shows that an untried searcher is free after the last
// attempt was refused.
func (p *subrequest) hasFree(now time.Time) bool {
	maxAge := freshReport
	if p.dispatch.route.IsFanOut() {
		maxAge = min(maxAge, now.Sub(p.attempts[len(p.attempts)-1].startedAt))
	}
	return p.hasUntried(now, func(c placement.Candidate) bool {
		return takesRetry(c) && c.ReportAge <= maxAge && c.Waiting == 0
	})
}

// awaitRefused lets the last permitted send wait. That of a part of a fan-out is made as soon
// as a searcher reports that it is free, and after settleDelay if the answer can still do
// without the part.
func (p *subrequest) awaitRefused(now time.Time) {
	if p.settles = !p.settles && !p.dispatch.needsRefused(); p.settles {
		p.refusedUntil = now.Add(settleDelay)
		p.resumeAt = p.refusedUntil
		return
	}
	p.refusedUntil = now.Add(p.refusedWait(now))
	p.resumeAt = p.refusedUntil
	if poll := now.Add(refusedPoll); p.dispatch.route.IsFanOut() && poll.Before(p.refusedUntil) {
		p.resumeAt = poll
	}
}

// refusedWait returns the wait before the last permitted send; 0 if the deadline leaves no
// time for one. A plain request whose answer can still be in time does not become late by it:
// nothing shows that its other searchers are full too, and a refusal would be true.
func (p *subrequest) refusedWait(now time.Time) time.Duration {
	x := p.dispatch
	wait := min(spread(maxRefusedWait), (x.deadline.Sub(now)-x.medianLatency)/2)
	if o := x.shed.Objective; !x.route.IsFanOut() && !o.IsZero() {
		if inTime := o.Sub(now) - inTimeFactor*x.medianLatency; inTime >= minResumeDelay {
			wait = min(wait, inTime)
		}
	}
	return max(0, wait)
}

// needsRefused reports whether the request cannot do without the parts that were refused.
func (x *dispatch) needsRefused() bool { return x.unrefused() < x.minShards() }

// unrefused returns the number of shards that have answered, or may yet answer without a
// refusal so far.
func (x *dispatch) unrefused() int {
	n := 0
	for _, p := range x.subrequests {
		if p.answer != nil || p.inFlight > 0 && !p.overloaded {
			n++
		}
	}
	return n
}

// mayTakeAgain reports whether a searcher that had the subrequest may get it again: it has
// refused it, or the connection was lost.
func (p *subrequest) mayTakeAgain() bool {
	if len(p.attempts) == 0 {
		return false
	}
	a := p.attempts[len(p.attempts)-1].reply
	return a != nil && (a.Err != nil || a.NotRun && !a.Misdirected)
}

// isFree reports whether a send needs no budget, because none has arrived so far.
func (p *subrequest) isFree() bool { return p.sends == 0 }

// resumeFailed schedules new trials of failed parts if the request cannot be answered
// without them.
func (x *dispatch) resumeFailed(now time.Time) {
	if x.suspect {
		return
	}
	possible, resumable := 0, 0
	for _, p := range x.subrequests {
		switch {
		case !p.failed:
			possible++
		case p.canResume(now):
			resumable++
		}
	}
	if need := x.minShards(); possible >= need || possible+resumable < need {
		return
	}
	for _, p := range x.subrequests {
		if p.failed && p.canResume(now) {
			p.failed, p.resumable = false, false
			p.resumeAt = now.Add(spread(min(minResumeDelay<<min(p.resumes, 8), maxResumeDelay)))
			// The last trial ends the request with its own failure instead of the deadline.
			if last := x.deadline.Add(-x.medianLatency); p.resumeAt.After(last) {
				p.resumeAt = last
			}
		}
	}
}

// canResume reports whether a failed subrequest may be tried again later.
func (p *subrequest) canResume(now time.Time) bool {
	x := p.dispatch
	switch {
	case !p.resumable || p.alone || !now.Add(x.medianLatency).Before(x.deadline):
		return false
	case p.isFree() && !x.hasRun():
		// Nothing has run: a refusal lets the client try again elsewhere.
		return false
	}
	// Another VM may reach the searchers.
	return p.hasResponsive(now) || x.engine.c.HandOver == nil || x.req.HandedOver
}

// hasRun reports whether a searcher may have run a part of the request.
func (x *dispatch) hasRun() bool {
	for _, p := range x.subrequests {
		if p.answer != nil || p.mayHaveRun || p.inFlight > 0 {
			return true
		}
	}
	return false
}

// resumeIfDue tries a subrequest again once resumeAt has passed. Searchers that had it may
// get it again if no other one is free.
func (p *subrequest) resumeIfDue(now time.Time) {
	if p.resumeAt.IsZero() || now.Before(p.resumeAt) {
		return
	}
	if now.Before(p.refusedUntil) && !p.hasFree(now) {
		p.resumeAt = now.Add(refusedPoll)
		if p.resumeAt.After(p.refusedUntil) {
			p.resumeAt = p.refusedUntil
		}
		return
	}
	if p.settles && p.dispatch.needsRefused() && !p.hasFree(now) {
		p.awaitRefused(now)
		return
	}
	p.resumeAt, p.refusedUntil, p.settles = time.Time{}, time.Time{}, false
	p.resumes++
	if !p.hasUntried(now, takesRetry) {
		p.again, p.avoid = true, nil
	}
	if last := len(p.attempts) - 1; last >= 0 && p.attempts[last].lost() {
		p.retryLost(now, true)
	} else {
		p.retry(now, true)
	}
	p.again = false
	if p.inFlight > 0 {
		p.hedgeAt = now.Add(p.dispatch.hedgeDelay)
	}
}
