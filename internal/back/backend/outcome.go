package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"egrethaven/internal/back/link"
	"egrethaven/internal/back/pool"
	"egrethaven/internal/back/reply"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// linkErrorReason maps an error of Pool.Get or Link.Call to a reason.
func linkErrorReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.Timeout
	case errors.Is(err, context.Canceled):
		return outcome.Canceled
	case errors.Is(err, link.ErrSilent):
		return outcome.ConnectionSilent
	case errors.Is(err, link.ErrTooLarge), errors.Is(err, reply.ErrInvalid):
		return outcome.BadAnswer
	case errors.Is(err, pool.ErrRefused):
		return outcome.ConnectionRefused
	}
	return outcome.ConnectionLost
}

// outcomeWithoutAnswer returns the outcome of a call without an answer: not_run
// if no byte of the request was sent, else unknown.
func outcomeWithoutAnswer(res link.Result) outcome.Outcome {
	if !res.Sent {
		return outcome.NotRun(linkErrorReason(res.Err))
	}
	return outcome.Unknown(linkErrorReason(res.Err))
}

// readRefusal returns not_run if res is a refusal with the attempt ID of the
// call and a valid reason, else unknown.
func (b *Backend) readRefusal(attempt string, res link.Result) outcome.Outcome {
	var f searcher.Refusal
	if err := json.Unmarshal(res.Body, &f); err != nil || f.AttemptID != attempt || !isRefusalReason(f.Reason) {
		return outcome.Unknown(outcome.BadAnswer)
	}
	b.recordRefusal(f)
	return outcome.NotRun(f.Reason)
}

// isLinkRefusal returns true if res refuses the connection. A searcher does so
// only on the first call, without reading the request.
func isLinkRefusal(l *link.Link, res link.Result) bool {
	if res.Err != nil || res.Status != http.StatusServiceUnavailable || l.Calls() != 1 || l.Reusable() {
		return false
	}
	var f searcher.Refusal
	return json.Unmarshal(res.Body, &f) == nil && f.AttemptID == "" && f.Reason == outcome.ConnectionRefused
}

// putRefused gives back a link that the searcher refused to serve.
func (b *Backend) putRefused(l *link.Link) {
	b.c.Events.Emit(event.LinkRefused, b.ID(), "connection limit of the searcher reached")
	b.pool.PutRefused(l)
}

// isRefusalReason returns true if a searcher may refuse a request with reason r.
func isRefusalReason(r outcome.Reason) bool {
	switch r {
	case outcome.Shed, outcome.VersionGone, outcome.NoReplica, outcome.Draining, outcome.DeadlinePast,
		outcome.BadRequest, outcome.Quarantined, outcome.ShuttingDown, outcome.NotReady, outcome.OverShare:
		return true
	}
	return false
}
