package scatter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

// fakeGuard quarantines a request that was lost on two searchers.
type fakeGuard struct {
	m      sync.Mutex
	lost   map[string]bool
	passed bool
}

func (g *fakeGuard) Classify(uint64) quarantine.Class {
	g.m.Lock()
	defer g.m.Unlock()
	switch {
	case len(g.lost) >= 2:
		return quarantine.Quarantined
	case len(g.lost) == 1:
		return quarantine.Suspect
	case g.passed:
		return quarantine.Trusted
	}
	return quarantine.Unseen
}

func (g *fakeGuard) RecordAnswer(uint64) {
	g.m.Lock()
	defer g.m.Unlock()
	g.passed = true
	g.lost = nil
}

func (g *fakeGuard) RecordLoss(_ uint64, id string, _ int) {
	g.m.Lock()
	defer g.m.Unlock()
	if g.lost == nil {
		g.lost = make(map[string]bool)
	}
	g.lost[id] = true
}

func (g *fakeGuard) RecordRetryLoss(f uint64, id string, n int) { g.RecordLoss(f, id, n) }

func (g *fakeGuard) AwaitPropagation(context.Context, uint64) {}

func TestCrashingRequestTakesTwoSearchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(20, 3, func(int, int, searcher.Query) behaviour {
			return behaviour{delay: ms, outcome: outcome.Unknown(outcome.ConnectionLost)}
		})
		e := engine(t, x, DefaultPolicy(), &fakeGuard{}, search.Definition{ExtraLoad: 0.02})
		if a := e.Ask(context.Background(), testQuery(true)); a.Outcome.OK() || x.callsRun() != 2 {
			t.Fatalf("%v after %d searchers", a.Outcome, x.callsRun())
		}
		if a := e.Ask(context.Background(), testQuery(true)); a.Outcome != outcome.NotRun(outcome.Quarantined) || x.callsRun() != 2 {
			t.Fatalf("sent again: %v after %d searchers", a.Outcome, x.callsRun())
		}
	})
}

// TestUnrelatedCrashPassesTrial loses the first call of a request because its
// searcher crashes for another reason.
func TestUnrelatedCrashPassesTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := true
		x := newIndex(20, 2, func(int, int, searcher.Query) behaviour {
			if first {
				first = false
				return behaviour{delay: ms, outcome: outcome.Unknown(outcome.ConnectionLost)}
			}
			return ok(ms)
		})
		g := &fakeGuard{}
		e := engine(t, x, DefaultPolicy(), g, search.Definition{ExtraLoad: 0.02})
		checkComplete(t, e.Ask(context.Background(), testQuery(false)), 20)
		if g.Classify(0) != quarantine.Trusted {
			t.Fatal("still suspect after it was answered")
		}
	})
}

// TestSimultaneousLossesDoNotQuarantine loses the first calls of several shards
// at once, as when several machines fail together under load.
func TestSimultaneousLossesDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(20, 2, func(shard, replica int, _ searcher.Query) behaviour {
			if shard < 8 && replica == 0 {
				return behaviour{delay: ms, outcome: outcome.Unknown(outcome.ConnectionLost)}
			}
			return ok(ms)
		})
		g := &fakeGuard{passed: true}
		e := engine(t, x, DefaultPolicy(), g, search.Definition{ExtraLoad: 0.5})
		for range 5 {
			checkComplete(t, e.Ask(context.Background(), testQuery(false)), 20)
		}
	})
}
