package scatter

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

// fakeHolder answers parts with an engine of its own, after a delay, or not.
type fakeHolder struct {
	id    string
	e     *Engine
	delay time.Duration
	fail  outcome.Outcome
	asked atomic.Int64
}

func (h *fakeHolder) ID() string { return h.id }

func (h *fakeHolder) Part(ctx context.Context, p Part) PartReply {
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

// delegated returns an index of 12 shards of which the coordinator holds the
// first 4 and the holders the others, in two groups.
func delegated(t *testing.T, hs ...*fakeHolder) (*fakeIndex, *Engine) {
	x := newIndex(12, 2, func(int, int, searcher.Query) behaviour { return ok(ms) })
	d := search.Definition{ExtraLoad: 0.05}
	far := engine(t, x, Current(), nil, d)
	near := &fakeIndex{versions: []uint64{1}, shards: append([]Shard{}, x.shards...)}
	for i := range near.shards {
		if i < 4 {
			continue
		}
		near.shards[i].Replicas = nil
		near.shards[i].Group = 1 + i%2
		for _, h := range hs {
			h.e = far
			near.shards[i].Holders = append(near.shards[i].Holders, h)
		}
	}
	return x, engine(t, near, Current(), nil, d)
}

func TestPartsMakeAWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{id: "h"}
		x, e := delegated(t, h)
		a := e.Ask(context.Background(), question(false))
		checkWhole(t, a, 12)
		if h.asked.Load() != 2 || a.Total != 12 || a.Cost.Primaries != 12 || x.ran() != 12 {
			t.Fatalf("%d parts, total %d, cost %+v, %d calls", h.asked.Load(), a.Total, a.Cost, x.ran())
		}
	})
}

func TestLostHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := &fakeHolder{id: "gone", fail: outcome.NotRun(outcome.ConnectionRefused)}
		h := &fakeHolder{id: "h"}
		_, e := delegated(t, gone, h)
		for range 10 {
			checkWhole(t, e.Ask(context.Background(), question(false)), 12)
		}
		if gone.asked.Load() == 0 {
			t.Fatal("the lost holder was never asked")
		}
	})
}

// TestSilentHolderIsNamed loses the only holder without a word: its ranges
// are missing by name, and nothing else is.
func TestSilentHolderIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, e := delegated(t, &fakeHolder{id: "silent", delay: time.Hour})
		a := e.Ask(context.Background(), question(true))
		if a.Complete || len(a.Hits) != 4 || len(a.Coverage.Missing) != 8 || a.Coverage.Missing[0].Reason != outcome.Timeout {
			t.Fatalf("%v, %d hits, missing %v", a.Outcome, len(a.Hits), a.Coverage.Missing)
		}
	})
}

// TestSlowHolderIsHedgedWithinTheBudget asks a second holder only when the
// budget can pay for all the shards of the part.
func TestSlowHolderIsHedgedWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, h := &fakeHolder{id: "slow", delay: 950 * ms}, &fakeHolder{id: "h", delay: 950 * ms}
		_, e := delegated(t, slow, h)
		primaries, extra := 0, 0
		for range 30 {
			a := e.Ask(context.Background(), question(true))
			primaries += a.Cost.Primaries
			extra += a.Cost.Hedges + a.Cost.Retries
		}
		if extra == 0 || float64(extra) > 0.05*float64(primaries)+4 {
			t.Fatalf("%d extra calls for %d primaries", extra, primaries)
		}
	})
}
