// Package register runs non-idempotent requests at most once.
//
// The idempotency key is claimed first; only the owner of the claim may dispatch
// the request, to one backend server. Another server is tried only if the
// server refused the request or no byte of it was sent, so that it can't have
// run. Any other outcome is recorded and the request is never sent again. If
// the request did not run on any server, its key is released.
//
// # Usage
//
//	g := register.New(register.Config{Claims: store, Writers: d.Writers, Snapshot: c.Current})
//	r := g.Write(ctx, write.Request{IdempotencyKey: key, Search: "returns", Record: rec, Deadline: d})
package register

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/idempotency"
)

// minDispatchTime is the shortest time left with which a request is dispatched.
const minDispatchTime = 5 * time.Millisecond

// Claims decides which request may be dispatched. *idempotency.Store implements it.
type Claims interface {
	Claim(ctx context.Context, r idempotency.Request) idempotency.Claim
	Record(c idempotency.Claim, r idempotency.Record)
	Abandon(c idempotency.Claim)
}

// Writer is a searcher that registers records. *backend.Backend implements it.
type Writer interface {
	ID() string
	Domain() failuredomain.Domain
	State() backend.State
	Write(ctx context.Context, w searcher.Write) backend.WriteReply
}

// Config describes a Registrar.
type Config struct {
	Claims Claims
	// Writers returns the searchers of a service that register records.
	Writers func(service string) []Writer
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// LocalDomain is the failure domain of this VM.
	LocalDomain failuredomain.Domain
	Events      event.Sink
}

// Registrar runs writes. It is safe for concurrent use.
type Registrar struct {
	c Config
}

// New returns a registrar.
func New(c Config) *Registrar {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Registrar{c: c}
}

// Write runs a request and returns its result, or that of an earlier request
// with the same key.
func (g *Registrar) Write(ctx context.Context, w write.Request) write.Result {
	start := time.Now()
	r := g.write(ctx, w, start)
	r.IdempotencyKey = w.IdempotencyKey
	r.Search = w.Search
	r.ElapsedMS = float64(time.Since(start)) / float64(time.Millisecond)
	g.report(r)
	return r
}

// write checks the request, claims its key and dispatches it.
func (g *Registrar) write(ctx context.Context, w write.Request, start time.Time) write.Result {
	d, ok := g.c.Snapshot().Searches[w.Search]
	if !ok {
		return notRun(outcome.UnknownSearch)
	}
	if !d.Writes || w.Record.Key == "" {
		return notRun(outcome.BadRequest)
	}
	if latest := start.Add(d.Deadline); w.Deadline.IsZero() || w.Deadline.After(latest) {
		w.Deadline = latest
	}
	if !w.Deadline.After(start) {
		return notRun(outcome.DeadlinePast)
	}
	c, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	ws := g.order(d.Service)
	if len(ws) == 0 {
		return notRun(outcome.NoReplica)
	}
	claim := g.c.Claims.Claim(c, idempotency.Request{Key: w.IdempotencyKey, Fingerprint: idempotency.Fingerprint(w)})
	if claim.Status != idempotency.Claimed {
		return claim.Result(w)
	}
	g.c.Events.Emit(event.WriteClaimed, w.Search, w.IdempotencyKey)
	return g.dispatch(c, w, claim, ws)
}

// dispatch sends a claimed request to the writers in order until an outcome
// other than not_run is received.
func (g *Registrar) dispatch(ctx context.Context, w write.Request, claim idempotency.Claim, ws []Writer) write.Result {
	r := notRun(outcome.NoReplica)
	for _, p := range ws {
		if time.Until(w.Deadline) < minDispatchTime || ctx.Err() != nil {
			r = notRun(outcome.DeadlinePast)
			break
		}
		rep := p.Write(ctx, searcher.Write{AttemptID: uuid.NewString(), IdempotencyKey: w.IdempotencyKey, Record: w.Record})
		r = result(rep)
		if r.Outcome.Kind != outcome.KindNotRun {
			g.c.Claims.Record(claim, idempotency.Record{Outcome: r.Outcome, Revision: r.Revision, Detail: r.Detail})
			return r
		}
	}
	g.c.Claims.Abandon(claim)
	return r
}

// result converts a searcher's reply to a result.
func result(rep backend.WriteReply) write.Result {
	r := write.Result{Outcome: rep.Outcome}
	if !rep.Outcome.OK() {
		return r
	}
	r.Revision = rep.Answer.Revision
	r.Detail = rep.Answer.Detail
	if !rep.Answer.Accepted {
		r.Outcome = outcome.Failed(outcome.Rejected)
	}
	return r
}

// order returns the usable writers in random order, those of this failure
// domain first.
func (g *Registrar) order(service string) []Writer {
	var local, remote []Writer
	for _, p := range g.c.Writers(service) {
		switch {
		case !p.State().Usable:
		case p.Domain() == g.c.LocalDomain:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	shuffle(local)
	shuffle(remote)
	return append(local, remote...)
}

// shuffle shuffles ws in place.
func shuffle(ws []Writer) {
	rand.Shuffle(len(ws), func(i, j int) { ws[i], ws[j] = ws[j], ws[i] })
}

// notRun returns the result of a request that did not run.
func notRun(r outcome.Reason) write.Result {
	return write.Result{Outcome: outcome.NotRun(r)}
}

// report emits the event for a result.
func (g *Registrar) report(r write.Result) {
	n := event.WriteRecorded
	switch {
	case r.Repeated:
		n = event.WriteRepeated
	case r.Outcome.Kind == outcome.KindNotRun:
		n = event.WriteRefused
	case r.Outcome.Kind == outcome.KindUnknown:
		n = event.WriteUnknown
	}
	g.c.Events.Emit(n, r.Search, strings.Join([]string{r.IdempotencyKey, r.Outcome.String()}, " "))
}
