package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"egrethaven/internal/query/shedding"
	"egrethaven/internal/query/topk"
)

const (
	// statusClientClosed marks a request whose client disconnected. It is never
	// sent.
	statusClientClosed = 499
	// retryAfterOverload is the Retry-After for an overloaded service: a few
	// median latencies.
	retryAfterOverload = 100 * time.Millisecond
	// retryAfterUnknown is the Retry-After if there is no configuration or no
	// searcher.
	retryAfterUnknown = 500 * time.Millisecond
	// coverageEpsilon absorbs floating-point rounding of the required coverage.
	coverageEpsilon = 1e-9
)

// tryAnswer returns the answer once it is determined, and false before.
func (x *dispatch) tryAnswer(now time.Time) (Answer, bool) {
	if x.route.IsFanOut() {
		return x.tryFanOutAnswer(now)
	}
	p := x.subrequests[0]
	switch {
	case p.answer != nil:
		return passThrough(p.answer, Served), true
	case p.failed || !now.Before(x.deadline):
		return x.failureAnswer(now), true
	}
	return Answer{}, false
}

// tryFanOutAnswer returns the answer once no shard is pending, or at the partial
// deadline if enough shards have answered. It fails as soon as too few can
// still answer.
func (x *dispatch) tryFanOutAnswer(now time.Time) (Answer, bool) {
	answered, pending := 0, 0
	for _, p := range x.subrequests {
		switch {
		case p.answer != nil:
			answered++
		case !p.failed:
			pending++
		}
	}
	enough := func(n int) bool {
		return n > 0 && float64(n) >= x.route.MinCoverage*float64(len(x.subrequests))-coverageEpsilon
	}
	switch {
	case pending == 0 && enough(answered), enough(answered) && !now.Before(x.partialDeadline):
		return x.merge(answered), true
	case !enough(answered + pending), !now.Before(x.deadline):
		return x.failureAnswer(now), true
	}
	return Answer{}, false
}

// merge merges the answers of the shards that have answered.
func (x *dispatch) merge(answered int) Answer {
	stamps := make([]string, 0, answered)
	bodies := make([][]byte, 0, answered)
	for _, p := range x.subrequests {
		if p.answer != nil {
			stamps = append(stamps, p.answer.Stamp)
			bodies = append(bodies, p.answer.Body)
		}
	}
	h := http.Header{}
	x.engine.c.Dialect.WriteFanOutHeader(h, stamps, len(x.subrequests)-answered)
	return Answer{Status: http.StatusOK, Header: h, Body: topk.Merge(bodies, x.route.TopK)}
}

// PromisesNotRun reports whether a status promises the client that the request has not run
// and never will. Searchers also fail with such a status after they have run a request.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passThrough returns a searcher's answer unchanged.
func passThrough(a *reply, why Reason) Answer {
	return Answer{Status: a.Status, Header: a.Header, Body: a.Body, Reason: why}
}

// namedWait returns the time before which no searcher of some shard without an answer
// wants a request; 0 if there is none.
func (x *dispatch) namedWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, p := range x.subrequests {
		if p.answer != nil || len(p.instances) == 0 {
			continue
		}
		first := p.candidate(p.instances[0], now).NamedWait
		for _, i := range p.instances[1:] {
			first = min(first, p.candidate(i, now).NamedWait)
		}
		longest = max(longest, first)
	}
	return longest
}

// failureAnswer returns the answer to a request that was not served. Status 503
// promises that the request has not run, so it is returned only if no searcher
// can have run it.
func (x *dispatch) failureAnswer(now time.Time) Answer {
	mayHaveRun, overloaded := false, false
	for _, p := range x.subrequests {
		mayHaveRun = mayHaveRun || p.mayHaveRun || p.answer != nil
		overloaded = overloaded || p.overloaded
		for _, f := range p.attempts {
			// A send in flight may be running, or have run with its answer not
			// handled yet. A withdrawn one never runs.
			if f.reply == nil && !f.send.CancelQueued() {
				mayHaveRun = true
			}
		}
	}
	late := !now.Before(x.deadline)
	switch {
	case !mayHaveRun && x.revoked.Load():
		return refusalFor(UnknownKey)
	case !mayHaveRun && overloaded:
		return Answer{Status: http.StatusServiceUnavailable, RetryAfter: shedding.ReturnAfter(retryAfterOverload, x.namedWait(now), rand.Float64()), Reason: Overloaded}
	case !mayHaveRun:
		return Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterUnknown, Reason: NoSearcher}
	case late:
		return Answer{Status: http.StatusGatewayTimeout, Reason: DeadlineReached}
	case x.route.IsFanOut():
		return Answer{Status: http.StatusBadGateway, Reason: TooFewShards}
	}
	f := x.subrequests[0].firstFailure
	switch {
	case f == nil:
		return Answer{Status: http.StatusBadGateway, Reason: AnswerLost}
	case PromisesNotRun(f.Status):
		return Answer{Status: http.StatusBadGateway, Reason: SearcherFailed}
	}
	return passThrough(f, SearcherFailed)
}
