package forward

import (
	"context"
	"net/http"
	"time"

	"egrethaven/internal/state/routing"
)

const (
	// returnMargin is the time that the ways from and to the client and the
	// merging of the parts take on a VM with a fifth of a core: a fan-out is
	// answered so much before the objective.
	returnMargin = 10 * time.Millisecond
	// endMargin is how long before the client's deadline a request ends.
	endMargin = 5 * time.Millisecond
	// leftoverGrace is how long after the deadline that a searcher was told
	// its answer may still come.
	leftoverGrace = 150 * time.Millisecond
	// goneGrace is how long work goes on for a client that has left: most
	// answers come within it, and closing their connections would cost the
	// searchers more. Work that lasts longer is ended.
	goneGrace = 200 * time.Millisecond
	// lastHedgeFactor, times the usual service time, and connectTime are how
	// long before the objective a send is hedged at the latest: a connection may
	// have to be opened, which takes a searcher some milliseconds.
	lastHedgeFactor = 1.5
	connectTime     = 10 * time.Millisecond
	// headSize is room for the common part of a send, in bytes, and sendSize
	// for the lines that each send adds.
	headSize = 512
	sendSize = 160
	// longest bounds a request for which neither client nor route does.
	longest = time.Minute
)

// run is one request being answered.
type run struct {
	e     *Engine
	q     Request
	s     *Snapshot
	route *routing.Route
	kind  *kind
	parts []*part
	// head is the part of a send that is the same for all searchers.
	head   []byte
	events chan done
	// cut is when a fan-out is answered with what has come in.
	cut time.Time
	// end is when the request is ended.
	end   time.Time
	usual time.Duration
	hedge time.Duration
	// lastHedge is when a hedge is needed for an answer in time.
	lastHedge time.Time
	// refused is set if the request was not sent at all.
	refused *refusal
	// sent, hedges and retries count the sends, for the log.
	sent, hedges, retries int
}

// done is the end of a send.
type done struct {
	f *flight
	a *reply
}

// newRun prepares a request.
func (e *Engine) newRun(q Request, s *Snapshot, r *routing.Route) *run {
	x := &run{e: e, q: q, s: s, route: r, kind: e.kind(r)}
	x.end = q.Arrived.Add(longest)
	if q.Patience > 0 {
		x.end = q.Arrived.Add(q.Patience - endMargin)
	}
	if t := q.Arrived.Add(r.Timeout); r.Timeout > 0 && t.Before(x.end) {
		x.end = t
	}
	x.cut = x.end
	if t := q.Arrived.Add(r.LatencyObjective - returnMargin); r.LatencyObjective > 0 && t.Before(x.cut) {
		x.cut = t
	}
	x.usual, x.hedge = x.kind.expect(q.Arrived)
	x.lastHedge = x.cut.Add(-time.Duration(lastHedgeFactor*float64(x.usual)) - connectTime)
	// Few requests say little of how long most take. A hedge that comes too
	// late is worth nothing.
	x.hedge = min(x.hedge, max(x.lastHedge.Sub(q.Arrived), x.usual))
	services := r.Shards
	if !r.IsFanOut() {
		services = []string{e.service(s.Config.Version, r)}
	}
	x.parts = make([]*part, len(services))
	for i, name := range services {
		x.parts[i] = &part{run: x, service: name, budget: e.budget(name), instances: s.Instances[name]}
	}
	x.events = make(chan done, len(services)*(max(r.MaxAttempts, 1)+maxUnsent+1))
	x.head = x.encodeHead()
	return x
}

// answer sends the request and waits until the answer is settled.
func (x *run) answer(ctx context.Context) Answer {
	now := time.Now()
	if a, ok := x.admit(now); !ok {
		return a
	}
	for _, p := range x.parts {
		p.first(now)
	}
	t := time.NewTimer(time.Until(x.end))
	defer t.Stop()
	for {
		if a, ok := x.settled(now); ok {
			x.leave(x.end.Add(leftoverGrace))
			return a
		}
		t.Reset(time.Until(x.wake(now)))
		select {
		case d := <-x.events:
			now = time.Now()
			d.f.part.ends(d.f, d.a, now)
			x.drain(now)
		case <-t.C:
			now = time.Now()
			x.drain(now)
			for _, p := range x.parts {
				p.late(now)
			}
		case <-ctx.Done():
			x.leave(x.abandonAt(time.Now()))
			return Answer{Status: statusClientClosed, Reason: ClientGone}
		}
	}
}

// abandonAt is when work for a client that has left is ended. A request that
// may run once only is not broken off: it could not be repeated.
func (x *run) abandonAt(now time.Time) time.Time {
	if x.route.Idempotency != routing.Idempotent {
		return x.end.Add(leftoverGrace)
	}
	return now.Add(goneGrace)
}

// drain takes the sends that have ended meanwhile.
func (x *run) drain(now time.Time) {
	for {
		select {
		case d := <-x.events:
			d.f.part.ends(d.f, d.a, now)
		default:
			return
		}
	}
}

// wake returns when something is to be decided without an event.
func (x *run) wake(now time.Time) time.Time {
	t := x.end
	if x.cut.After(now) && x.cut.Before(t) && x.route.IsFanOut() {
		t = x.cut
	}
	for _, p := range x.parts {
		if !p.over() && !p.hedgeAt.IsZero() && p.hedgeAt.Before(t) {
			t = p.hedgeAt
		}
	}
	return t
}

// leave gives up what is still under way: requests that were not sent are
// withdrawn, the others are left until a time.
func (x *run) leave(until time.Time) {
	now := time.Now()
	for _, p := range x.parts {
		for _, f := range p.flights {
			if !f.settled && !f.send.CancelQueued() {
				f.at.ReportOverdue(now.Sub(f.began), x.usual)
				x.e.leftover.add(f, until)
			}
		}
	}
}

// encodeHead lays out the part of a send that is the same for all searchers.
func (x *run) encodeHead() []byte {
	q := x.q
	b := make([]byte, 0, headSize)
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, vs := range q.Header {
		for _, v := range vs {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// methodHasBody tells whether a request without a body still states its
// length.
func methodHasBody(m string) bool {
	return m == http.MethodPost || m == http.MethodPut || m == http.MethodPatch
}
