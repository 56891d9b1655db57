package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"egrethaven/internal/back/limit"
	"egrethaven/internal/back/link"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// Search requests the matches in one range. It waits for a slot and a link
// until the deadline of ctx. If ctx ends during the call, the connection is
// closed, which cancels the request at the searcher.
func (b *Backend) Search(ctx context.Context, q searcher.Query) Reply {
	start := time.Now()
	var r Reply
	if reason := b.beginCall(); reason != outcome.None {
		r.Outcome = outcome.NotRun(reason)
		return r
	}
	defer b.endCall()
	if reason := b.limiter.acquire(ctx); reason != outcome.None {
		r.Outcome = outcome.NotRun(reason)
		r.Elapsed = time.Since(start)
		return r
	}
	for b.attemptSearch(ctx, q, &r) {
		continue
	}
	b.finishCall(r.Outcome, r.Service)
	r.Elapsed = time.Since(start)
	return r
}

// finishCall releases the slot of an admitted call. service is its service
// time, or 0 if it does not count for the limit.
func (b *Backend) finishCall(o outcome.Outcome, service time.Duration) {
	var s limit.Sample
	switch {
	case o.OK():
		s.Service = service
	case o == outcome.NotRun(outcome.Shed):
		s.Shed = true
	}
	if b.limiter.release(s) {
		b.c.Events.Emit(event.LimitLowered, b.ID(), strconv.Itoa(b.limiter.allowed()))
	}
}

// attemptSearch stores the result of one attempt in r. It returns true if the
// searcher refused the connection and another link can be tried.
func (b *Backend) attemptSearch(ctx context.Context, q searcher.Query, r *Reply) bool {
	l, err := b.pool.Get(ctx)
	if err != nil {
		r.Outcome = outcome.NotRun(linkErrorReason(err))
		return false
	}
	q.DeadlineMS = remainingMS(ctx)
	body, err := json.Marshal(q)
	if err != nil {
		b.pool.PutUntimed(l)
		r.Outcome = outcome.NotRun(outcome.BadRequest)
		return false
	}
	res := l.Call(ctx, http.MethodPost, searcher.SearchPath, body)
	if isLinkRefusal(l, res) {
		b.putRefused(l)
		return true
	}
	r.Outcome = b.readSearch(q, res, &r.Answer)
	r.Service = res.Service
	b.putBack(l, r.Outcome, res)
	return false
}

// readSearch decodes res into a and returns the outcome of the call.
func (b *Backend) readSearch(q searcher.Query, res link.Result, a *searcher.Answer) outcome.Outcome {
	if res.Err != nil {
		b.recordFailedLatency(res.Service)
		return outcomeWithoutAnswer(res)
	}
	if res.Status != http.StatusOK {
		return b.readRefusal(q.AttemptID, res)
	}
	if err := json.Unmarshal(res.Body, a); err != nil || !isAnswerTo(q, a) {
		*a = searcher.Answer{}
		return outcome.Unknown(outcome.BadAnswer)
	}
	b.recordLoad(a.Load)
	b.recordLatency(res.Service)
	return outcome.OK()
}

// isAnswerTo returns true if a is the answer to q.
func isAnswerTo(q searcher.Query, a *searcher.Answer) bool {
	return a.QueryID == q.QueryID && a.AttemptID == q.AttemptID && a.Version == q.Version && a.Range == q.Range
}

// putBack gives back the link after a call. After a wrong answer it closes the
// link and calls OnChange, so that the status page is read soon: another server
// may have the address now.
func (b *Backend) putBack(l *link.Link, o outcome.Outcome, res link.Result) {
	if o.Reason == outcome.BadAnswer {
		b.droppedAnswers.Add(1)
		b.c.Events.Emit(event.AnswerDropped, b.ID(), "answer does not match the call")
		l.Close()
		b.notifyChange()
	}
	if o.Reason == outcome.ConnectionLost {
		b.c.Events.Emit(event.LinkLost, b.ID(), res.Err.Error())
	}
	if o.OK() {
		b.pool.Put(l)
		return
	}
	b.pool.PutUntimed(l)
}
