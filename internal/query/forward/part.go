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
	"egrethaven/internal/state/routing"
)

const (
	// maxUnsent bounds how often a send that never left is placed anew.
	maxUnsent = 8
	// hedgeAgain is the part of the hedge delay after which a hedge that the
	// budget refused is tried again.
	hedgeAgain = 2
)

// part is the share of one service in a request.
type part struct {
	run       *run
	service   string
	budget    *retrybudget.Budget
	instances []*instance.Instance
	flights   []*flight
	// sends counts the searchers that were reached, unsent the sends that
	// never left.
	sends, unsent int
	open          int
	hedgeAt       time.Time
	// ran tells that a searcher may have begun to run the request.
	ran bool
	// full tells that a searcher declined for want of room.
	full bool
	// good is the answer, failure the first answer that was a failure.
	good    *reply
	failure *reply
	// overAt is when the answer came.
	overAt time.Time
	// dead parts will get no answer.
	dead bool
	// best is the searcher that admission chose for the first send; nil
	// without one.
	best *instance.Instance
	// doubtful parts have no searcher that seems to answer.
	doubtful bool
	// left are the searchers in whose queues the send waited in vain.
	left []*instance.Instance
}

// reply is a searcher's answer with what its header says.
type reply struct {
	Reply
	conn.Result
}

// flight is one send of a part.
type flight struct {
	part  *part
	at    *instance.Instance
	send  *instance.Call
	began time.Time
	// ended is set once the result is on its way to the request.
	ended atomic.Bool
	// settled is set once the request has taken the result, or has taken
	// back the send. Only the request's goroutine uses it.
	settled bool
	// result is how the send ended, once it is settled.
	result conn.Result
}

// over tells whether nothing more is awaited of the part.
func (p *part) over() bool { return p.good != nil || p.dead }

// first makes the first send.
func (p *part) first(now time.Time) {
	p.budget.First(now)
	p.hedgeAt = now.Add(p.run.hedge)
	// A fan-out that has enough other shards does not wait for one whose
	// searchers are left alone for a moment.
	switch {
	case p.run.route.IsFanOut() && p.doubtful:
		p.dead = true
	case p.best != nil:
		p.sendTo(p.best, now)
	default:
		p.dead = !p.place(now)
	}
}

// place sends to the best searcher that was not tried before. It reports
// false if there is none.
func (p *part) place(now time.Time) bool {
	i, _ := p.choose(now)
	if i == nil {
		return false
	}
	p.sendTo(i, now)
	return true
}

// choose returns the best searcher that may be sent to and was not tried
// before, and what is known of it; nil if there is none.
func (p *part) choose(now time.Time) (*instance.Instance, placement.Candidate) {
	var cs []placement.Candidate
	var is []*instance.Instance
	for _, i := range p.instances {
		if i.Usable() && !p.tried(i) {
			cs = append(cs, p.candidate(i, now))
			is = append(is, i)
		}
	}
	n := placement.Choose(cs, pick)
	if n < 0 {
		return nil, placement.Candidate{}
	}
	return is[n], cs[n]
}

// sendTo sends to a searcher.
func (p *part) sendTo(i *instance.Instance, now time.Time) {
	p.sends++
	p.open++
	p.run.sent++
	f := &flight{part: p, at: i, began: now}
	p.flights = append(p.flights, f)
	f.send = i.Send(instance.Request{Method: p.run.q.Method, Build: f.build, Matches: f.owns, Done: f.done})
}

// candidate is what is known of a searcher for placing this part.
func (p *part) candidate(i *instance.Instance, now time.Time) placement.Candidate {
	return i.Candidate(now, p.run.e.c.Domain, p.run.usual)
}

// another tells whether a searcher is left to send to, so that nothing is
// taken from the budget in vain.
func (p *part) another() bool {
	return slices.ContainsFunc(p.instances, func(i *instance.Instance) bool { return i.Usable() && !p.tried(i) })
}

// tried tells whether a searcher has had this part before, or had it waiting
// in vain.
func (p *part) tried(i *instance.Instance) bool {
	return slices.Contains(p.left, i) || slices.ContainsFunc(p.flights, func(f *flight) bool { return f.at == i })
}

// build lays out the send; nil if the time is over.
func (f *flight) build() []byte {
	x := f.part.run
	left := time.Until(x.end).Truncate(time.Millisecond)
	if left <= 0 {
		return nil
	}
	b := make([]byte, 0, len(x.head)+len(x.q.Body)+sendSize)
	b = append(b, x.head...)
	b = x.e.c.Dialect.AppendSending(b, Sending{ID: x.q.ID, Left: left, Expect: f.at.Searcher().ID})
	if len(x.q.Body) > 0 || methodHasBody(x.q.Method) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(x.q.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, x.q.Body...)
}

// owns tells whether an answer belongs to this send.
func (f *flight) owns(h http.Header) bool {
	return f.part.run.e.c.Dialect.Attempt(h) == f.part.run.q.ID
}

// done takes the end of the send. It runs on the connection's goroutine.
func (f *flight) done(r conn.Result) {
	a := &reply{Result: r}
	if r.Err == nil {
		a.Reply = f.part.run.e.c.Dialect.Reply(r.Status, r.Header)
	}
	f.learn(a)
	f.part.run.events <- done{f, a}
	f.ended.Store(true)
	f.part.run.e.leftover.remove(f)
}

// learn tells the searcher's record what became of the send.
func (f *flight) learn(a *reply) {
	x := f.part.run
	if a.Err != nil {
		if a.Sent && a.Err != conn.ErrClosed {
			f.at.RecordOutcome(instance.Failed, a.Elapsed, x.usual)
		}
		return
	}
	if a.HasLoad {
		f.at.RecordLoad(a.Load)
	}
	switch {
	case a.Misdirected:
		f.at.RecordOutcome(instance.WrongSearcher, a.Elapsed, x.usual)
	case a.NotRun:
		f.at.RecordOutcome(instance.Refused, a.Elapsed, x.usual)
	case a.Status >= http.StatusInternalServerError || a.Stamp == "":
		f.at.RecordOutcome(instance.Failed, a.Elapsed, x.usual)
	default:
		x.kind.times.Add(a.Elapsed)
		f.at.RecordOutcome(instance.Served, a.Elapsed, x.usual)
	}
}

// ends takes the result of a send.
func (p *part) ends(f *flight, a *reply, now time.Time) {
	f.settled = true
	f.result = a.Result
	p.open--
	if p.over() {
		return
	}
	if a.Err != nil && !a.Sent {
		p.notSent(a.Err, now)
		return
	}
	switch {
	case a.Err == nil && (a.NotRun || a.Misdirected):
		p.full = p.full || a.NotRun
		p.again(now, true)
	case a.Err == nil && p.accept(a):
		p.good, p.overAt = a, now
	default:
		p.ran = true
		if a.Err == nil && a.Stamp != "" && a.Status >= http.StatusMultipleChoices && p.failure == nil {
			p.failure = a
		}
		p.again(now, p.run.route.Idempotency == routing.Idempotent)
	}
}

// accept tells whether an answer is final. A fan-out needs a success; a plain
// request also takes what the searcher says of the request itself.
func (p *part) accept(a *reply) bool {
	switch {
	case a.Stamp == "" || a.Header.Get("Content-Encoding") != "":
		return false
	case a.Status/100 == 2:
		return true
	}
	return !p.run.route.IsFanOut() && a.Status < http.StatusInternalServerError
}

// notSent places a send anew that never left: it has cost nothing.
func (p *part) notSent(err error, now time.Time) {
	p.sends--
	p.run.sent--
	p.full = p.full || err == instance.ErrQueueFull
	if p.unsent++; p.unsent <= maxUnsent && p.open == 0 && p.place(now) {
		return
	}
	p.dead = p.open == 0
}

// again sends the request once more after a failure, if it may be.
func (p *part) again(now time.Time, allowed bool) {
	if p.open > 0 {
		return
	}
	allowed = allowed && p.sends < max(p.run.route.MaxAttempts, 1) && now.Before(p.run.end)
	if allowed && p.another() && p.budget.Extra(now, retrybudget.Retry) && p.place(now) {
		p.run.retries++
		return
	}
	p.dead = true
}

// late hedges a send that is late. One that still waits for a connection is
// moved to a searcher with a shorter queue instead, which costs no send.
func (p *part) late(now time.Time) {
	x := p.run
	if p.over() || p.hedgeAt.IsZero() || now.Before(p.hedgeAt) {
		return
	}
	p.hedgeAt = time.Time{}
	f := p.flights[len(p.flights)-1]
	if f.send.Queued() {
		p.hedgeAt = now.Add(x.hedge)
		if p.shorter(now, f.at) && f.send.CancelQueued() {
			p.move(f, now)
		}
		return
	}
	if x.route.Idempotency != routing.Idempotent || p.sends >= x.route.MaxAttempts || x.e.c.Policy.NoHedges || !p.another() {
		return
	}
	purpose := retrybudget.EarlyHedge
	if !now.Before(x.lastHedge) {
		purpose = retrybudget.LastHedge
	}
	if !p.budget.Extra(now, purpose) {
		p.hedgeAt = now.Add(x.hedge / hedgeAgain)
		if now.Before(x.lastHedge) && x.lastHedge.Before(p.hedgeAt) {
			p.hedgeAt = x.lastHedge
		}
		return
	}
	if p.place(now) {
		x.hedges++
	}
}

// shorter tells whether another searcher has a shorter queue than one, or
// answers while that one does not.
func (p *part) shorter(now time.Time, than *instance.Instance) bool {
	stay := p.candidate(than, now)
	return slices.ContainsFunc(p.instances, func(i *instance.Instance) bool {
		if i == than || !i.Usable() || p.tried(i) {
			return false
		}
		c := p.candidate(i, now)
		return !c.Suspect && (c.Queued < stay.Queued || stay.Stalled > p.run.hedge && c.Stalled < p.run.hedge)
	})
}

// move takes a send that was withdrawn from a queue to another searcher, or,
// if it has waited at all of them, once more to the best.
func (p *part) move(f *flight, now time.Time) {
	f.settled = true
	p.flights = slices.DeleteFunc(p.flights, func(o *flight) bool { return o == f })
	p.open--
	p.sends--
	p.run.sent--
	p.left = append(p.left, f.at)
	if p.place(now) {
		return
	}
	p.left = nil
	p.dead = !p.place(now)
}
