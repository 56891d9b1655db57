package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"egrethaven/internal/back/link"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
)

// Write asks the searcher to register a record. It sends the request once,
// on one connection, and never again: not_run before a byte left, unknown
// after it unless the searcher answers.
func (b *Backend) Write(ctx context.Context, w searcher.Write) WriteReply {
	start := time.Now()
	var r WriteReply
	if no := b.begin(); no != outcome.None {
		r.Outcome = outcome.NotRun(no)
		return r
	}
	defer b.end()
	l, err := b.pool.Get(ctx)
	if err != nil {
		r.Outcome = outcome.NotRun(reasonOf(err))
		r.Elapsed = time.Since(start)
		return r
	}
	w.DeadlineMS = remaining(ctx)
	body, err := json.Marshal(w)
	if err != nil {
		b.pool.Put(l)
		return WriteReply{Outcome: outcome.NotRun(outcome.BadRequest)}
	}
	res := l.Call(ctx, http.MethodPost, searcher.WritePath, body)
	r.Outcome = b.readWrite(w, res, &r.Answer)
	b.finish(l, r.Outcome, res)
	r.Elapsed = time.Since(start)
	return r
}

// readWrite turns the result of a call into an outcome and an answer.
func (b *Backend) readWrite(w searcher.Write, res link.Result, a *searcher.WriteAnswer) outcome.Outcome {
	if res.Err != nil {
		return lost(res)
	}
	if res.Status != http.StatusOK {
		return b.readRefusal(w.AttemptID, res)
	}
	if err := json.Unmarshal(res.Body, a); err != nil || a.AttemptID != w.AttemptID {
		*a = searcher.WriteAnswer{}
		return outcome.Unknown(outcome.BadAnswer)
	}
	b.take(a.Load)
	if !a.Accepted {
		return outcome.Failed(outcome.Rejected)
	}
	return outcome.OK()
}
