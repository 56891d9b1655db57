package forward

import (
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/admission"
	"egrethaven/internal/query/placement"
	"egrethaven/internal/query/shortage"
)

const (
	// processorLag is how much later than due a request continues before the processor
	// counts as short. A VM with a fifth of a core is often 10 ms late without being
	// overloaded, because its quota is divided into periods of 100 ms.
	processorLag = 20 * time.Millisecond
	// slowSearcher is the slowdown factor from which a searcher counts as slow instead of
	// paused: a pause shows in one answer, whose weight in the factor is small.
	slowSearcher = 3
)

// noteWake records how late the request's goroutine was woken at the given time.
func (x *dispatch) noteWake(due, now time.Time) {
	if now.Sub(due) > processorLag {
		x.short.Add(shortage.Processor)
	}
}

// noteUnsent records why an attempt failed before it was sent.
func (x *dispatch) noteUnsent(err error) {
	switch err {
	case instance.ErrQueueFull:
		x.short.Add(shortage.Connection)
	case instance.ErrUnreachable, instance.ErrClosed:
		x.short.Add(shortage.Searchers)
	}
}

// noteLate records why the answer of a searcher is later than most.
func (x *dispatch) noteLate(c placement.Candidate) {
	switch {
	case x.short.Has(shortage.Deadline):
	case c.Suspect || c.SlowdownFactor >= slowSearcher:
		x.short.Add(shortage.Searchers)
	case c.Waiting > 0:
		x.short.Add(shortage.Slots)
	case c.StalledFor >= x.hedgeDelay:
		x.short.Add(shortage.Pause)
	}
}

// noteRefusal records why admission refused the request.
func (x *dispatch) noteRefusal(r admission.Request, d admission.Decision) {
	if d.TooFewShards {
		x.short.Add(shortage.Searchers)
		return
	}
	for _, s := range r.Shards {
		switch {
		case s.NoConn:
			x.short.Add(shortage.Connection)
		case s.Queued, s.NamedWait > 0:
			x.short.Add(shortage.Slots)
		}
	}
	if x.short == 0 {
		x.short.Add(shortage.Deadline)
	}
}

// noteTimeout records whether the client's time is shorter than that of most answers.
func (x *dispatch) noteTimeout() {
	if x.deadline.Sub(x.req.Arrived) < x.hedgeDelay {
		x.short.Add(shortage.Deadline)
	}
}

// shortOf returns the names of the resources that an answer was late, incomplete or a
// failure for want of; nil if it is none of these.
func (x *dispatch) shortOf(a Answer, elapsed time.Duration) []string {
	if a.Reason == Served && !x.isIncomplete() && (x.route.LatencyObjective == 0 || elapsed <= x.route.LatencyObjective) {
		return nil
	}
	return x.short.Names()
}

// isIncomplete reports whether a shard has no answer.
func (x *dispatch) isIncomplete() bool {
	for _, p := range x.subrequests {
		if p.answer == nil {
			return true
		}
	}
	return false
}
