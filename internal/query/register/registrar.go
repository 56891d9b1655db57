// Package register runs non-idempotent requests at most once.
//
// The idempotency key is claimed first; the claim alone allows the dispatch.
// The request then goes to one backend server. Only a refusal, which is the
// server's own word that nothing ran, or a connection that took no byte lets
// it go to another. What ends in any other way is recorded as it ended and
// never sent again. A request that truly did not run frees its key.
//
// # Usage
//
//	g := register.New(register.Config{Claims: store, Writers: d.Writers, Searches: c.Current})
//	r := g.Write(ctx, write.Write{IdempotencyKey: key, Search: "returns", Record: rec, Deadline: d})
package register

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/idempotency"
	"egrethaven/internal/world/zone"
)

// leastTime is the time that a dispatch needs; with less left it is not made.
const leastTime = 5 * time.Millisecond

// Claims decides which request may be dispatched. *idempotency.Store is one.
type Claims interface {
	Claim(ctx context.Context, r idempotency.Request) idempotency.Claim
	Record(c idempotency.Claim, r idempotency.Record)
	Abandon(c idempotency.Claim)
}

// Writer is a searcher that registers records. *backend.Backend is one.
type Writer interface {
	ID() string
	Domain() zone.Domain
	State() backend.State
	Write(ctx context.Context, w searcher.Write) backend.WriteReply
}

// Config describes a Registrar.
type Config struct {
	Claims Claims
	// Writers returns the searchers of a service that take records.
	Writers func(service string) []Writer
	// Searches returns the configuration in force.
	Searches func() *config.Snapshot
	// Home is the failure domain of this VM.
	Home   zone.Domain
	Events event.Sink
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

// Write runs one request, or tells why it did not run or what became of an
// earlier one with the same key.
func (g *Registrar) Write(ctx context.Context, w write.Write) write.Result {
	start := time.Now()
	r := g.write(ctx, w, start)
	r.IdempotencyKey = w.IdempotencyKey
	r.Search = w.Search
	r.ElapsedMS = float64(time.Since(start)) / float64(time.Millisecond)
	g.report(r)
	return r
}

// write checks the request, claims its key and dispatches it.
func (g *Registrar) write(ctx context.Context, w write.Write, start time.Time) write.Result {
	d, ok := g.c.Searches().Searches[w.Search]
	if !ok {
		return notRun(outcome.UnknownSearch)
	}
	if !d.Writes || w.Record.Key == "" {
		return notRun(outcome.BadRequest)
	}
	if last := start.Add(d.Deadline); w.Deadline.IsZero() || w.Deadline.After(last) {
		w.Deadline = last
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

// dispatch sends a claimed request. The first answer that is not a refusal
// ends it.
func (g *Registrar) dispatch(ctx context.Context, w write.Write, claim idempotency.Claim, ws []Writer) write.Result {
	r := notRun(outcome.NoReplica)
	attempt := uuid.NewString()
	for _, p := range ws {
		if time.Until(w.Deadline) < leastTime || ctx.Err() != nil {
			r = notRun(outcome.DeadlinePast)
			break
		}
		rep := p.Write(ctx, searcher.Write{AttemptID: attempt, IdempotencyKey: w.IdempotencyKey, Record: w.Record})
		r = result(rep)
		if r.Outcome.Kind != outcome.KindNotRun {
			g.c.Claims.Record(claim, idempotency.Record{Outcome: r.Outcome, Revision: r.Revision, Detail: r.Detail})
			return r
		}
	}
	g.c.Claims.Abandon(claim)
	return r
}

// result turns a searcher's reply into a result.
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

// order returns the usable writers, those of this failure domain first, in
// random order otherwise.
func (g *Registrar) order(service string) []Writer {
	var home, away []Writer
	for _, p := range g.c.Writers(service) {
		switch {
		case !p.State().Usable:
		case p.Domain() == g.c.Home:
			home = append(home, p)
		default:
			away = append(away, p)
		}
	}
	shuffle(home)
	shuffle(away)
	return append(home, away...)
}

// shuffle puts ws in random order.
func shuffle(ws []Writer) {
	rand.Shuffle(len(ws), func(i, j int) { ws[i], ws[j] = ws[j], ws[i] })
}

// notRun is the result of a request that truly did not run.
func notRun(r outcome.Reason) write.Result {
	return write.Result{Outcome: outcome.NotRun(r)}
}

// report emits the event of a result.
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
