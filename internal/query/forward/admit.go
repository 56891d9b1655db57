package forward

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"egrethaven/internal/query/admission"
	"egrethaven/internal/query/placement"
	"egrethaven/internal/query/shedding"
)

// refusal is an admission decision not to send, with its input for the log.
type refusal struct {
	request  admission.Request
	decision admission.Decision
}

// admit runs admission control. It returns true if the request may be sent,
// otherwise the refusal to return to the client.
func (x *dispatch) admit(now time.Time) (Answer, bool) {
	if x.engine.c.Policy.AdmitAll {
		return Answer{}, true
	}
	v := admission.Request{MinShards: x.minShards(), Objective: x.partialDeadline.Sub(now), TimeLeft: x.deadline.Sub(now), Standing: x.shed.Standing}
	responsive := make([]*subrequest, 0, len(x.subrequests))
	for _, p := range x.subrequests {
		s, ok := p.predict(now)
		if ok {
			v.Shards = append(v.Shards, s)
			responsive = append(responsive, p)
		}
		p.unavailable = !ok
	}
	d := admission.Decide(v)
	if d.Admit {
		for _, n := range d.LeaveOut {
			responsive[n].leftOut = true
		}
		return Answer{}, true
	}
	x.refusal = &refusal{request: v, decision: d}
	x.noteRefusal(v, d)
	if d.TooFewShards {
		return Answer{Status: http.StatusServiceUnavailable, Reason: NoSearcher, RetryAfter: retryAfterUnknown}, false
	}
	return Answer{Status: http.StatusServiceUnavailable, Reason: Overloaded,
		RetryAfter: shedding.ReturnAfter(d.RetryAfter, d.NotBefore, rand.Float64())}, false
}

// minShards returns the number of shards that have to answer; 1 for a plain request.
func (x *dispatch) minShards() int {
	if !x.route.IsFanOut() {
		return 1
	}
	return int(math.Ceil(x.route.MinCoverage*float64(len(x.subrequests)) - coverageEpsilon))
}

// predict chooses the searcher for the first send and returns its expected
// times. It returns false if no searcher seems responsive.
func (p *subrequest) predict(now time.Time) (admission.Shard, bool) {
	var c placement.Candidate
	limited := true
	p.preferred, c = p.chooseSearcher(now, func(c placement.Candidate) bool {
		limited = limited && (c.Limited || c.Suspect)
		return true
	})
	if p.preferred == nil || c.Suspect {
		return admission.Shard{}, false
	}
	wait, service := placement.Predict(c)
	return admission.Shard{ServiceTime: service, Wait: wait, Queued: c.Ahead > 0 || c.Waiting >= c.Slots || c.LimitWait > 0,
		NoConn: c.NoConn, Limited: limited, LimitSpare: c.LimitSpare, NamedWait: c.NamedWait}, true
}
