package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"egrethaven/internal/back/link"
	"egrethaven/internal/back/pool"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// reasonOf returns why no link was had.
func reasonOf(err error) outcome.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.Timeout
	case errors.Is(err, context.Canceled):
		return outcome.Canceled
	case errors.Is(err, link.ErrSilent):
		return outcome.ConnectionSilent
	case errors.Is(err, link.ErrTooLarge):
		return outcome.BadAnswer
	case errors.Is(err, pool.ErrRefused):
		return outcome.ConnectionRefused
	}
	return outcome.ConnectionLost
}

// lost returns the outcome of a call without an answer: not_run if no byte
// of it left, else unknown.
func lost(res link.Result) outcome.Outcome {
	if !res.Sent {
		return outcome.NotRun(reasonOf(res.Err))
	}
	return outcome.Unknown(reasonOf(res.Err))
}

// readRefusal reads the searcher's word that a request did not run. It is
// believed only if it names the attempt and a known reason.
func (b *Backend) readRefusal(attempt string, res link.Result) outcome.Outcome {
	var f searcher.Refusal
	if err := json.Unmarshal(res.Body, &f); err != nil || f.AttemptID != attempt || !refusing(f.Reason) {
		return outcome.Unknown(outcome.BadAnswer)
	}
	b.refused(f)
	return outcome.NotRun(f.Reason)
}

// turnedAway tells whether res is the searcher's word that it does not serve
// the connection, which it says on the first call only and reads nothing.
func turnedAway(l *link.Link, res link.Result) bool {
	if res.Err != nil || res.Status != http.StatusServiceUnavailable || l.Calls() != 1 || l.Reusable() {
		return false
	}
	var f searcher.Refusal
	return json.Unmarshal(res.Body, &f) == nil && f.AttemptID == "" && f.Reason == outcome.ConnectionRefused
}

// turnedAway gives back a link that the searcher does not serve.
func (b *Backend) turnedAway(l *link.Link) {
	b.c.Events.Emit(event.LinkRefused, b.ID(), "above the searcher's limit")
	b.pool.PutRefused(l)
}

// refusing tells whether r is a reason with which a searcher may refuse.
func refusing(r outcome.Reason) bool {
	switch r {
	case outcome.Shed, outcome.VersionGone, outcome.NoReplica, outcome.Draining, outcome.DeadlinePast,
		outcome.BadRequest, outcome.Quarantined, outcome.ShuttingDown, outcome.NotReady, outcome.OverShare:
		return true
	}
	return false
}
