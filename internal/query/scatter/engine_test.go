package scatter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

const ms = time.Millisecond

func TestHedgeOvertakesStraggler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(10, 3, func(shard, _ int, q searcher.Query) behaviour {
			if shard == 3 && q.AttemptID == "q1.0.3.1" {
				return ok(900 * ms)
			}
			return ok(10 * ms)
		})
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.02})
		a := e.Ask(context.Background(), testQuery(false))
		checkComplete(t, a, 10)
		if a.Cost.Hedges != 1 || a.ElapsedMS > 150 {
			t.Fatalf("cost %+v, %v ms", a.Cost, a.ElapsedMS)
		}
	})
}

// TestSilentHedgeBesideFrozenCall guards against a shard that waits for a frozen replica up to
// the deadline after the connection of its hedge, or of its first call, went silent.
func TestSilentHedgeBesideFrozenCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := 0
		x := newIndex(1, 2, func(_, replica int, _ searcher.Query) behaviour {
			if replica == 0 {
				return ok(time.Hour)
			}
			if silent++; silent == 1 {
				return behaviour{delay: 200 * ms, outcome: outcome.Unknown(outcome.ConnectionSilent)}
			}
			return ok(10 * ms)
		})
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.1})
		a := e.Ask(context.Background(), testQuery(false))
		checkComplete(t, a, 1)
		if a.ElapsedMS > 500 {
			t.Fatalf("cost %+v, %v ms", a.Cost, a.ElapsedMS)
		}
	})
}

// TestCallerDeadlineIsNoCancellation: a query that the deadline of its caller's context ended
// had the reason canceled.
func TestCallerDeadlineIsNoCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(2, 1, func(shard, _ int, _ searcher.Query) behaviour { return ok(time.Duration(shard) * time.Hour) })
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{})
		ctx, cancel := context.WithTimeout(context.Background(), 500*ms)
		defer cancel()
		a := e.Ask(ctx, testQuery(false))
		if a.Outcome != outcome.Failed(outcome.IncompleteCoverage) || len(a.Coverage.Missing) != 1 || a.Coverage.Missing[0].Reason != outcome.Timeout {
			t.Fatalf("outcome %v, missing %v", a.Outcome, a.Coverage.Missing)
		}
	})
}

func TestBudgetBoundsHedges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(50, 3, func(int, int, searcher.Query) behaviour { return ok(300 * ms) })
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.02})
		primaries, extra := 0, 0
		for range 20 {
			a := e.Ask(context.Background(), testQuery(false))
			checkComplete(t, a, 50)
			primaries += a.Cost.Primaries
			extra += a.Cost.Hedges + a.Cost.Retries
		}
		if float64(extra) > 0.02*float64(primaries)+4 {
			t.Fatalf("%d extra calls for %d primaries", extra, primaries)
		}
	})
}

func TestAnswerOfAnotherVersionIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(4, 2, func(shard, replica int, _ searcher.Query) behaviour {
			if shard == 2 && replica == 0 {
				return behaviour{delay: ms, outcome: outcome.OK(), version: 9}
			}
			return ok(ms)
		})
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.5})
		dropped := 0
		for range 10 {
			a := e.Ask(context.Background(), testQuery(false))
			checkComplete(t, a, 4)
			dropped += a.Cost.Dropped
			for _, h := range a.Hits {
				if h.Revision != a.Coverage.Version {
					t.Fatalf("hit of version %d in an answer of version %d", h.Revision, a.Coverage.Version)
				}
			}
		}
		if dropped == 0 {
			t.Fatal("no answer of another version was dropped")
		}
	})
}

func TestRestartOnNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var x *fakeIndex
		x = newIndex(4, 2, func(shard, _ int, q searcher.Query) behaviour {
			if shard == 1 && q.Version == 1 {
				if x.Newest() == 1 {
					x.publish(2)
				}
				return behaviour{delay: 5 * ms, outcome: outcome.NotRun(outcome.VersionGone)}
			}
			return ok(ms)
		})
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.5})
		a := e.Ask(context.Background(), testQuery(false))
		checkComplete(t, a, 4)
		if a.Coverage.Version != 2 || a.Cost.Restarts != 1 {
			t.Fatalf("version %d, cost %+v", a.Coverage.Version, a.Cost)
		}
	})
}

// TestVersionGoneDuringTrial refuses the trial call before the newer version
// is known: the restart has to wait for that version at no extra cost.
func TestVersionGoneDuringTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(4, 2, func(_, _ int, q searcher.Query) behaviour {
			if q.Version == 1 {
				return behaviour{delay: ms, outcome: outcome.NotRun(outcome.VersionGone)}
			}
			return ok(ms)
		})
		e := engine(t, x, DefaultPolicy(), &fakeGuard{}, search.Definition{})
		time.AfterFunc(100*ms, func() { x.publish(2) })
		a := e.Ask(context.Background(), testQuery(false))
		checkComplete(t, a, 4)
		if a.Cost.Primaries != 4 || a.Cost.Retries != 0 || a.ElapsedMS > 200 {
			t.Fatalf("cost %+v, %v ms", a.Cost, a.ElapsedMS)
		}
	})
}

// TestWaitsForCompleteVersion queries while no version is complete, as happens
// while searchers switch to a new version.
func TestWaitsForCompleteVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(4, 2, func(int, int, searcher.Query) behaviour { return ok(ms) })
		x.versions, x.newest = nil, 1
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.1})
		time.AfterFunc(200*ms, func() { x.publish(2) })
		checkComplete(t, e.Ask(context.Background(), testQuery(false)), 4)
		x.m.Lock()
		x.versions = nil
		x.m.Unlock()
		a := e.Ask(context.Background(), testQuery(false))
		if a.Outcome != outcome.NotRun(outcome.NoReplica) || a.ElapsedMS > 600 {
			t.Fatalf("no complete version: %v after %v ms", a.Outcome, a.ElapsedMS)
		}
	})
}

func TestPartialAnswerOnlyIfAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(4, 2, func(shard, _ int, _ searcher.Query) behaviour {
			if shard == 0 {
				return ok(time.Hour)
			}
			return ok(ms)
		})
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.02, Prefer: search.PreferCoverage})
		a := e.Ask(context.Background(), testQuery(true))
		if !a.Outcome.OK() || a.Complete || len(a.Hits) != 3 || len(a.Coverage.Missing) != 1 || a.Coverage.Missing[0].Reason != outcome.Timeout {
			t.Fatalf("partial answer: %v %+v", a.Outcome, a.Coverage)
		}
		a = e.Ask(context.Background(), testQuery(false))
		if a.Outcome != outcome.Failed(outcome.IncompleteCoverage) || a.Complete {
			t.Fatalf("caller that accepts no partial answer: %v", a.Outcome)
		}
	})
}

// TestGapReasonsAfterEarlyEnd ends a query early because one range is
// unavailable: the other ranges must not be reported as canceled.
func TestGapReasonsAfterEarlyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(4, 1, func(shard, _ int, _ searcher.Query) behaviour {
			if shard == 2 {
				return behaviour{outcome: outcome.NotRun(outcome.Shed)}
			}
			return ok(time.Hour)
		})
		p := DefaultPolicy()
		p.Retry = false
		e := engine(t, x, p, nil, search.Definition{})
		a := e.Ask(context.Background(), testQuery(false))
		if a.Outcome != outcome.Failed(outcome.Shed) {
			t.Fatalf("outcome %v", a.Outcome)
		}
		for i, g := range a.Coverage.Missing {
			want := outcome.IncompleteCoverage
			if i == 2 {
				want = outcome.Shed
			}
			if g.Reason != want {
				t.Errorf("gap %d has reason %v", i, g.Reason)
			}
		}
	})
}

func TestLatencyFirstStopsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(40, 1, func(shard, _ int, _ searcher.Query) behaviour {
			if shard == 0 {
				return ok(time.Hour)
			}
			return ok(ms)
		})
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.02, Prefer: search.PreferLatency, Deadline: 10 * time.Second})
		a := e.Ask(context.Background(), testQuery(true))
		if a.Complete || a.ElapsedMS > 1000 || len(a.Coverage.Missing) != 1 {
			t.Fatalf("%v ms, missing %v", a.ElapsedMS, a.Coverage.Missing)
		}
	})
}

func TestUnknownSearchAndPastDeadlineRunNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(2, 1, func(int, int, searcher.Query) behaviour { return ok(0) })
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{})
		q := testQuery(true)
		q.Search = "none"
		if a := e.Ask(context.Background(), q); a.Outcome != outcome.NotRun(outcome.UnknownSearch) {
			t.Fatalf("unknown search: %v", a.Outcome)
		}
		q = testQuery(true)
		q.Deadline = time.Now().Add(-time.Second)
		if a := e.Ask(context.Background(), q); a.Outcome != outcome.NotRun(outcome.DeadlinePast) || x.callsRun() != 0 {
			t.Fatalf("past deadline: %v, %d calls ran", a.Outcome, x.callsRun())
		}
	})
}

// TestAnswersAreTrue checks the invariants of an answer under any mix of
// behaviours: complete only with a hit of every shard, missing shards listed,
// not_run only when nothing ran, extra calls within the budget.
func TestAnswersAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards, replicas := rapid.IntRange(1, 6).Draw(rt, "shards"), rapid.IntRange(1, 3).Draw(rt, "replicas")
		kinds := rapid.Custom(func(t *rapid.T) behaviour {
			o := rapid.SampledFrom([]outcome.Outcome{outcome.OK(), outcome.OK(), outcome.OK(), outcome.NotRun(outcome.Shed),
				outcome.NotRun(outcome.ConnectionRefused), outcome.Unknown(outcome.ConnectionLost), outcome.NotRun(outcome.VersionGone),
				outcome.Failed(outcome.Rejected)}).Draw(t, "outcome")
			return behaviour{
				delay:   time.Duration(rapid.SampledFrom([]int{0, 1, 20, 150, 5000}).Draw(t, "delay")) * ms,
				outcome: o,
				version: uint64(rapid.SampledFrom([]int{0, 0, 0, 5}).Draw(t, "version")),
			}
		})
		bs := rapid.SliceOfN(kinds, shards*replicas, shards*replicas).Draw(rt, "behaviours")
		partial := rapid.Bool().Draw(rt, "partial")
		synctest.Test(t, func(st *testing.T) {
			x := newIndex(shards, replicas, func(s, k int, _ searcher.Query) behaviour { return bs[s*replicas+k] })
			e := engine(st, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.05})
			a := e.Ask(context.Background(), testQuery(partial))
			if a.Complete && len(a.Hits) != shards {
				rt.Fatalf("complete with %d hits of %d shards", len(a.Hits), shards)
			}
			if a.Outcome.OK() && !a.Complete && !partial {
				rt.Fatal("partial answer to a caller who accepts none")
			}
			if !a.Complete && len(a.Coverage.Missing) == 0 {
				rt.Fatal("incomplete answer without missing ranges")
			}
			for _, h := range a.Hits {
				if h.Revision != a.Coverage.Version {
					rt.Fatal("hits of different versions")
				}
			}
			if extra := a.Cost.Hedges + a.Cost.Retries; float64(extra) > 0.05*float64(shards)+4 {
				rt.Fatalf("%d extra calls", extra)
			}
			time.Sleep(time.Minute)
			if a.Outcome.Kind == outcome.KindNotRun && x.callsRun() > 0 {
				rt.Fatalf("%v after %d calls ran", a.Outcome, x.callsRun())
			}
		})
	})
}

// TestRestartCostsOnlyAnswers: the version goes while a query calls all shards, and
// the first refusal arrives while the other calls are in flight. They are refused
// too and have cost nothing, but the query was given up as they counted as calls to
// repeat, which a new process has no budget for.
func TestRestartCostsOnlyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(40, 2, func(shard, _ int, q searcher.Query) behaviour {
			if shard > 0 && q.Version == 1 {
				return behaviour{delay: time.Duration(shard) * ms, outcome: outcome.NotRun(outcome.VersionGone)}
			}
			return ok(ms)
		})
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.02})
		time.AfterFunc(100*ms, func() { x.publish(2) })
		a := e.Ask(context.Background(), testQuery(false))
		checkComplete(t, a, 40)
		if a.Coverage.Version != 2 || a.Cost.Restarts != 1 || a.Cost.Retries > 4 {
			t.Fatalf("version %d, cost %+v", a.Coverage.Version, a.Cost)
		}
	})
}

// TestUnaffordableRestart checks that a query which the budget does not let restart
// tries again for less than its deadline. The call that a hedge made superfluous is not
// waited for.
func TestUnaffordableRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(40, 2, goneShard)
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.02})
		a := e.Ask(context.Background(), testQuery(false))
		if a.Outcome.OK() || a.Cost.Hedges == 0 || a.Cost.Restarts != 0 || a.ElapsedMS > 700 {
			t.Fatalf("outcome %v, cost %+v, %v ms", a.Outcome, a.Cost, a.ElapsedMS)
		}
	})
}

// TestRestartWaitsForBudget: the budget of a restart was spent, and the query was given
// up though other queries earned tokens long before its deadline.
func TestRestartWaitsForBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(40, 2, goneShard)
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.5})
		time.AfterFunc(310*ms, func() {
			x.publish(2)
			q := testQuery(false)
			q.QueryID = "q2"
			e.Ask(context.Background(), q)
		})
		a := e.Ask(context.Background(), testQuery(false))
		checkComplete(t, a, 40)
		if a.Coverage.Version != 2 || a.Cost.Restarts != 1 {
			t.Fatalf("version %d, cost %+v", a.Coverage.Version, a.Cost)
		}
	})
}

// goneShard is the behaviour of an index whose version 1 is gone from shard 1. The
// first call of shard 0 is slow.
func goneShard(shard, _ int, q searcher.Query) behaviour {
	switch {
	case shard == 1 && q.Version == 1:
		return behaviour{delay: 150 * ms, outcome: outcome.NotRun(outcome.VersionGone)}
	case q.AttemptID == "q1.0.0.1":
		return ok(900 * ms)
	}
	return ok(ms)
}

// TestVersionGoneBesideCrash: one replica of a shard has crashed and the other one holds
// only the newer version. The query asked both again on the old version until it gave
// the shard up, if the crashed one was asked last.
func TestVersionGoneBesideCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newIndex(4, 2, func(shard, replica int, q searcher.Query) behaviour {
			switch {
			case shard == 1 && replica == 1:
				return behaviour{delay: ms, outcome: outcome.NotRun(outcome.ConnectionRefused)}
			case shard == 1 && q.Version == 1:
				return behaviour{delay: ms, outcome: outcome.NotRun(outcome.VersionGone)}
			}
			return ok(ms)
		})
		x.shards[1].Replicas[1].(*fakeReplica).domain = "other"
		e := engine(t, x, DefaultPolicy(), nil, search.Definition{ExtraLoad: 0.5})
		time.AfterFunc(ms, func() { x.publish(2) })
		a := e.Ask(context.Background(), testQuery(false))
		checkComplete(t, a, 4)
		if a.Coverage.Version != 2 || a.Cost.Restarts != 1 {
			t.Fatalf("version %d, cost %+v", a.Coverage.Version, a.Cost)
		}
	})
}
