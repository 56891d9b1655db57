package subset

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"egrethaven/internal/back/instance"
	_ "egrethaven/internal/proof/fixedseed"
	"egrethaven/internal/state/registry"
)

// replicas returns the searchers of one service, spread over domains.
func replicas(service string, n, domains int) []registry.Searcher {
	var ss []registry.Searcher
	for i := range n {
		ss = append(ss, registry.Searcher{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Domain: fmt.Sprint("d", i%domains)})
	}
	return ss
}

// vms returns the subsets of all VMs of a tier.
func vms(n, domains int) []Assigner {
	var out []Assigner
	for i := range n {
		out = append(out, Assigner{VM: fmt.Sprint("vm-", i), Domain: fmt.Sprint("d", i%domains), VMs: n})
	}
	return out
}

// TestConnectionsFitTwice holds the division where every VM connects to every
// searcher: all VMs may open their most, and the kept ones of all VMs fit a
// second time beside those that a power loss left behind.
func TestConnectionsFitTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "vms")
		accepts := rapid.IntRange(n, 20*n).Draw(t, "accepts")
		c := Assigner{VMs: n}.Assign(accepts, replicas("s", 1, 1))[0]
		if c.MinOpen < 1 || c.MaxOpen < c.MinOpen || c.MaxOpen*n > accepts {
			t.Fatalf("%+v of %d for each of %d VMs", c, accepts, n)
		}
		if accepts > 5*n/2 && 2*c.MinOpen*n > accepts {
			t.Fatalf("%d kept by each of %d VMs do not fit twice into %d", c.MinOpen, n, accepts)
		}
	})
}

// TestLargeTier plays the division in tiers where a searcher accepts fewer
// connections than there are VMs: no searcher is asked to keep more than it
// accepts, a second time where it fits: that is what a power loss of all VMs
// leaves behind. Every VM keeps one replica of each shard and may reach all.
func TestLargeTier(t *testing.T) {
	for _, c := range []struct {
		vms, domains, accepts, shards int
		twice                         bool
	}{
		{91, 3, 78, 36, true},
		{72, 4, 68, 36, true},
		{30, 3, 26, 10, true},
		{300, 3, 260, 100, true},
		{100, 3, 50, 36, false},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d accepted", c.vms, c.accepts), func(t *testing.T) {
			most := 0
			for shard := range c.shards {
				ss := replicas(fmt.Sprint("s", shard), 3, c.domains)
				kept := make([]int, len(ss))
				for _, s := range vms(c.vms, c.domains) {
					own := 0
					for n, x := range s.Assign(c.accepts, ss) {
						own += x.MinOpen
						kept[n] += x.MinOpen
						if x.MaxOpen < 1 {
							t.Errorf("%s may not connect to %s at all", s.VM, ss[n].ID)
						}
					}
					if own == 0 {
						t.Errorf("%s keeps no connection to shard %d", s.VM, shard)
					}
				}
				for n, k := range kept {
					most = max(most, k)
					if k > c.accepts || c.twice && 2*k > c.accepts {
						t.Errorf("%d connections are kept to %s, which accepts %d", k, ss[n].ID, c.accepts)
					}
				}
			}
			t.Logf("at most %d kept of %d", most, c.accepts)
		})
	}
}

// TestMovesLittle adds a searcher, and another VM: each VM gives up at most
// one connection for the searcher, and none for the VM.
func TestMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Assigner{VM: rapid.StringN(1, 8, 8).Draw(t, "vm"), Domain: "d0", VMs: 91}
		ss := replicas("s", rapid.IntRange(2, 6).Draw(t, "searchers"), 3)
		before := s.Assign(78, ss)
		after := s.Assign(78, append(ss, registry.Searcher{ID: "new", Domain: "d1"}))
		if n := givenUp(before, after); n > 1 {
			t.Fatalf("%d connections given up for a new searcher", n)
		}
		s.VMs++
		if n := givenUp(before, s.Assign(78, ss)); n > 1 {
			t.Fatalf("%d connections given up for a new VM", n)
		}
	})
}

// givenUp counts the searchers to which connections are no longer kept.
func givenUp(before, after []instance.ConnLimits) int {
	n := 0
	for i, c := range before {
		if c.MinOpen > after[i].MinOpen {
			n++
		}
	}
	return n
}

// TestUnknownTier keeps one connection for each service while it is not known
// how many VMs there are: they may all be starting at this moment.
func TestUnknownTier(t *testing.T) {
	ss := replicas("s", 3, 3)
	for n, c := range (Assigner{VM: "a", Domain: "d1"}).Assign(26, ss) {
		want := instance.ConnLimits{MaxOpen: 1}
		if ss[n].Domain == "d1" {
			want.MinOpen = 1
		}
		if c != want {
			t.Errorf("%s: %+v, want %+v", ss[n].ID, c, want)
		}
	}
}
