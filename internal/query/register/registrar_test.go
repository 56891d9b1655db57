package register

import (
	"context"
	"testing"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/idempotency"
	"egrethaven/internal/state/search"
)

// fakeClaims grants every claim after a pause and records how claims end.
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

// fakeWriter answers every write with the same outcome.
type fakeWriter struct {
	domain  failuredomain.Domain
	outcome outcome.Outcome
	rejects bool
	calls   int
	// attempt is the attempt ID of the last call.
	attempt string
}

func (f *fakeWriter) ID() string                   { return string(f.domain) }
func (f *fakeWriter) Domain() failuredomain.Domain { return f.domain }
func (f *fakeWriter) State() backend.State         { return backend.State{Usable: true} }
func (f *fakeWriter) Write(_ context.Context, w searcher.Write) backend.WriteReply {
	f.calls++
	f.attempt = w.AttemptID
	return backend.WriteReply{Outcome: f.outcome, Answer: searcher.WriteAnswer{Accepted: !f.rejects, Revision: 3}}
}

func run(claims *fakeClaims, ws ...*fakeWriter) write.Result {
	s := &config.Snapshot{Searches: map[string]search.Definition{"returns": {Service: "svc", Writes: true, Deadline: 50 * time.Millisecond}}}
	g := New(Config{
		Claims: claims, LocalDomain: "home", Snapshot: func() *config.Snapshot { return s },
		Writers: func(string) []Writer {
			var out []Writer
			for _, w := range ws {
				out = append(out, w)
			}
			return out
		},
	})
	return g.Write(context.Background(), write.Request{IdempotencyKey: "k", Search: "returns", Record: record.Record{Key: "M-1"}})
}

func TestOneDispatch(t *testing.T) {
	shed, lost := outcome.NotRun(outcome.Shed), outcome.Unknown(outcome.ConnectionLost)
	for _, c := range []struct {
		name          string
		local, remote fakeWriter
		want          outcome.Outcome
		calls         [2]int
		recorded      int
	}{
		{"runs in the local domain", fakeWriter{outcome: outcome.OK()}, fakeWriter{outcome: outcome.OK()}, outcome.OK(), [2]int{1, 0}, 1},
		{"after a refusal another writer runs it", fakeWriter{outcome: shed}, fakeWriter{outcome: outcome.OK()}, outcome.OK(), [2]int{1, 1}, 1},
		{"not repeated once a byte was sent", fakeWriter{outcome: lost}, fakeWriter{outcome: outcome.OK()}, lost, [2]int{1, 0}, 1},
		{"rejected by the backend server", fakeWriter{outcome: outcome.OK(), rejects: true}, fakeWriter{outcome: outcome.OK()}, outcome.Failed(outcome.Rejected), [2]int{1, 0}, 1},
		{"key released if all writers refuse", fakeWriter{outcome: shed}, fakeWriter{outcome: shed}, shed, [2]int{1, 1}, 0},
	} {
		c.local.domain, c.remote.domain = "home", "away"
		claims := &fakeClaims{}
		r := run(claims, &c.remote, &c.local)
		if r.Outcome != c.want || [2]int{c.local.calls, c.remote.calls} != c.calls {
			t.Errorf("%s: %v after %d local and %d remote calls", c.name, r.Outcome, c.local.calls, c.remote.calls)
		}
		if c.local.calls+c.remote.calls == 2 && c.local.attempt == c.remote.attempt {
			t.Errorf("%s: both writers got the attempt ID %s", c.name, c.local.attempt)
		}
		if len(claims.recorded) != c.recorded || claims.abandoned != 1-c.recorded {
			t.Errorf("%s: recorded %v, abandoned %d", c.name, claims.recorded, claims.abandoned)
		}
	}
}

// TestPausedPastDeadline pauses the claim until after the deadline, as when the
// VM is suspended: the request must not be dispatched.
func TestPausedPastDeadline(t *testing.T) {
	claims := &fakeClaims{pause: 100 * time.Millisecond}
	w := &fakeWriter{domain: "home", outcome: outcome.OK()}
	r := run(claims, w)
	if r.Outcome != outcome.NotRun(outcome.DeadlinePast) || w.calls != 0 || claims.abandoned != 1 {
		t.Fatalf("%v after %d calls, %d abandoned", r.Outcome, w.calls, claims.abandoned)
	}
}
