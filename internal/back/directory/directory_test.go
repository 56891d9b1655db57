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

// far is a searcher whose status the test sets.
type far struct {
	mu sync.Mutex
	s  searcher.Status
	vm vm.VM
}

func (f *far) set(change func(*searcher.Status)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.s)
	f.s.Load.MapRevision++
}

func (f *far) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// start returns a directory over searchers that hold the given ranges.
func start(t *testing.T, held map[string][]keyrange.Range) (*Directory, map[string]*far, *sync.Map) {
	t.Helper()
	listed, fars := &sync.Map{}, map[string]*far{}
	for id, rs := range held {
		f := &far{s: searcher.Status{ID: id, Service: "desk", Writes: id == "a",
			Holdings: []searcher.Holding{{Version: 1, Ranges: rs}}}}
		s := httptest.NewServer(f)
		t.Cleanup(s.Close)
		f.vm = vm.VM{ID: id, Role: vm.Searcher, State: vm.Live, Addr: s.Listener.Addr().String()}
		fars[id] = f
		listed.Store(id, f.vm)
	}
	d := New(Config{VMs: func() ([]vm.VM, time.Duration) {
		var vs []vm.VM
		listed.Range(func(_, v any) bool { vs = append(vs, v.(vm.VM)); return true })
		return vs, 0
	}, Interval: time.Hour, ListInterval: time.Millisecond})
	t.Cleanup(d.Close)
	return d, fars, listed
}

// until waits for a map of which ok is true.
func until(t *testing.T, d *Directory, what string, ok func(m *Map) bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(d.Map("desk")); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: %+v", what, d.Map("desk"))
		}
	}
}

// ask sends one query to a searcher.
func ask(t *testing.T, d *Directory, id string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	return d.Backend(id).Search(ctx, searcher.Query{QueryID: "q", AttemptID: "a", Range: keyrange.Whole}).Outcome
}

func replicas(m *Map, v uint64) (ids []string) {
	for _, s := range m.Shards(v) {
		for _, b := range s.Replicas {
			ids = append(ids, b.ID())
		}
	}
	return ids
}

func TestMapsFollowTheSearchers(t *testing.T) {
	h := keyrange.Split(2)
	d, fars, listed := start(t, map[string][]keyrange.Range{"a": {h[0]}, "b": {h[1]}, "c": h})
	until(t, d, "first version", func(m *Map) bool {
		return slices.Equal(m.Versions, []uint64{1}) && slices.Equal(replicas(m, 1), []string{"a", "c", "b", "c"})
	})
	if w := d.Writers("desk"); len(w) != 1 || w[0].ID() != "a" {
		t.Fatalf("writers %v", w)
	}
	// A repartition is seen by the answers' map revision: pages are read hourly.
	next := searcher.Holding{Version: 2, Ranges: []keyrange.Range{h[0]}}
	fars["a"].set(func(s *searcher.Status) { s.Holdings = append(s.Holdings, next) })
	ask(t, d, "a")
	until(t, d, "a version with a gap", func(m *Map) bool {
		return slices.Equal(m.Versions, []uint64{1}) && slices.Equal(m.Incomplete, []uint64{2})
	})
	fars["b"].set(func(s *searcher.Status) { s.Holdings[0] = searcher.Holding{Version: 2, Ranges: h[1:]} })
	ask(t, d, "b")
	until(t, d, "next version", func(m *Map) bool {
		return slices.Equal(m.Versions, []uint64{2, 1}) && slices.Equal(replicas(m, 1), []string{"a", "c", "c"})
	})
	fars["c"].set(func(s *searcher.Status) { s.Load.Draining = true })
	if o := ask(t, d, "c"); o != outcome.NotRun(outcome.Draining) {
		t.Fatal(o)
	}
	until(t, d, "without the leaving searcher", func(m *Map) bool { return !slices.Contains(replicas(m, 1), "c") })
	d.MarkDraining("b", time.Now().Add(time.Minute))
	until(t, d, "told by another node", func(m *Map) bool { return len(m.Versions) == 0 })
	listed.Delete("a")
	until(t, d, "gone from the list", func(m *Map) bool { return d.Backend("a") == nil && len(m.Shards(2)) == 0 })
}

func TestAnswersSpareThePage(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	recent, old := now.Add(-time.Second/2), now.Add(-2*time.Second)
	for _, c := range []struct {
		e    entry
		last time.Time
		want bool
	}{
		{entry{known: true, last: old}, recent, true},
		{entry{known: true, last: old}, old, false},
		{entry{known: true, last: old, urgent: true}, recent, false},
		{entry{known: true, last: now.Add(-quietFactor * time.Second)}, recent, false},
		{entry{last: old}, recent, false},
	} {
		if got := c.e.answered(now, c.last, time.Second); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestHeardPagesCountWithoutContract(t *testing.T) {
	d, fars, _ := start(t, map[string][]keyrange.Range{"a": {keyrange.Whole}})
	until(t, d, "first version", func(m *Map) bool { return len(m.Versions) == 1 })
	next := fars["a"].s
	next.Holdings = []searcher.Holding{{Version: 9, Ranges: []keyrange.Range{keyrange.Whole}}}
	d.Hear([]searcher.Status{next})
	d.Hear([]searcher.Status{next})
	if k := d.Known(); len(k) != 1 || k[0].Holdings[0].Version != 1 {
		t.Fatalf("with a contract: %+v", k)
	}
	d.Backend("a").SetMaxLinks(0)
	d.Hear([]searcher.Status{next})
	until(t, d, "heard version", func(m *Map) bool { return slices.Equal(m.Versions, []uint64{9}) })
	if k := d.Known(); len(k) != 0 {
		t.Fatalf("passes on what it heard: %+v", k)
	}
}
