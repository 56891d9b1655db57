package register

import (
	"context"
	"testing"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/idempotency"
	"egrethaven/internal/state/search"
	"egrethaven/internal/world/zone"
)

// fakeClaims grants everything and notes what became of the claims.
type fakeClaims struct {
	recorded  []outcome.Outcome
	abandoned int
	pause     time.Duration
}

func (f *fakeClaims) Claim(context.Context, idempotency.Request) idempotency.Claim {
	time.Sleep(f.pause)
	return idempotency.Claim{Status: idempotency.Claimed}
}
func (f *fakeClaims) Record(_ idempotency.Claim, r idempotency.Record) {
	f.recorded = append(f.recorded, r.Outcome)
}
func (f *fakeClaims) Abandon(idempotency.Claim) { f.abandoned++ }

// fakeWriter answers every write with one outcome.
type fakeWriter struct {
	domain  zone.Domain
	outcome outcome.Outcome
	refuses bool
	calls   int
}

func (f *fakeWriter) ID() string           { return string(f.domain) }
func (f *fakeWriter) Domain() zone.Domain  { return f.domain }
func (f *fakeWriter) State() backend.State { return backend.State{Usable: true} }
func (f *fakeWriter) Write(context.Context, searcher.Write) backend.WriteReply {
	f.calls++
	return backend.WriteReply{Outcome: f.outcome, Answer: searcher.WriteAnswer{Accepted: !f.refuses, Revision: 3}}
}

func run(claims *fakeClaims, ws ...*fakeWriter) write.Result {
	s := &config.Snapshot{Searches: map[string]search.Definition{"returns": {Service: "svc", Writes: true, Deadline: 50 * time.Millisecond}}}
	g := New(Config{
		Claims: claims, Home: "home", Searches: func() *config.Snapshot { return s },
		Writers: func(string) []Writer {
			var out []Writer
			for _, w := range ws {
				out = append(out, w)
			}
			return out
		},
	})
	return g.Write(context.Background(), write.Write{IdempotencyKey: "k", Search: "returns", Record: record.Record{Key: "M-1"}})
}

func TestOneDispatch(t *testing.T) {
	shed, lost := outcome.NotRun(outcome.Shed), outcome.Unknown(outcome.ConnectionLost)
	for _, c := range []struct {
		name       string
		home, away fakeWriter
		want       outcome.Outcome
		calls      [2]int
		recorded   int
	}{
		{"runs at home", fakeWriter{outcome: outcome.OK()}, fakeWriter{outcome: outcome.OK()}, outcome.OK(), [2]int{1, 0}, 1},
		{"refusal lets another run it", fakeWriter{outcome: shed}, fakeWriter{outcome: outcome.OK()}, outcome.OK(), [2]int{1, 1}, 1},
		{"a byte left: never again", fakeWriter{outcome: lost}, fakeWriter{outcome: outcome.OK()}, lost, [2]int{1, 0}, 1},
		{"turned down", fakeWriter{outcome: outcome.OK(), refuses: true}, fakeWriter{outcome: outcome.OK()}, outcome.Failed(outcome.Rejected), [2]int{1, 0}, 1},
		{"refused by all frees the key", fakeWriter{outcome: shed}, fakeWriter{outcome: shed}, shed, [2]int{1, 1}, 0},
	} {
		c.home.domain, c.away.domain = "home", "away"
		claims := &fakeClaims{}
		r := run(claims, &c.away, &c.home)
		if r.Outcome != c.want || [2]int{c.home.calls, c.away.calls} != c.calls {
			t.Errorf("%s: %v after calls %d at home, %d away", c.name, r.Outcome, c.home.calls, c.away.calls)
		}
		if len(claims.recorded) != c.recorded || claims.abandoned != 1-c.recorded {
			t.Errorf("%s: recorded %v, abandoned %d", c.name, claims.recorded, claims.abandoned)
		}
	}
}

// TestPausedPastDeadline wakes the claimer after its deadline: it must not
// dispatch.
func TestPausedPastDeadline(t *testing.T) {
	claims := &fakeClaims{pause: 100 * time.Millisecond}
	w := &fakeWriter{domain: "home", outcome: outcome.OK()}
	r := run(claims, w)
	if r.Outcome != outcome.NotRun(outcome.DeadlinePast) || w.calls != 0 || claims.abandoned != 1 {
		t.Fatalf("%v after %d calls, %d abandoned", r.Outcome, w.calls, claims.abandoned)
	}
}
