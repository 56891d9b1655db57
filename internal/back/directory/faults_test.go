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

// nodes are directories over the same searchers that tell each other of
// drains.
type nodes struct {
	ds []*Directory
	ss []*standin.Searcher
}

// fleet returns 3 nodes over 4 searchers that each hold everything.
func fleet(t *testing.T) *nodes {
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
		n.ss = append(n.ss, s)
		vms = append(vms, vm.VM{ID: fmt.Sprint("s-", i), Role: vm.Searcher, State: vm.Live, Addr: s.Addr()})
	}
	for range 3 {
		d := New(Config{VMs: func() ([]vm.VM, time.Duration) { return vms, 0 }, Interval: time.Hour,
			OnDrain: func(id string, until time.Time) {
				for _, d := range n.ds {
					go d.MarkDraining(id, until)
				}
			}})
		t.Cleanup(d.Close)
		n.ds = append(n.ds, d)
	}
	for _, d := range n.ds {
		until(t, d, "all replicas", func(m *Map) bool {
			return len(m.Versions) == 1 && len(m.Shards(v)[0].Replicas) == 4
		})
	}
	return n
}

// round has each node make calls at the same time, and returns how they ended.
func (n *nodes) round(t *testing.T, calls int) map[outcome.Outcome]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	ends := map[outcome.Outcome]int{}
	for i, d := range n.ds {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			for k := range calls {
				o := call(t, d, r, fmt.Sprint(i, "-", k))
				mu.Lock()
				ends[o]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return ends
}

// call makes one call to a chosen replica.
func call(t *testing.T, d *Directory, r *rand.Rand, id string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	m := d.Map("desk")
	if len(m.Versions) == 0 {
		return outcome.NotRun(outcome.NoReplica)
	}
	reps := m.Shards(m.Versions[0])[0].Replicas
	k := choice.Pick(r, candidates(reps), 0)
	if k < 0 {
		return outcome.NotRun(outcome.NoReplica)
	}
	return reps[k].Search(ctx, searcher.Query{QueryID: id, AttemptID: id, Version: m.Versions[0],
		Range: keyrange.Whole, SchemaVersions: []int{1}, Limit: 3}).Outcome
}

func candidates(bs []*backend.Backend) []choice.Candidate {
	cs := make([]choice.Candidate, len(bs))
	for i, b := range bs {
		s := b.State()
		cs[i] = choice.Candidate{Home: true, Usable: s.Usable, Load: choice.Load(s.InFlight, s.ReportedLoad), Weight: s.Weight}
	}
	return cs
}

// settle makes rounds until all calls of one end well.
func (n *nodes) settle(t *testing.T, what string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; {
		ends := n.round(t, 20)
		if ends[outcome.OK()] == 20*len(n.ds) {
			return
		}
		for o := range ends {
			if o.Kind == outcome.KindFailed || o.Reason == outcome.BadAnswer {
				t.Fatalf("%s: %v", what, ends)
			}
		}
		if time.Now().After(end) {
			t.Fatalf("%s: %v", what, ends)
		}
	}
}

// TestFaults silences, kills, freezes and drains searchers in turn. After each
// fault was met, all calls end well on what is left.
func TestFaults(t *testing.T) {
	n := fleet(t)
	n.settle(t, "at the beginning")

	for _, s := range n.ss {
		s.Control(standin.Control{Silence: true})
	}
	n.settle(t, "after all connections went silent")

	n.ss[0].Crash(0)
	n.settle(t, "after a searcher died")
	before := n.ss[0].Stats().Requests
	if ends := n.round(t, 50); ends[outcome.OK()] != 150 || n.ss[0].Stats().Requests != before {
		t.Fatalf("with a dead searcher: %v", ends)
	}

	n.ss[1].Freeze(true)
	n.settle(t, "after a searcher froze")
	n.ss[1].Freeze(false)
	waitUsable(t, n, "s-1")

	// The drain spreads by the first refusal, without any status page.
	n.ss[2].Drain(0)
	n.settle(t, "after a searcher began to leave")
	for _, d := range n.ds {
		until(t, d, "told of the drain", func(*Map) bool { return !d.Backend("s-2").State().Usable })
	}
	before = n.ss[2].Stats().Requests
	if ends := n.round(t, 50); ends[outcome.OK()] != 150 {
		t.Fatalf("with a leaving searcher: %v", ends)
	}
	if s := n.ss[2].Stats(); s.Requests != before || s.LateWork != 0 {
		t.Fatalf("%d new requests on a leaving searcher", s.Requests-before)
	}
	for i, s := range n.ss {
		if st := s.Stats(); st.ConnectionsRefused > 0 || st.MaxConnections > 25 {
			t.Errorf("searcher %d: %d connections, %d refused", i, st.MaxConnections, st.ConnectionsRefused)
		}
	}
}

// waitUsable waits until each node may use a searcher again.
func waitUsable(t *testing.T, n *nodes, id string) {
	t.Helper()
	for _, d := range n.ds {
		until(t, d, "usable again", func(*Map) bool { return d.Backend(id).State().Usable })
	}
}
