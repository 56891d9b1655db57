package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"egrethaven/internal/query/shedding"
	"egrethaven/internal/query/shortage"
	"egrethaven/internal/state/region"
	"egrethaven/internal/state/routing"
)

const (
	// A fan-out is answered objectiveMargin before the objective, or earlier by
	// mergeMargin and the client's network time. mergeMargin covers the merge on a
	// VM with a fifth of a core, and objectiveMargin also a client that is near.
	objectiveMargin = 10 * time.Millisecond
	mergeMargin     = 6 * time.Millisecond
	// minWaitShare is the share of the objective for which a fan-out waits for its
	// shards in any case. A client farther away gets its answer late.
	minWaitShare = 0.5
	// deadlineMargin is how long before the client's deadline a request ends.
	deadlineMargin = 5 * time.Millisecond
	// orphanGrace is how long after the deadline passed to a searcher its answer
	// may still arrive.
	orphanGrace = 150 * time.Millisecond
	// clientGoneGrace is how long sends continue after the client disconnected.
	// Most answers arrive within it, and closing the connections would cost the
	// searchers more. Later the sends are aborted.
	clientGoneGrace = 200 * time.Millisecond
	// The last hedge is sent lastHedgeFactor median latencies plus
	// connectAllowance before the partial deadline. connectAllowance covers
	// opening a connection, which takes a searcher some milliseconds.
	lastHedgeFactor  = 1.5
	connectAllowance = 10 * time.Millisecond
	// headCapacity is the capacity in bytes for what a request head has beside method,
	// target, host and header lines, and sendCapacity for the lines that each send adds.
	headCapacity = len(" ") + len(" HTTP/1.1\r\nHost: ") + len("\r\n")
	sendCapacity = 160
	// defaultTimeout applies if neither the client nor the route sets a timeout.
	defaultTimeout = time.Minute
)

// dispatch is the state of one request while it is being answered.
type dispatch struct {
	engine   *Engine
	req      Request
	snapshot *Snapshot
	route    *routing.Route
	client   client
	// regions decides which searchers and VMs may take the request.
	regions     region.Filter
	stats       *routeStats
	subrequests []*subrequest
	// requestHead is the start of the HTTP request, common to all searchers; nil before the
	// first send, so that a request that is not sent does not take this memory.
	requestHead []byte
	results     chan result
	// partialDeadline is when a fan-out is answered with the shards that have
	// answered, if they are enough.
	partialDeadline time.Time
	// deadline is when the request fails.
	deadline      time.Time
	medianLatency time.Duration
	hedgeDelay    time.Duration
	// lastHedgeAt is the last moment at which a hedge is expected to be answered by
	// partialDeadline. From then on, hedges have the purpose retrybudget.LastHedge.
	lastHedgeAt time.Time
	// shed describes the request for the order of queues and for what it may spend.
	shed shedding.Request
	// refusal is set if admission refused the request.
	refusal *refusal
	// isolated is closed when this VM is found to be cut off from searchers, and
	// isolatedSince is when it was, if that was before the request; zero if it was not.
	isolated      <-chan struct{}
	isolatedSince time.Time
	fingerprint   uint64
	// trial is set while parts of the request wait for the result of another one. suspect
	// is set if the request was a suspect when it came.
	trial   *trial
	suspect bool
	// revoked is set once a newer configuration no longer permits the request as it is, or
	// the copy of the store is too old to tell.
	revoked atomic.Bool
	// short holds the resources that the request ran short of.
	short shortage.Set
	// sent, hedges and retries count sends for the log.
	sent, hedges, retries int
}

// result is the result of an attempt.
type result struct {
	attempt *attempt
	reply   *reply
}

// newDispatch computes the deadlines of a request and its subrequests.
func (e *Engine) newDispatch(q Request, s *Snapshot, r *routing.Route, c client) *dispatch {
	services := r.Shards
	if !r.IsFanOut() {
		services = []string{e.chooseService(s.Config.Version, r)}
	}
	return e.newDispatchTo(q, s, r, c, services)
}

// newDispatchTo is newDispatch for the given services.
func (e *Engine) newDispatchTo(q Request, s *Snapshot, r *routing.Route, c client, services []string) *dispatch {
	x := &dispatch{engine: e, req: q, snapshot: s, route: r, client: c, stats: e.statsFor(r), fingerprint: q.fingerprint(c.name())}
	x.regions = x.regionFilter()
	x.isolatedSince, x.isolated = e.isolation()
	x.deadline = q.Arrived.Add(defaultTimeout)
	if q.Timeout > 0 {
		x.deadline = q.Arrived.Add(q.Timeout - deadlineMargin)
	}
	if t := q.Arrived.Add(r.Timeout); r.Timeout > 0 && t.Before(x.deadline) {
		x.deadline = t
	}
	x.partialDeadline = x.deadline
	if t := q.Arrived.Add(partialWait(r.LatencyObjective, q.NetworkTime)); r.LatencyObjective > 0 && t.Before(x.partialDeadline) {
		x.partialDeadline = t
	}
	latencies := x.stats.latencies
	if q.explained {
		latencies = x.stats.peek
	}
	x.medianLatency, x.hedgeDelay = latencies(q.Arrived)
	x.noteTimeout()
	x.lastHedgeAt = x.partialDeadline.Add(-time.Duration(lastHedgeFactor*float64(x.medianLatency)) - connectAllowance)
	// Quantiles of few samples are inaccurate, so the hedge delay is limited to
	// the last moment at which a hedge is useful.
	x.hedgeDelay = min(x.hedgeDelay, max(x.lastHedgeAt.Sub(q.Arrived), x.medianLatency))
	x.shed = x.describeForQueues(len(services))
	x.subrequests = make([]*subrequest, len(services))
	for i, name := range services {
		x.subrequests[i] = &subrequest{dispatch: x, service: name, budget: e.budgetFor(name), instances: x.permittedInstances(name), sends: q.Sends}
	}
	x.results = make(chan result, len(services)*(max(r.MaxAttempts, 1)+maxUnsentResends+1))
	return x
}

// partialWait returns how long a fan-out waits for all its shards, so that the
// client, which takes networkTime longer than this process measures, gets the
// answer within the objective.
func partialWait(objective, networkTime time.Duration) time.Duration {
	wait := objective - max(objectiveMargin, mergeMargin+networkTime)
	return max(wait, time.Duration(minWaitShare*float64(objective)))
}

// run sends the request and waits for the answer.
func (x *dispatch) run(ctx context.Context) Answer {
	if a, ok := x.awaitPermission(ctx); !ok {
		return a
	}
	defer x.endTrial()
	now := time.Now()
	if a, ok := x.admit(now); !ok {
		return x.orHandOver(ctx, a)
	}
	x.sendFirst(now)
	t := time.NewTimer(time.Until(x.deadline))
	defer t.Stop()
	for {
		x.continueTrial(now)
		x.resumeFailed(now)
		if a, ok := x.tryAnswer(now); ok {
			x.abandonSends(x.deadline.Add(orphanGrace))
			return x.orHandOver(ctx, a)
		}
		due := x.nextWake(now)
		t.Reset(time.Until(due))
		select {
		case d := <-x.results:
			now = time.Now()
			d.attempt.subrequest.handleResult(d.attempt, d.reply, now)
			x.drainResults(now)
		case <-t.C:
			now = time.Now()
			x.noteWake(due, now)
			x.drainResults(now)
			for _, p := range x.subrequests {
				p.resumeIfDue(now)
				p.hedgeIfLate(now)
			}
		case <-x.isolated:
			now = time.Now()
			x.isolated, x.isolatedSince = nil, now
			if a, ok := x.handOverPending(ctx, now); ok {
				x.abandonSends(x.deadline.Add(orphanGrace))
				return a
			}
		case <-ctx.Done():
			x.abandonSends(x.abandonTime(time.Now()))
			return Answer{Status: statusClientClosed, Reason: ClientGone}
		}
	}
}

// abandonTime returns when to abort sends after the client disconnected. A
// request that is not idempotent gets the full time, as it can't be repeated.
func (x *dispatch) abandonTime(now time.Time) time.Time {
	if x.route.Idempotency != routing.Idempotent {
		return x.deadline.Add(orphanGrace)
	}
	return now.Add(clientGoneGrace)
}

// drainResults handles all results received so far.
func (x *dispatch) drainResults(now time.Time) {
	for {
		select {
		case d := <-x.results:
			d.attempt.subrequest.handleResult(d.attempt, d.reply, now)
		default:
			return
		}
	}
}

// nextWake returns the time of the next hedge, resumption or deadline.
func (x *dispatch) nextWake(now time.Time) time.Time {
	t := x.deadline
	if x.partialDeadline.After(now) && x.partialDeadline.Before(t) && x.route.IsFanOut() {
		t = x.partialDeadline
	}
	// Without a part that runs, nothing is released, and the time may have passed.
	if x.trial != nil && x.trial.part != nil && !x.trial.releaseAt.IsZero() && x.trial.releaseAt.Before(t) {
		t = x.trial.releaseAt
	}
	for _, p := range x.subrequests {
		if !p.finished() && !p.held && !p.hedgeAt.IsZero() && p.hedgeAt.Before(t) {
			t = p.hedgeAt
		}
		if !p.resumeAt.IsZero() && p.resumeAt.Before(t) {
			t = p.resumeAt
		}
	}
	return t
}

// abandonSends withdraws queued sends and hands those in flight over to
// orphanedSends, which aborts them at the given time.
func (x *dispatch) abandonSends(until time.Time) {
	now := time.Now()
	for _, p := range x.subrequests {
		for _, f := range p.attempts {
			if f.reply == nil && !f.send.CancelQueued() {
				f.searcher.ReportOverdue(now.Sub(f.startedAt), x.medianLatency)
				x.engine.orphans.add(f, until)
			}
		}
	}
}

// encodeRequestHead encodes the request line and the client's headers. Its buffer has the
// size of the head from the start: growing it took four times the memory of large heads.
func (x *dispatch) encodeRequestHead() []byte {
	q := x.req
	n := len(q.Method) + len(q.Target) + len(q.Host) + headCapacity
	for name, vs := range q.Header {
		for _, v := range vs {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	b := make([]byte, 0, n)
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

// needsContentLength reports whether a request with this method needs a
// Content-Length even if its body is empty.
func needsContentLength(m string) bool {
	return m == http.MethodPost || m == http.MethodPut || m == http.MethodPatch
}
