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

// Write asks the searcher to register a record. It sends the request at most
// once: if a byte was sent and no valid response came back, the outcome is
// unknown.
func (b *Backend) Write(ctx context.Context, w searcher.Write) WriteReply {
	start := time.Now()
	var r WriteReply
	if reason := b.beginCall(); reason != outcome.None {
		r.Outcome = outcome.NotRun(reason)
		return r
	}
	defer b.endCall()
	if reason := b.limiter.acquire(ctx); reason != outcome.None {
		r.Outcome = outcome.NotRun(reason)
		return r
	}
	r = b.attemptWrite(ctx, w)
	b.finishCall(r.Outcome, 0)
	r.Elapsed = time.Since(start)
	return r
}

// attemptWrite sends the request once, on a verified link.
func (b *Backend) attemptWrite(ctx context.Context, w searcher.Write) (r WriteReply) {
	l, err := b.verifiedLink(ctx)
	if err != nil {
		r.Outcome = outcome.NotRun(linkErrorReason(err))
		return r
	}
	w.DeadlineMS = remainingMS(ctx)
	body, err := json.Marshal(w)
	if err != nil {
		b.pool.PutUntimed(l)
		return WriteReply{Outcome: outcome.NotRun(outcome.BadRequest)}
	}
	res := l.Call(ctx, http.MethodPost, searcher.WritePath, body)
	if isLinkRefusal(l, res) {
		b.putRefused(l)
		r.Outcome = outcome.NotRun(outcome.ConnectionRefused)
	} else {
		r.Outcome = b.readWrite(w, res, &r.Answer)
		b.putBack(l, r.Outcome, res)
	}
	return r
}

// maxVerifiedAge is how long a link counts as working after a call on it.
const maxVerifiedAge = 50 * time.Millisecond

// verifiedLink returns a link that is known to work: it has just carried a
// call, or a status request over it succeeds.
func (b *Backend) verifiedLink(ctx context.Context) (*link.Link, error) {
	for {
		l, err := b.pool.Get(ctx)
		if err != nil {
			return nil, err
		}
		if l.Calls() > 0 && time.Since(l.IdleSince()) < b.maxVerifiedAge {
			return l, nil
		}
		if b.verify(ctx, l) {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// verify returns true if a status request over the link succeeds, else gives the
// link back. The timeout is a fraction of the time left, so that another link
// can be tried.
func (b *Backend) verify(ctx context.Context, l *link.Link) bool {
	timeout := maxVerifyTimeout
	if d, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(d)/verifyTimeDivisor)
	}
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res := l.Call(c, http.MethodGet, searcher.StatusPath, nil)
	switch {
	case isLinkRefusal(l, res):
		b.putRefused(l)
	case res.Err != nil || !l.Reusable():
		b.pool.PutUntimed(l)
	default:
		return true
	}
	return false
}

const (
	// maxVerifyTimeout is the longest timeout of the status request.
	maxVerifyTimeout = 500 * time.Millisecond
	// verifyTimeDivisor limits the timeout to a fraction of the time left.
	verifyTimeDivisor = 4
)

// readWrite decodes res into a and returns the outcome of the call.
func (b *Backend) readWrite(w searcher.Write, res link.Result, a *searcher.WriteAnswer) outcome.Outcome {
	if res.Err != nil {
		return outcomeWithoutAnswer(res)
	}
	if res.Status != http.StatusOK {
		return b.readRefusal(w.AttemptID, res)
	}
	if err := json.Unmarshal(res.Body, a); err != nil || a.AttemptID != w.AttemptID {
		*a = searcher.WriteAnswer{}
		return outcome.Unknown(outcome.BadAnswer)
	}
	b.recordLoad(a.Load)
	if !a.Accepted {
		return outcome.Failed(outcome.Rejected)
	}
	return outcome.OK()
}
