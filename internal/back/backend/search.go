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

// Search asks the searcher for the matches in one range. It waits for a link
// while the deadline of ctx allows. When ctx ends first, the connection of
// the call is closed, which cancels it at the searcher.
func (b *Backend) Search(ctx context.Context, q searcher.Query) Reply {
	start := time.Now()
	var r Reply
	if no := b.begin(); no != outcome.None {
		r.Outcome = outcome.NotRun(no)
		return r
	}
	defer b.end()
	if no := b.gate.enter(ctx); no != outcome.None {
		r.Outcome = outcome.NotRun(no)
		r.Elapsed = time.Since(start)
		return r
	}
	for b.search(ctx, q, &r) {
		continue
	}
	b.leave(r.Outcome, r.Service)
	r.Elapsed = time.Since(start)
	return r
}

// leave ends an admitted call.
func (b *Backend) leave(o outcome.Outcome, service time.Duration) {
	var s limit.Sample
	switch {
	case o.OK():
		s.Service = service
	case o == outcome.NotRun(outcome.Shed):
		s.Shed = true
	}
	if b.gate.leave(s) {
		b.c.Events.Emit(event.LimitLowered, b.ID(), strconv.Itoa(b.gate.allowed()))
	}
}

// search makes one attempt. It reports true when the searcher turned the
// connection away: nothing ran then, and another link may serve.
func (b *Backend) search(ctx context.Context, q searcher.Query, r *Reply) bool {
	l, err := b.pool.Get(ctx)
	if err != nil {
		r.Outcome = outcome.NotRun(reasonOf(err))
		return false
	}
	q.DeadlineMS = remaining(ctx)
	body, err := json.Marshal(q)
	if err != nil {
		b.pool.PutUntimed(l)
		r.Outcome = outcome.NotRun(outcome.BadRequest)
		return false
	}
	res := l.Call(ctx, http.MethodPost, searcher.SearchPath, body)
	if turnedAway(l, res) {
		b.turnedAway(l)
		return true
	}
	r.Outcome = b.readSearch(q, res, &r.Answer)
	r.Service = res.Service
	b.finish(l, r.Outcome, res)
	return false
}

// readSearch turns the result of a call into an outcome and an answer.
func (b *Backend) readSearch(q searcher.Query, res link.Result, a *searcher.Answer) outcome.Outcome {
	if res.Err != nil {
		b.unserved(res.Service)
		return lost(res)
	}
	if res.Status != http.StatusOK {
		return b.readRefusal(q.AttemptID, res)
	}
	if err := json.Unmarshal(res.Body, a); err != nil || !echoes(q, a) {
		*a = searcher.Answer{}
		return outcome.Unknown(outcome.BadAnswer)
	}
	b.take(a.Load)
	b.served(res.Service)
	return outcome.OK()
}

// echoes tells whether a is the answer to q.
func echoes(q searcher.Query, a *searcher.Answer) bool {
	return a.QueryID == q.QueryID && a.AttemptID == q.AttemptID && a.Version == q.Version && a.Range == q.Range
}

// finish gives the link back. A link that brought a wrong answer is closed,
// and the status page is read soon: another server may have the address now.
func (b *Backend) finish(l *link.Link, o outcome.Outcome, res link.Result) {
	if o.Reason == outcome.BadAnswer {
		b.dropped.Add(1)
		b.c.Events.Emit(event.AnswerDropped, b.ID(), "answer to no call of this node")
		l.Close()
		b.changed()
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
