package directory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/choice"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/standin/dataset"
	standin "egrethaven/internal/standin/searcher"
)

// nodes holds directories of the same searchers that notify each other of drains.
type nodes struct {
	directories []*Directory
	searchers   []*standin.Searcher
}

// startNodes starts 3 nodes and 4 searchers that each hold the whole key space.
func startNodes(t *testing.T) *nodes {
	t.Helper()
	whole := []keyrange.Range{keyrange.Whole}
	n, truth := &nodes{}, dataset.New(dataset.Config{Records: dataset.Synthetic(10, 2), Ranges: whole})
	v := truth.Newest()
	var vms []vm.VM
	for i := range 4 {
		s, err := standin.New(standin.Config{ID: fmt.Sprint("s-", i), Service: "desk", Truth: truth, Slots: 2, MaxConnections: 25,
			Time: standin.Time{Median: time.Millisecond}, Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.Hold(searcher.Holding{Version: v, Ranges: whole})
		n.searchers = append(n.searchers, s)
		vms = append(vms, vm.VM{ID: fmt.Sprint("s-", i), Role: vm.Searcher, State: vm.Live, Addr: s.Addr()})
	}
	for range 3 {
		d := New(Config{VMs: func() ([]vm.VM, time.Duration) { return vms, 0 }, PollInterval: time.Hour,
			OnDrain: func(id string, until time.Time) {
				for _, d := range n.directories {
					go d.MarkDraining(id, until)
				}
			}})
		t.Cleanup(d.Close)
		n.directories = append(n.directories, d)
	}
	for _, d := range n.directories {
		waitForMap(t, d, "all replicas", func(m *ShardMap) bool {
			return len(m.Versions) == 1 && len(m.Shards(v)[0].Replicas) == 4
		})
	}
	return n
}

// callAll makes calls on all nodes in parallel and counts their outcomes.
func (n *nodes) callAll(t *testing.T, calls int) map[outcome.Outcome]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	outcomes := map[outcome.Outcome]int{}
	for i, d := range n.directories {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			for k := range calls {
				o := call(t, d, r, fmt.Sprint(i, "-", k))
				mu.Lock()
				outcomes[o]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return outcomes
}

// call makes one call to a replica selected by choice.Pick.
func call(t *testing.T, d *Directory, r *rand.Rand, id string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	m := d.ShardMap("desk")
	if len(m.Versions) == 0 {
		return outcome.NotRun(outcome.NoReplica)
	}
	replicas := m.Shards(m.Versions[0])[0].Replicas
	k := choice.Pick(r, candidates(replicas), 0)
	if k < 0 {
		return outcome.NotRun(outcome.NoReplica)
	}
	return replicas[k].Search(ctx, searcher.Query{QueryID: id, AttemptID: id, Version: m.Versions[0],
		Range: keyrange.Whole, SchemaVersions: []int{1}, Limit: 3}).Outcome
}

func candidates(bs []*backend.Backend) []choice.Candidate {
	cs := make([]choice.Candidate, len(bs))
	for i, b := range bs {
		s := b.State()
		cs[i] = choice.Candidate{Local: true, Usable: s.Usable, LoadScore: choice.LoadScore(s.InFlight, s.ReportedLoad), Weight: s.Weight}
	}
	return cs
}

// waitUntilOK repeats calls until all calls of a round succeed.
func (n *nodes) waitUntilOK(t *testing.T, situation string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; {
		outcomes := n.callAll(t, 20)
		if outcomes[outcome.OK()] == 20*len(n.directories) {
			return
		}
		for o := range outcomes {
			if o.Kind == outcome.KindFailed || o.Reason == outcome.BadAnswer {
				t.Fatalf("%s: %v", situation, outcomes)
			}
		}
		if time.Now().After(end) {
			t.Fatalf("%s: %v", situation, outcomes)
		}
	}
}

// TestFaults silences, crashes, freezes and drains searchers in turn. After each
// fault is detected, all calls succeed on the remaining searchers.
func TestFaults(t *testing.T) {
	n := startNodes(t)
	n.waitUntilOK(t, "at the beginning")

	for _, s := range n.searchers {
		s.Control(standin.Control{Silence: true})
	}
	n.waitUntilOK(t, "after all connections went silent")

	n.searchers[0].Crash(0)
	n.waitUntilOK(t, "after a searcher died")
	before := n.searchers[0].Stats().Requests
	if outcomes := n.callAll(t, 50); outcomes[outcome.OK()] != 150 || n.searchers[0].Stats().Requests != before {
		t.Fatalf("with a dead searcher: %v", outcomes)
	}

	n.searchers[1].Freeze(true)
	n.waitUntilOK(t, "after a searcher froze")
	n.searchers[1].Freeze(false)
	waitUsable(t, n, "s-1")

	// The first refusal propagates the drain; no status page is polled.
	n.searchers[2].Drain(0)
	n.waitUntilOK(t, "after a searcher began to drain")
	for _, d := range n.directories {
		waitForMap(t, d, "the drain to reach all nodes", func(*ShardMap) bool { return !d.Backend("s-2").State().Usable })
	}
	before = n.searchers[2].Stats().Requests
	if outcomes := n.callAll(t, 50); outcomes[outcome.OK()] != 150 {
		t.Fatalf("with a draining searcher: %v", outcomes)
	}
	if s := n.searchers[2].Stats(); s.Requests != before || s.LateWork != 0 {
		t.Fatalf("%d new requests on a draining searcher", s.Requests-before)
	}
	for i, s := range n.searchers {
		if st := s.Stats(); st.ConnectionsRefused > 0 || st.MaxConnections > 25 {
			t.Errorf("searcher %d: %d connections, %d refused", i, st.MaxConnections, st.ConnectionsRefused)
		}
	}
}

// waitUsable waits until the searcher is usable on all nodes.
func waitUsable(t *testing.T, n *nodes, id string) {
	t.Helper()
	for _, d := range n.directories {
		waitForMap(t, d, "the searcher to be usable", func(*ShardMap) bool { return d.Backend(id).State().Usable })
	}
}
