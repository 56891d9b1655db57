package forward

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/lostcalls"
	"egrethaven/internal/state/routing"
)

// minHandoverTime is the time before the deadline up to which a request is handed over.
// It covers the way to another VM and back, and a searcher's work.
const minHandoverTime = 20 * time.Millisecond

// SetIsolated records whether this VM is cut off from searchers. Requests under way that
// may be repeated are then handed over to other VMs.
func (e *Engine) SetIsolated(isolated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case isolated == !e.isolatedSince.IsZero():
	case isolated:
		e.isolatedSince = time.Now()
		close(e.isolated)
	default:
		e.isolatedSince, e.isolated = time.Time{}, make(chan struct{})
	}
}

// isolation returns since when this VM is cut off, and otherwise a channel that is closed
// as soon as it is.
func (e *Engine) isolation() (time.Time, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isolatedSince.IsZero() {
		return e.isolatedSince, nil
	}
	return time.Time{}, e.isolated
}

// orHandOver returns the answer of another VM if this one cannot serve the request,
// otherwise the given answer.
func (x *dispatch) orHandOver(ctx context.Context, a Answer) Answer {
	mayHaveRun := true
	switch a.Reason {
	case NoSearcher:
		mayHaveRun = false
	case AnswerLost, TooFewShards:
		if x.suspect || x.route.Idempotency != routing.Idempotent || !x.lacksSearchers(time.Now()) {
			return a
		}
	default:
		return a
	}
	if b, ok := x.handOver(ctx, mayHaveRun); ok {
		return b
	}
	return a
}

// handOverPending hands over a request whose searchers do not react. It reports false if
// no other VM can serve it.
func (x *dispatch) handOverPending(ctx context.Context, now time.Time) (Answer, bool) {
	if x.suspect || x.route.Idempotency != routing.Idempotent || !x.lacksSearchers(now) {
		return Answer{}, false
	}
	return x.handOver(ctx, true)
}

// lacksSearchers reports whether too few shards have answered or have a searcher that
// responds to this VM.
func (x *dispatch) lacksSearchers(now time.Time) bool {
	n := 0
	for _, p := range x.subrequests {
		if p.answer != nil || p.hasResponsive(now) {
			n++
		}
	}
	return n < x.minShards()
}

// hasResponsive reports whether a searcher seems responsive, whether or not the request
// was sent to it.
func (p *subrequest) hasResponsive(now time.Time) bool {
	return slices.ContainsFunc(p.instances, func(i *instance.Instance) bool {
		return i.Usable() && !p.candidate(i, now).Suspect
	})
}

// handOver hands the request over to another VM. It reports false if the request may not
// be handed over or no other VM can serve it. mayHaveRun tells that a searcher may have
// run what this VM has sent.
func (x *dispatch) handOver(ctx context.Context, mayHaveRun bool) (Answer, bool) {
	e := x.engine
	if e.c.HandOver == nil || x.req.HandedOver || time.Until(x.deadline) < minHandoverTime {
		return Answer{}, false
	}
	if !x.stillPermitted() {
		return refusalFor(UnknownKey), !mayHaveRun
	}
	h := Handover{Request: x.req, Route: x.route.Name, ConfigVersion: x.snapshot.Config.Version, Deadline: x.deadline,
		Repeatable: x.route.Idempotency == routing.Idempotent, MaxSends: max(x.route.MaxAttempts, 1), MayHaveRun: mayHaveRun,
		Evidence: e.c.Guard.Evidence(x.fingerprint)}
	h.Account, h.key, h.Regions = x.client.name(), "", x.regions
	for _, p := range x.subrequests {
		h.Sends = max(h.Sends, p.sends)
	}
	if h.Sends >= h.MaxSends {
		return Answer{}, false
	}
	a, ok := e.c.HandOver(ctx, h)
	if ok && a.Reason == Served {
		for _, p := range x.subrequests {
			e.c.Guard.RecordAnswer(lostcalls.Call{Fingerprint: x.fingerprint, Service: p.service}, time.Time{})
		}
	}
	return a, ok
}
