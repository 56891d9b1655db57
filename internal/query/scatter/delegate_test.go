package scatter

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

// fakeHolder runs parts on its own engine, or fails, after a delay.
type fakeHolder struct {
	id    string
	e     *Engine
	delay time.Duration
	fail  outcome.Outcome
	asked atomic.Int64
}

func (h *fakeHolder) ID() string { return h.id }

func (h *fakeHolder) Part(ctx context.Context, p PartRequest) PartReply {
	h.asked.Add(1)
	select {
	case <-time.After(h.delay):
	case <-ctx.Done():
		return PartReply{Outcome: outcome.Unknown(outcome.Canceled)}
	}
	if h.fail.Kind != "" {
		return PartReply{Outcome: h.fail}
	}
	return h.e.Part(ctx, p)
}

// newDelegatedIndex returns an index of 12 shards and the engine of a
// coordinator that calls the first 4 itself and delegates the others to the
// holders, in two groups.
func newDelegatedIndex(t *testing.T, hs ...*fakeHolder) (*fakeIndex, *Engine) {
	x := newIndex(12, 2, func(int, int, searcher.Query) behaviour { return ok(ms) })
	d := search.Definition{ExtraLoad: 0.05}
	holderEngine := engine(t, x, DefaultPolicy(), nil, d)
	local := &fakeIndex{versions: []uint64{1}, shards: append([]Shard{}, x.shards...)}
	for i := range local.shards {
		if i < 4 {
			continue
		}
		local.shards[i].Replicas = nil
		local.shards[i].Group = 1 + i%2
		for _, h := range hs {
			h.e = holderEngine
			local.shards[i].Holders = append(local.shards[i].Holders, h)
		}
	}
	return x, engine(t, local, DefaultPolicy(), nil, d)
}

func TestPartsMakeCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{id: "h"}
		x, e := newDelegatedIndex(t, h)
		a := e.Ask(context.Background(), testQuery(false))
		checkComplete(t, a, 12)
		if h.asked.Load() != 2 || a.Total != 12 || a.Cost.Primaries != 12 || x.callsRun() != 12 {
			t.Fatalf("%d parts, total %d, cost %+v, %d calls", h.asked.Load(), a.Total, a.Cost, x.callsRun())
		}
	})
}

// TestAttemptIDsOfParts: two parts of a query that one node holds had the same attempt IDs, so
// that a refusal of one passed for that of the other.
func TestAttemptIDsOfParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		calls, ids := 0, map[string]bool{}
		x, e := newDelegatedIndex(t, &fakeHolder{id: "h"})
		for _, s := range x.shards {
			for _, k := range s.Replicas {
				k.(*fakeReplica).respond = func(q searcher.Query) behaviour {
					mu.Lock()
					defer mu.Unlock()
					calls++
					ids[q.AttemptID] = true
					return ok(ms)
				}
			}
		}
		checkComplete(t, e.Ask(context.Background(), testQuery(false)), 12)
		if len(ids) != calls {
			t.Errorf("%d attempt IDs for %d calls", len(ids), calls)
		}
	})
}

func TestLostHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := &fakeHolder{id: "gone", fail: outcome.NotRun(outcome.ConnectionRefused)}
		h := &fakeHolder{id: "h"}
		_, e := newDelegatedIndex(t, lost, h)
		for range 10 {
			checkComplete(t, e.Ask(context.Background(), testQuery(false)), 12)
		}
		if lost.asked.Load() == 0 {
			t.Fatal("the lost holder was never asked")
		}
	})
}

// TestSilentHolderLeavesGaps has a single holder that never answers: only its
// ranges may be missing.
func TestSilentHolderLeavesGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, e := newDelegatedIndex(t, &fakeHolder{id: "silent", delay: time.Hour})
		a := e.Ask(context.Background(), testQuery(true))
		if a.Complete || len(a.Hits) != 4 || len(a.Coverage.Missing) != 8 || a.Coverage.Missing[0].Reason != outcome.Timeout {
			t.Fatalf("%v, %d hits, missing %v", a.Outcome, len(a.Hits), a.Coverage.Missing)
		}
	})
}

// TestSlowHolderIsHedgedWithinBudget checks that a second holder is asked only
// when the budget covers all shards of the part.
func TestSlowHolderIsHedgedWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, h := &fakeHolder{id: "slow", delay: 950 * ms}, &fakeHolder{id: "h", delay: 950 * ms}
		_, e := newDelegatedIndex(t, slow, h)
		primaries, extra := 0, 0
		for range 30 {
			a := e.Ask(context.Background(), testQuery(true))
			primaries += a.Cost.Primaries
			extra += a.Cost.Hedges + a.Cost.Retries
		}
		if extra == 0 || float64(extra) > 0.05*float64(primaries)+4 {
			t.Fatalf("%d extra calls for %d primaries", extra, primaries)
		}
	})
}
