package forward

import (
	"net/http"
	"time"

	"egrethaven/internal/query/topk"
)

const (
	// statusClientClosed is never sent; it stands for a client that left.
	statusClientClosed = 499
	// retryAfterFull is when a service without room may have some again: a
	// few usual service times.
	retryAfterFull = 100 * time.Millisecond
	// retryAfterUnknown is when a VM or service may be back that has nothing
	// to serve with.
	retryAfterUnknown = 500 * time.Millisecond
	// coverageSlack takes up the rounding of a share of shards.
	coverageSlack = 1e-9
)

// settled returns the answer once there is one.
func (x *run) settled(now time.Time) (Answer, bool) {
	if x.route.IsFanOut() {
		return x.settledFanOut(now)
	}
	p := x.parts[0]
	switch {
	case p.good != nil:
		return pass(p.good, Served), true
	case p.dead || !now.Before(x.end):
		return x.fail(now), true
	}
	return Answer{}, false
}

// settledFanOut answers when all parts are in, when no more will come, or
// when the objective is near and enough are in. It fails as soon as too few
// can come.
func (x *run) settledFanOut(now time.Time) (Answer, bool) {
	in, open := 0, 0
	for _, p := range x.parts {
		switch {
		case p.good != nil:
			in++
		case !p.dead:
			open++
		}
	}
	enough := func(n int) bool {
		return n > 0 && float64(n) >= x.route.MinCoverage*float64(len(x.parts))-coverageSlack
	}
	switch {
	case open == 0 && enough(in), enough(in) && !now.Before(x.cut):
		return x.merge(in), true
	case !enough(in + open), !now.Before(x.end):
		return x.fail(now), true
	}
	return Answer{}, false
}

// merge makes the answer to a fan-out of the parts that are in.
func (x *run) merge(in int) Answer {
	stamps := make([]string, 0, in)
	bodies := make([][]byte, 0, in)
	for _, p := range x.parts {
		if p.good != nil {
			stamps = append(stamps, p.good.Stamp)
			bodies = append(bodies, p.good.Body)
		}
	}
	h := http.Header{}
	x.e.c.Dialect.Parts(h, stamps, len(x.parts)-in)
	return Answer{Status: http.StatusOK, Header: h, Body: topk.Merge(bodies, x.route.TopK)}
}

// pass returns a searcher's answer unchanged.
func pass(a *reply, why Reason) Answer {
	return Answer{Status: a.Status, Header: a.Header, Body: a.Body, Reason: why}
}

// fail answers a request that was not served. Only one that no searcher can
// have run is refused with the promise that it has not run.
func (x *run) fail(now time.Time) Answer {
	ran, full := false, false
	for _, p := range x.parts {
		ran = ran || p.ran || p.good != nil
		full = full || p.full
		for _, f := range p.flights {
			// What is still under way may be running, or have run with its
			// answer not looked at yet; what is withdrawn never will.
			if !f.settled && !f.send.CancelQueued() {
				ran = true
			}
		}
	}
	late := !now.Before(x.end)
	switch {
	case !ran && full:
		return Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterFull, Reason: Overloaded}
	case !ran:
		return Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterUnknown, Reason: NoSearcher}
	case late:
		return Answer{Status: http.StatusGatewayTimeout, Reason: DeadlineReached}
	case x.route.IsFanOut():
		return Answer{Status: http.StatusBadGateway, Reason: TooFewShards}
	case x.parts[0].failure != nil:
		return pass(x.parts[0].failure, SearcherFailed)
	}
	return Answer{Status: http.StatusBadGateway, Reason: AnswerLost}
}
