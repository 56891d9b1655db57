package directory

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSearcher is an HTTP server that returns the status set by the test.
type fakeSearcher struct {
	mu sync.Mutex
	s  searcher.Status
	vm vm.VM
}

func (f *fakeSearcher) update(change func(*searcher.Status)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.s)
	f.s.Load.MapRevision++
}

func (f *fakeSearcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == searcher.StatusPath {
		_ = json.NewEncoder(w).Encode(f.s)
		return
	}
	var q searcher.Query
	_ = json.NewDecoder(r.Body).Decode(&q)
	if f.s.Load.Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(searcher.Refusal{AttemptID: q.AttemptID, Reason: outcome.Draining, Load: f.s.Load})
		return
	}
	_ = json.NewEncoder(w).Encode(searcher.Answer{QueryID: q.QueryID, AttemptID: q.AttemptID, Version: q.Version,
		Range: q.Range, Load: f.s.Load})
}

// start returns a directory of searchers that hold the given ranges, the
// searchers and the VM list.
func start(t *testing.T, held map[string][]keyrange.Range) (*Directory, map[string]*fakeSearcher, *sync.Map) {
	t.Helper()
	listed, searchers := &sync.Map{}, map[string]*fakeSearcher{}
	for id, rs := range held {
		f := &fakeSearcher{s: searcher.Status{ID: id, Service: "desk", Writes: id == "a",
			Holdings: []searcher.Holding{{Version: 1, Ranges: rs}}}}
		s := httptest.NewServer(f)
		t.Cleanup(s.Close)
		f.vm = vm.VM{ID: id, Role: vm.Searcher, State: vm.Live, Addr: s.Listener.Addr().String()}
		searchers[id] = f
		listed.Store(id, f.vm)
	}
	d := New(Config{VMs: func() ([]vm.VM, time.Duration) {
		var vs []vm.VM
		listed.Range(func(_, v any) bool { vs = append(vs, v.(vm.VM)); return true })
		return vs, 0
	}, PollInterval: time.Hour, ListInterval: time.Millisecond})
	t.Cleanup(d.Close)
	return d, searchers, listed
}

// waitForMap waits until condition returns true for the shard map.
func waitForMap(t *testing.T, d *Directory, desc string, condition func(m *ShardMap) bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(d.ShardMap("desk")); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for %s: %+v", desc, d.ShardMap("desk"))
		}
	}
}

// query sends one query to a searcher.
func query(t *testing.T, d *Directory, id string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	return d.Backend(id).Search(ctx, searcher.Query{QueryID: "q", AttemptID: "a", Range: keyrange.Whole}).Outcome
}

func replicas(m *ShardMap, v uint64) (ids []string) {
	for _, s := range m.Shards(v) {
		for _, b := range s.Replicas {
			ids = append(ids, b.ID())
		}
	}
	return ids
}

func TestMapsFollowSearchers(t *testing.T) {
	h := keyrange.Split(2)
	d, searchers, listed := start(t, map[string][]keyrange.Range{"a": {h[0]}, "b": {h[1]}, "c": h})
	waitForMap(t, d, "first version", func(m *ShardMap) bool {
		return slices.Equal(m.Versions, []uint64{1}) && slices.Equal(replicas(m, 1), []string{"a", "c", "b", "c"})
	})
	if w := d.Writers("desk"); len(w) != 1 || w[0].ID() != "a" {
		t.Fatalf("writers %v", w)
	}
	// Pages are polled hourly: only the map revision in answers shows the change.
	next := searcher.Holding{Version: 2, Ranges: []keyrange.Range{h[0]}}
	searchers["a"].update(func(s *searcher.Status) { s.Holdings = append(s.Holdings, next) })
	query(t, d, "a")
	waitForMap(t, d, "a version with a gap", func(m *ShardMap) bool {
		return slices.Equal(m.Versions, []uint64{1}) && slices.Equal(m.Incomplete, []uint64{2})
	})
	searchers["b"].update(func(s *searcher.Status) { s.Holdings[0] = searcher.Holding{Version: 2, Ranges: h[1:]} })
	query(t, d, "b")
	waitForMap(t, d, "next version", func(m *ShardMap) bool {
		return slices.Equal(m.Versions, []uint64{2, 1}) && slices.Equal(replicas(m, 1), []string{"a", "c", "c"})
	})
	searchers["c"].update(func(s *searcher.Status) { s.Load.Draining = true })
	if o := query(t, d, "c"); o != outcome.NotRun(outcome.Draining) {
		t.Fatal(o)
	}
	waitForMap(t, d, "a map without the draining searcher", func(m *ShardMap) bool { return !slices.Contains(replicas(m, 1), "c") })
	d.MarkDraining("b", time.Now().Add(time.Minute))
	waitForMap(t, d, "a map without the searcher that another node reported", func(m *ShardMap) bool { return len(m.Versions) == 0 })
	listed.Delete("a")
	waitForMap(t, d, "removal of the unlisted searcher", func(m *ShardMap) bool { return d.Backend("a") == nil && len(m.Shards(2)) == 0 })
}

func TestAnswersSuffice(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	recent, old := now.Add(-time.Second/2), now.Add(-2*time.Second)
	for _, c := range []struct {
		e          entry
		lastAnswer time.Time
		want       bool
	}{
		{entry{known: true, lastPollAt: old}, recent, true},
		{entry{known: true, lastPollAt: old}, old, false},
		{entry{known: true, lastPollAt: old, urgent: true}, recent, false},
		{entry{known: true, lastPollAt: now.Add(-maxSkippedIntervals * time.Second)}, recent, false},
		{entry{lastPollAt: old}, recent, false},
	} {
		if got := c.e.answersSuffice(now, c.lastAnswer, time.Second); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestPeerStatusesCountOnlyWithoutContract(t *testing.T) {
	d, searchers, _ := start(t, map[string][]keyrange.Range{"a": {keyrange.Whole}})
	waitForMap(t, d, "first version", func(m *ShardMap) bool { return len(m.Versions) == 1 })
	next := searchers["a"].s
	next.Holdings = []searcher.Holding{{Version: 9, Ranges: []keyrange.Range{keyrange.Whole}}}
	d.AddPeerStatuses([]searcher.Status{next})
	d.AddPeerStatuses([]searcher.Status{next})
	if k := d.OwnStatuses(); len(k) != 1 || k[0].Holdings[0].Version != 1 {
		t.Fatalf("with a contract: %+v", k)
	}
	d.Backend("a").SetMaxLinks(0)
	d.AddPeerStatuses([]searcher.Status{next})
	waitForMap(t, d, "the version reported by another node", func(m *ShardMap) bool { return slices.Equal(m.Versions, []uint64{9}) })
	if k := d.OwnStatuses(); len(k) != 0 {
		t.Fatalf("OwnStatuses returns a page polled by another node: %+v", k)
	}
}
