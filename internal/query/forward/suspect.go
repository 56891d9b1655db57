package forward

import (
	"context"
	"net/http"
	"time"

	"egrethaven/internal/back/lostcalls"
	"egrethaven/internal/back/quarantine"
)

// maxTrialLosses is the number of retries of a fan-out that are sent one after the other
// after several shards were lost. If they are lost too, the others are not made.
const maxTrialLosses = 2

// lossDelay is how long the trial of a suspect stays reserved after it was lost. The end of
// the searcher's process is known by then, so that the next one does not run for want of it.
const lossDelay = 100 * time.Millisecond

// trial holds back parts of a request until the result of another part shows whether the
// request crashes searchers.
type trial struct {
	// part is the part that runs; nil if there is none.
	part *subrequest
	// losses is the number of parts that were lost.
	losses int
	// releaseAt is when the others are sent though part has no result; zero for never.
	releaseAt time.Time
	// end ends the reservation of the trial of a suspect; nil once it has ended. lost is set
	// if the trial was lost.
	end  func()
	lost bool
}

// fingerprint identifies the request when a client of the named account, if any, sends it
// again, with another attempt ID and at any VM.
func (q *Request) fingerprint(account string) uint64 {
	return quarantine.FingerprintHTTP(q.Method, q.Host, q.Target, quarantine.Credentials(q.Header.Get("Authorization"), account), q.Body)
}

// awaitPermission returns true once the request may be sent, otherwise its answer. A
// quarantined request is refused. A suspect waits while another one like it runs at this
// VM.
func (x *dispatch) awaitPermission(ctx context.Context) (Answer, bool) {
	g := x.engine.c.Guard
	for {
		v := g.Verdict(x.fingerprint)
		switch v.Class {
		case quarantine.Quarantined:
			return refusalOfQuarantined(v, time.Now()), false
		case quarantine.Suspect:
		default:
			return Answer{}, true
		}
		end, running := g.BeginTrial(x.fingerprint)
		if running == nil {
			x.trial = &trial{end: end}
			x.hold(v)
			return Answer{}, true
		}
		t := time.NewTimer(time.Until(x.deadline))
		defer t.Stop()
		select {
		case <-running:
		case <-t.C:
			return Answer{Status: http.StatusServiceUnavailable, Reason: DeadlineReached, RetryAfter: retryAfterOverload}, false
		case <-ctx.Done():
			return Answer{Status: statusClientClosed, Reason: ClientGone}, false
		}
	}
}

// refusalOfQuarantined returns the answer to a quarantined request.
func refusalOfQuarantined(v quarantine.Verdict, now time.Time) Answer {
	return Answer{Status: http.StatusServiceUnavailable, Reason: Quarantined, RetryAfter: v.Until.Sub(now)}
}

// hold holds all parts of a suspect.
func (x *dispatch) hold(v quarantine.Verdict) {
	x.suspect = true
	for _, p := range x.subrequests {
		p.held, p.alone = true, v.Services[p.service]
	}
}

// nextHeld returns the next part to send of those that are held, preferably to a service that has
// lost searchers with the request; nil if none is held.
func (x *dispatch) nextHeld() *subrequest {
	var next *subrequest
	for _, p := range x.subrequests {
		switch {
		case !p.held:
		case p.alone:
			return p
		case next == nil:
			next = p
		}
	}
	return next
}

// sendFirst sends all parts of the request, or the first one of a suspect.
func (x *dispatch) sendFirst(now time.Time) {
	if x.suspect {
		x.startTrial(now)
		return
	}
	for _, p := range x.subrequests {
		p.sendFirst(now)
	}
}

// startTrial sends the next part of a request whose parts are held. If none can be sent, it
// fails those parts.
func (x *dispatch) startTrial(now time.Time) {
	for p := x.nextHeld(); p != nil; p = x.nextHeld() {
		x.trial.part, p.held = p, false
		if x.suspect {
			p.alone = true
		} else {
			x.trial.releaseAt = now.Add(x.hedgeDelay)
		}
		p.resume(now)
		if !p.failed {
			return
		}
	}
	x.trial.part = nil
}

// resume makes the send that was held back.
func (p *subrequest) resume(now time.Time) {
	if len(p.attempts) == 0 {
		p.sendFirst(now)
		return
	}
	p.retry(now, true)
}

// onTrial reports whether a part of a suspect runs alone.
func (x *dispatch) onTrial(p *subrequest) bool {
	return x.suspect && x.trial != nil && x.trial.part == p
}

// continueTrial decides on the parts that are held once there is a result of the part that
// runs: they are sent if a searcher has answered it, and not if its searcher was lost. If
// it could not be sent, the next part is.
func (x *dispatch) continueTrial(now time.Time) {
	for x.trial != nil && x.trial.part != nil {
		t := x.trial
		p := t.part
		switch {
		case p.survived, !t.releaseAt.IsZero() && !now.Before(t.releaseAt):
			x.endTrial()
			x.trial = nil
			for _, o := range x.subrequests {
				if o.held {
					o.held = false
					o.resume(now)
				}
			}
			return
		case !p.failed:
			return
		case p.mayHaveRun && !p.resumable:
			if t.losses++; x.suspect || t.losses >= maxTrialLosses {
				x.failHeld()
				t.part, t.lost = nil, true
				return
			}
		}
		x.startTrial(now)
	}
}

// failHeld fails all parts that are held.
func (x *dispatch) failHeld() {
	for _, p := range x.subrequests {
		if p.held {
			p.held, p.failed = false, true
		}
	}
}

// endTrial ends the reservation of the trial of a suspect.
func (x *dispatch) endTrial() {
	if x.trial == nil || x.trial.end == nil {
		return
	}
	end := x.trial.end
	x.trial.end = nil
	if x.trial.lost {
		time.AfterFunc(lossDelay, end)
		return
	}
	end()
}

// retryLost retries a part whose searcher was lost, if allowed. A request that crashes
// searchers is lost on all shards at once, and so would be all of its retries: those of a
// fan-out wait for the result of the first one.
func (p *subrequest) retryLost(now time.Time, allowed bool) {
	x := p.dispatch
	if !allowed || !x.route.IsFanOut() || x.suspect || p.inFlight > 0 {
		p.retry(now, allowed)
		return
	}
	if x.trial == nil {
		x.trial = &trial{}
	}
	switch t := x.trial; {
	case t.losses >= maxTrialLosses:
		p.failed = true
	case t.part != nil && t.part != p:
		p.held = true
	default:
		t.part, t.releaseAt = p, now.Add(x.hedgeDelay)
		p.retry(now, true)
	}
}

// ranToEnd reports whether an answer shows that its searcher has run the request and lives.
func ranToEnd(a *reply) bool { return a.Err == nil && a.Stamp != "" && !a.NotRun && !a.Misdirected }

// reportToGuard passes the result of an attempt on to the guard.
func (f *attempt) reportToGuard(a *reply) {
	x := f.subrequest.dispatch
	c := lostcalls.Call{Fingerprint: x.fingerprint, Service: f.subrequest.service, Searcher: f.searcher.Searcher().Process(), At: time.Now(), Trial: f.trial}
	switch {
	case ranToEnd(a):
		x.engine.c.Guard.RecordAnswer(c, f.startedAt)
	case a.Err != nil && a.Sent:
		x.engine.c.Guard.RecordLoss(c)
	}
}
