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
	if no := b.gate.enter(ctx); no != outcome.None {
		r.Outcome = outcome.NotRun(no)
		return r
	}
	r = b.write(ctx, w)
	b.leave(r.Outcome, 0)
	r.Elapsed = time.Since(start)
	return r
}

// write makes the one attempt.
func (b *Backend) write(ctx context.Context, w searcher.Write) (r WriteReply) {
	l, err := b.proven(ctx)
	if err != nil {
		r.Outcome = outcome.NotRun(reasonOf(err))
		return r
	}
	w.DeadlineMS = remaining(ctx)
	body, err := json.Marshal(w)
	if err != nil {
		b.pool.PutUntimed(l)
		return WriteReply{Outcome: outcome.NotRun(outcome.BadRequest)}
	}
	res := l.Call(ctx, http.MethodPost, searcher.WritePath, body)
	if turnedAway(l, res) {
		b.turnedAway(l)
		r.Outcome = outcome.NotRun(outcome.ConnectionRefused)
	} else {
		r.Outcome = b.readWrite(w, res, &r.Answer)
		b.finish(l, r.Outcome, res)
	}
	return r
}

// proofAge is how long ago a link may have carried a call to be known alive.
const proofAge = 50 * time.Millisecond

// proven returns a link that carried a call a moment ago. Others first have
// to bring the status page, within part of the time left.
func (b *Backend) proven(ctx context.Context) (*link.Link, error) {
	for {
		l, err := b.pool.Get(ctx)
		if err != nil {
			return nil, err
		}
		if l.Calls() > 0 && time.Since(l.IdleSince()) < b.proofAge {
			return l, nil
		}
		if b.prove(ctx, l) {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// prove tells whether a link works. One that does not is given back.
func (b *Backend) prove(ctx context.Context, l *link.Link) bool {
	wait := proofMost
	if d, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(d)/proofPart)
	}
	c, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	res := l.Call(c, http.MethodGet, searcher.StatusPath, nil)
	switch {
	case turnedAway(l, res):
		b.turnedAway(l)
	case res.Err != nil || !l.Reusable():
		b.pool.PutUntimed(l)
	default:
		return true
	}
	return false
}

const (
	// proofMost bounds the time that a link has to bring the status page.
	proofMost = 500 * time.Millisecond
	// proofPart is the part of the time left that it may take, as a divisor.
	proofPart = 4
)

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
