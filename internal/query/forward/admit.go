package forward

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"egrethaven/internal/query/admission"
	"egrethaven/internal/query/placement"
)

// retrySpread spreads the return of refused requests, so that they do not
// come back together: the least and most of a factor.
const (
	retrySpreadLeast = 0.7
	retrySpreadMost  = 1.6
)

// refusal is a decision not to send, with what it rests on.
type refusal struct {
	view     admission.View
	decision admission.Decision
}

// admit refuses a request that queues would make late. It reports true if the
// request may be sent.
func (x *run) admit(now time.Time) (Answer, bool) {
	if x.e.c.Policy.AdmitAll {
		return Answer{}, true
	}
	v := admission.View{Need: 1, Objective: x.cut.Sub(now), Left: x.end.Sub(now)}
	if x.route.IsFanOut() {
		v.Need = int(math.Ceil(x.route.MinCoverage*float64(len(x.parts)) - coverageSlack))
	}
	for _, p := range x.parts {
		s, ok := p.outlook(now)
		if ok {
			v.Shards = append(v.Shards, s)
		}
		p.doubtful = !ok
	}
	d := admission.Decide(v)
	if d.Admit {
		return Answer{}, true
	}
	x.refused = &refusal{view: v, decision: d}
	if d.Missing {
		return Answer{Status: http.StatusServiceUnavailable, Reason: NoSearcher, RetryAfter: retryAfterUnknown}, false
	}
	spread := retrySpreadLeast + (retrySpreadMost-retrySpreadLeast)*rand.Float64()
	return Answer{Status: http.StatusServiceUnavailable, Reason: Overloaded,
		RetryAfter: time.Duration(float64(d.RetryAfter) * spread)}, false
}

// outlook is what to expect of the best searcher of a part, which the first
// send goes to. It reports false if none seems to answer.
func (p *part) outlook(now time.Time) (admission.Shard, bool) {
	var c placement.Candidate
	if p.best, c = p.choose(now); p.best == nil || c.Suspect {
		return admission.Shard{}, false
	}
	wait, service := placement.Predict(c)
	return admission.Shard{Service: service, Wait: wait, Queued: c.Queued > 0 || c.Waiting >= c.Slots}, true
}
