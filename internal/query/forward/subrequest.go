package forward

import (
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/placement"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/query/shortage"
	"egrethaven/internal/state/routing"
)

const (
	// maxUnsentResends is the maximum number of times that a subrequest which
	// failed before it was sent is given to another searcher.
	maxUnsentResends = 8
	// hedgeRetryDivisor divides the hedge delay to give the delay before a hedge
	// refused by the budget is tried again.
	hedgeRetryDivisor = 2
	// usualReplicas is the number of searchers of a shard up to which a choice needs no
	// memory of its own.
	usualReplicas = 4
	// minHedgeSpare is the share of a burst that the limit of a searcher has to permit
	// for a hedge to go there. The rest is kept for first sends and retries.
	minHedgeSpare = 0.5
	// overdueFactor is the multiple of its expected time after which an attempt is hedged at
	// a searcher that is slower than slowSearcher.
	overdueFactor = 2
)

// subrequest is the part of a request that goes to one service: one shard of a
// fan-out, or a whole plain request.
type subrequest struct {
	dispatch  *dispatch
	service   string
	budget    *retrybudget.Budget
	instances []*instance.Instance
	attempts  []*attempt
	// sends is the number of attempts that were sent or are still queued,
	// unsentCount the number that failed before they were sent.
	sends, unsentCount int
	inFlight           int
	hedgeAt            time.Time
	// mayHaveRun reports whether a searcher may have started to run the request.
	mayHaveRun bool
	// overloaded reports whether a searcher or its queue refused an attempt.
	overloaded bool
	// answer is the final answer, firstFailure the first error response, or the first one
	// that may be passed on; nil before they arrive.
	answer       *reply
	firstFailure *reply
	// answeredAt is when the final answer arrived.
	answeredAt time.Time
	// budgetShare is the share of budget that was left at budgetReadAt.
	budgetShare  float64
	budgetReadAt time.Time
	// failed is set once no answer can arrive any more, unless the subrequest is resumed.
	failed bool
	// resumable reports whether a failed subrequest may be tried again later. resumeAt is
	// when it is tried again; zero if it is not. resumes counts these trials, and again is
	// set while searchers that have had it may be chosen.
	resumable bool
	resumeAt  time.Time
	resumes   int
	again     bool
	// refusedUntil is the end of the wait of a last permitted send for a searcher that reports
	// that it is free; zero if it does not wait.
	refusedUntil time.Time
	// settles is set during settleDelay, in which the results of the other parts show whether
	// the answer needs this one.
	settles bool
	// preferred is the searcher that admission chose for the first send; nil if
	// there is none.
	preferred *instance.Instance
	// unavailable reports whether no searcher seems responsive.
	unavailable bool
	// leftOut is set if admission leaves the shard out because of its searchers'
	// limits.
	leftOut bool
	// held is set while the subrequest waits for the trial. alone is set if it is not
	// hedged, nor retried after a loss.
	held, alone bool
	// survived is set once a searcher has answered, with whatever result.
	survived bool
	// avoid holds the searchers from whose queues an attempt was withdrawn.
	avoid []*instance.Instance
}

// reply is a searcher's answer with its parsed header.
type reply struct {
	ReplyHeader
	conn.Result
}

// refused reports whether the searcher did not run the request.
func (a *reply) refused() bool { return a.Err == nil && (a.NotRun || a.Misdirected) }

// attempt is one send of a subrequest to a searcher.
type attempt struct {
	subrequest *subrequest
	searcher   *instance.Instance
	send       *instance.Call
	startedAt  time.Time
	// trial reports that the request ran alone because it was a suspect.
	trial bool
	// finished is set once the result has been sent to dispatch.results.
	finished atomic.Bool
	// reply is the result of the send; nil before it was received. Only the request's
	// goroutine uses it.
	reply *reply
}

// finished reports whether the subrequest has an answer or has failed.
func (p *subrequest) finished() bool { return p.answer != nil || p.failed }

// sendFirst makes the first attempt.
func (p *subrequest) sendFirst(now time.Time) {
	// What another VM sent before may have arrived, so that this is an extra send.
	// One that starts again was counted before.
	if q := &p.dispatch.req; q.Sends == 0 {
		if !q.restarted {
			p.budget.CountFirst(now)
		}
	} else if !p.budget.AllowExtra(now, retrybudget.Retry) {
		p.failed = true
		return
	}
	p.hedgeAt = now.Add(p.dispatch.hedgeDelay)
	// Admission found enough other shards, so a fan-out does not wait for a
	// shard without a responsive searcher.
	switch {
	case p.dispatch.route.IsFanOut() && p.unavailable:
		p.dispatch.short.Add(shortage.Searchers)
		p.failed = true
	case p.leftOut:
		p.dispatch.short.Add(shortage.Slots)
		p.failed = true
	case p.preferred != nil:
		p.sendTo(p.preferred, now)
	default:
		p.failed = !p.sendToBest(now)
	}
}

// sendToBest sends to the best untried searcher whose limit permits it in time. It
// returns false if there is none.
func (p *subrequest) sendToBest(now time.Time) bool { return p.sendToBestOf(now, p.permitsInTime(now)) }

// permitsInTime returns whether the limit of a searcher permits a send in time.
func (p *subrequest) permitsInTime(now time.Time) func(placement.Candidate) bool {
	cutoff := p.dispatch.deadline
	if p.dispatch.route.IsFanOut() {
		cutoff = p.dispatch.partialDeadline
	}
	return func(c placement.Candidate) bool {
		return c.LimitWait == 0 || now.Add(c.LimitWait).Before(cutoff)
	}
}

// sendToBestOf is like sendToBest, for the searchers that eligible accepts.
func (p *subrequest) sendToBestOf(now time.Time, eligible func(placement.Candidate) bool) bool {
	i, _ := p.chooseSearcher(now, eligible)
	if i == nil {
		return false
	}
	p.sendTo(i, now)
	return true
}

// takesRetry reports whether a retry may go to a searcher.
func takesRetry(c placement.Candidate) bool { return c.LimitWait == 0 }

// takesHedge returns whether a hedge may go to a searcher: one that is expected to answer
// sooner than the attempt, which is expected to take some time, of which some has elapsed. One
// that is slow itself gets a hedge only of an attempt that takes overdueFactor times as long as
// expected: where all searchers of a shard are slow, more hedges would double the load under
// which they are.
func takesHedge(expected, elapsed time.Duration) func(placement.Candidate) bool {
	return func(c placement.Candidate) bool {
		_, service := placement.Predict(c)
		if c.LimitWait > 0 || c.LimitSpare < minHedgeSpare {
			return false
		}
		due := expected
		if c.SlowdownFactor > slowSearcher {
			due = overdueFactor * expected
		}
		return elapsed >= due || service < expected-elapsed
	}
}

// anySearcher accepts every searcher.
func anySearcher(placement.Candidate) bool { return true }

// chooseSearcher returns the best usable searcher that was not tried yet and that
// eligible accepts, with its state; nil if there is none.
func (p *subrequest) chooseSearcher(now time.Time, eligible func(placement.Candidate) bool) (*instance.Instance, placement.Candidate) {
	cs, is := make([]placement.Candidate, 0, usualReplicas), make([]*instance.Instance, 0, usualReplicas)
	for _, i := range p.instances {
		if !i.Usable() || p.tried(i) {
			continue
		}
		if c := p.candidate(i, now); eligible(c) {
			cs = append(cs, c)
			is = append(is, i)
		}
	}
	n := placement.Choose(cs, randIntN)
	if n < 0 {
		return nil, placement.Candidate{}
	}
	return is[n], cs[n]
}

// sendTo starts an attempt at a searcher.
func (p *subrequest) sendTo(i *instance.Instance, now time.Time) {
	p.sends++
	p.inFlight++
	p.dispatch.sent++
	if p.dispatch.requestHead == nil {
		p.dispatch.requestHead = p.dispatch.encodeRequestHead()
	}
	f := &attempt{subrequest: p, searcher: i, startedAt: now, trial: p.dispatch.onTrial(p)}
	p.attempts = append(p.attempts, f)
	f.send = i.Send(instance.Request{ID: p.dispatch.req.ID, Deadline: p.dispatch.deadline, Method: p.dispatch.req.Method, Shed: p.dispatch.shed,
		Build: f.buildRequest, Body: p.dispatch.sharedBody(), Matches: f.matches, Check: p.dispatch.engine.c.Dialect.CheckReply, Done: f.onDone})
}

// candidate returns the state of a searcher as input for placement. While this VM is cut
// off, searchers that do not react are not tried again and again.
func (p *subrequest) candidate(i *instance.Instance, now time.Time) placement.Candidate {
	x := p.dispatch
	c := i.CandidateFor(now, x.engine.c.Domain, x.medianLatency, &x.shed)
	c.LastAttempt = p.sends > 0 && p.sends+1 >= x.route.MaxAttempts
	if !x.isolatedSince.IsZero() {
		k := i.Contact()
		remote := k.Domain != x.engine.c.Domain
		c.Suspect = c.Suspect || k.Silent(now) || remote && k.LastContact.Before(x.isolatedSince)
	}
	return c
}

// hasUntried reports whether a usable searcher that eligible accepts was not tried yet.
// It is checked before the budget is charged.
func (p *subrequest) hasUntried(now time.Time, eligible func(placement.Candidate) bool) bool {
	return slices.ContainsFunc(p.instances, func(i *instance.Instance) bool {
		return i.Usable() && !p.tried(i) && eligible(p.candidate(i, now))
	})
}

// tried reports whether a searcher has an attempt of this subrequest, or had
// one that was withdrawn from its queue. While again is set, only attempts in flight count.
func (p *subrequest) tried(i *instance.Instance) bool {
	return slices.Contains(p.avoid, i) || slices.ContainsFunc(p.attempts, func(f *attempt) bool {
		return f.searcher == i && (f.reply == nil || !p.again)
	})
}

// maxCopiedBody is the size in bytes up to which a body is copied behind the head, so that one
// write sends both. All sends share a longer one.
const maxCopiedBody = 4 << 10

// sharedBody returns the body if all sends share it, and nil if each has a copy behind its head.
func (x *dispatch) sharedBody() []byte {
	if len(x.req.Body) <= maxCopiedBody {
		return nil
	}
	return x.req.Body
}

// buildRequest encodes the HTTP request, up to sharedBody. It returns nil if the deadline has
// passed.
func (f *attempt) buildRequest() []byte {
	x := f.subrequest.dispatch
	left := time.Until(x.deadline).Truncate(time.Millisecond)
	if left <= 0 || !x.stillPermitted() {
		return nil
	}
	copied := x.req.Body[len(x.sharedBody()):]
	b := make([]byte, 0, len(x.requestHead)+len(copied)+sendCapacity)
	b = append(b, x.requestHead...)
	b = x.engine.c.Dialect.AppendSendHeader(b, SendHeader{ID: x.req.ID, Timeout: left, ExpectedSearcher: f.searcher.Searcher().ID, Account: x.client.name()})
	if len(x.req.Body) > 0 || needsContentLength(x.req.Method) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(x.req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, copied...)
}

// matches reports whether an answer's header carries the ID of this request. An answer
// to another one is dropped, but also tells whether the searcher is leaving.
func (f *attempt) matches(h http.Header) bool {
	x := f.subrequest.dispatch
	if x.engine.c.Dialect.AttemptID(h) == x.req.ID {
		return true
	}
	if x.engine.c.Dialect.ParseReply(http.StatusOK, h).Leaving {
		f.searcher.RecordLeaving()
	}
	return false
}

// onDone passes the result to the request's goroutine. It runs on the
// connection's goroutine.
func (f *attempt) onDone(r conn.Result) {
	a := &reply{Result: r}
	if r.Err == nil {
		a.ReplyHeader = f.subrequest.dispatch.engine.c.Dialect.ParseReply(r.Status, r.Header)
	}
	f.recordOutcome(a)
	f.reportToGuard(a)
	f.subrequest.dispatch.results <- result{f, a}
	f.finished.Store(true)
	f.subrequest.dispatch.engine.orphans.remove(f)
}

// recordOutcome updates the statistics of the searcher and of the route.
func (f *attempt) recordOutcome(a *reply) {
	x := f.subrequest.dispatch
	if a.Err != nil {
		if a.Lost() {
			f.searcher.RecordOutcome(instance.Failed, a.Elapsed, x.medianLatency)
		}
		return
	}
	if a.HasLoad {
		f.searcher.RecordLoad(a.Load)
	}
	f.recordLimit(a)
	f.recordStatements(a)
	switch {
	case a.Misdirected:
		f.searcher.RecordOutcome(instance.WrongSearcher, a.Elapsed, x.medianLatency)
	case a.NotRun && a.HasWait:
		f.searcher.RecordOutcome(instance.Postponed, a.Elapsed, x.medianLatency)
	case a.NotRun:
		f.searcher.RecordOutcome(instance.Refused, a.Elapsed, x.medianLatency)
	case a.Status >= http.StatusInternalServerError || PromisesNotRun(a.Status) || a.Stamp == "":
		f.searcher.RecordOutcome(instance.Failed, a.Elapsed, x.medianLatency)
	default:
		x.stats.histogram.Add(a.Elapsed)
		f.searcher.RecordOutcome(instance.Served, a.Elapsed, x.medianLatency)
	}
}

// recordLimit passes on whether the searcher named a limit. Only a signed answer is
// known to be its own, so that only such an answer without a limit ends one.
func (f *attempt) recordLimit(a *reply) {
	switch {
	case a.Misdirected:
	case a.HasLimit:
		f.searcher.RecordLimit(a.Limit)
	case a.UnreadableLimit != "":
		f.searcher.RecordUnreadableLimit(a.UnreadableLimit)
	case a.Stamp != "":
		f.searcher.RecordNoLimit(f.startedAt)
	}
}

// recordStatements passes on what the searcher said of itself: that it is leaving, wants no
// requests for a while, or is cold.
func (f *attempt) recordStatements(a *reply) {
	switch {
	case a.Misdirected:
		return
	case a.HasWait:
		f.searcher.RecordWait(a.Wait)
	case a.UnreadableWait != "":
		f.searcher.RecordUnreadableWait(a.UnreadableWait)
	}
	if a.HasCold && (a.Cold > 0 || a.Stamp != "") {
		f.searcher.RecordCold(f.startedAt, a.Cold)
	}
	if a.Leaving {
		f.searcher.RecordLeaving()
	}
}

// lost reports whether the connection was lost before the answer to the attempt.
func (f *attempt) lost() bool { return f.reply != nil && f.reply.Lost() }

// handleResult processes the result of an attempt.
func (p *subrequest) handleResult(f *attempt, a *reply, now time.Time) {
	f.reply = a
	p.inFlight--
	if p.finished() {
		return
	}
	if a.Err != nil && !a.Sent {
		p.resendUnsent(a.Err, now)
		return
	}
	p.survived = p.survived || ranToEnd(a)
	switch {
	case a.refused():
		if a.NotRun {
			p.overloaded = true
			p.dispatch.short.Add(shortage.Slots)
		}
		p.retry(now, true)
	case a.Err == nil && p.isFinal(a):
		p.answer, p.answeredAt = a, now
	default:
		p.mayHaveRun = true
		p.recordFailure(a)
		allowed := p.dispatch.route.Idempotency == routing.Idempotent
		if a.Lost() {
			p.retryLost(now, allowed && !p.alone)
			return
		}
		p.retry(now, allowed)
	}
}

// recordFailure keeps the first error response, rather one whose status may be passed on.
func (p *subrequest) recordFailure(a *reply) {
	if a.Err != nil || a.Stamp == "" || a.Status < http.StatusMultipleChoices {
		return
	}
	if p.firstFailure == nil || PromisesNotRun(p.firstFailure.Status) && !PromisesNotRun(a.Status) {
		p.firstFailure = a
	}
}

// isFinal reports whether an answer needs no retry. A fan-out accepts only
// 2xx; a plain request accepts any status below 500 that does not promise that the
// request has not run. Unsigned and content-encoded answers are never final.
func (p *subrequest) isFinal(a *reply) bool {
	switch {
	case a.Stamp == "" || a.Header.Get("Content-Encoding") != "":
		return false
	case a.Status/100 == 2:
		return true
	}
	return !p.dispatch.route.IsFanOut() && a.Status < http.StatusInternalServerError && !PromisesNotRun(a.Status)
}

// resendUnsent gives an attempt that failed before it was sent to another
// searcher, a hedge too. This is not charged to the budget, as nothing arrived at
// a searcher.
func (p *subrequest) resendUnsent(err error, now time.Time) {
	p.sends--
	p.dispatch.sent--
	p.dispatch.noteUnsent(err)
	p.overloaded = p.overloaded || err == instance.ErrQueueFull
	if p.unsentCount++; p.unsentCount <= maxUnsentResends && !p.dispatch.revoked.Load() && p.sendToBest(now) {
		return
	}
	p.failed = p.inFlight == 0
	p.resumable = p.failed && p.unsentCount <= maxUnsentResends && !p.dispatch.revoked.Load()
}

// retry resends after a failure if the caller, the route's attempts, the
// deadline and the budget allow it; otherwise the subrequest fails. It does
// nothing while another attempt is in flight. A subrequest that only has to wait, for the
// budget or for a full searcher, is resumable.
func (p *subrequest) retry(now time.Time, allowed bool) {
	if p.inFlight > 0 {
		return
	}
	allowed = allowed && p.sends < max(p.dispatch.route.MaxAttempts, 1) && now.Before(p.dispatch.deadline)
	p.failed, p.resumable = true, false
	switch {
	case !allowed:
	case p.awaitsRefused(now):
		p.failed = false
		p.awaitRefused(now)
	case !p.hasUntried(now, takesRetry):
		p.dispatch.short.Add(shortage.Searchers)
		p.resumable = p.mayTakeAgain() || p.hasUntried(now, anySearcher)
	case !p.isFree() && (!p.maySpend(now) || !p.budget.AllowExtra(now, retrybudget.Retry)):
		p.dispatch.short.Add(shortage.Budget)
		p.resumable = true
	case p.sendToBestOf(now, takesRetry):
		p.failed = false
		p.dispatch.retries++
	}
}

// hedgeIfLate sends a hedge once hedgeAt has passed. If the last attempt still
// waits for a connection, it is moved to a better searcher instead, which is not
// charged to the budget.
func (p *subrequest) hedgeIfLate(now time.Time) {
	x := p.dispatch
	if p.finished() || p.held || p.hedgeAt.IsZero() || now.Before(p.hedgeAt) {
		return
	}
	p.hedgeAt = time.Time{}
	if p.inFlight == 0 {
		return
	}
	f := p.attempts[len(p.attempts)-1]
	if f.send.Queued() {
		x.short.Add(shortage.Connection)
		p.hedgeAt = now.Add(x.hedgeDelay)
		if p.hasBetter(now, f.searcher) && f.send.CancelQueued() {
			p.requeue(f, now)
		}
		return
	}
	current := p.candidate(f.searcher, now)
	x.noteLate(current)
	if p.noHedge() != "" || !p.hasUntried(now, takesRetry) {
		return
	}
	_, expected := placement.Predict(current)
	i, _ := p.chooseSearcher(now, takesHedge(expected, now.Sub(f.startedAt)))
	if i == nil || !p.maySpend(now) || !p.budget.AllowExtra(now, x.hedgePurpose(now)) {
		if i != nil {
			x.short.Add(shortage.Budget)
		}
		p.hedgeAt = now.Add(x.hedgeDelay / hedgeRetryDivisor)
		if now.Before(x.lastHedgeAt) && x.lastHedgeAt.Before(p.hedgeAt) {
			p.hedgeAt = x.lastHedgeAt
		}
		return
	}
	p.sendTo(i, now)
	x.hedges++
}

// noHedge returns why the subrequest gets no hedge, whatever the searchers and the budget permit;
// empty if it may get one.
func (p *subrequest) noHedge() string {
	x := p.dispatch
	switch {
	case p.alone:
		return "the request is suspected of crashing searchers and runs alone"
	case x.engine.c.Policy.NoHedges:
		return "hedges are disabled"
	case x.route.Idempotency != routing.Idempotent:
		return "requests of the route may run once only"
	case p.sends >= x.route.MaxAttempts:
		return "the route permits no further attempt"
	}
	return ""
}

// hedgePurpose returns the purpose of a hedge at a time.
func (x *dispatch) hedgePurpose(at time.Time) retrybudget.Purpose {
	if at.Before(x.lastHedgeAt) {
		return retrybudget.EarlyHedge
	}
	return retrybudget.LastHedge
}

// hasBetter reports whether an untried searcher has a shorter queue than the
// current one, or is not stalled while the current one is.
func (p *subrequest) hasBetter(now time.Time, current *instance.Instance) bool {
	currentState := p.candidate(current, now)
	return slices.ContainsFunc(p.instances, func(i *instance.Instance) bool {
		if i == current || !i.Usable() || p.tried(i) {
			return false
		}
		c := p.candidate(i, now)
		return !c.Suspect && c.LimitWait <= currentState.LimitWait && (c.Queued < currentState.Queued || currentState.StalledFor > p.dispatch.hedgeDelay && c.StalledFor < p.dispatch.hedgeDelay)
	})
}

// requeue sends an attempt that was withdrawn from a queue to another searcher.
// If all were tried, it forgets the withdrawn ones and chooses again.
func (p *subrequest) requeue(f *attempt, now time.Time) {
	p.attempts = slices.DeleteFunc(p.attempts, func(o *attempt) bool { return o == f })
	p.inFlight--
	p.sends--
	p.dispatch.sent--
	p.avoid = append(p.avoid, f.searcher)
	if p.sendToBest(now) {
		return
	}
	p.avoid = nil
	p.failed = !p.sendToBest(now)
}
