package contract

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/query/keyrange"
)

// fleet returns nodes and searchers spread evenly over failure domains.
func fleet(domains, nodes, searchers, shards, limit int) Input {
	var in Input
	for i := range nodes {
		in.Nodes = append(in.Nodes, Node{ID: fmt.Sprintf("n-%04d", i), Domain: failuredomain.Domain(fmt.Sprint(i % domains))})
	}
	rs := keyrange.Split(shards)
	for i := range searchers {
		in.Searchers = append(in.Searchers, Searcher{ID: fmt.Sprintf("s-%04d", i), Domain: failuredomain.Domain(fmt.Sprint(i % domains)),
			MaxConnections: limit, Ranges: []keyrange.Range{rs[i/domains%shards]}})
	}
	return in
}

// plans returns the plan of each node, by node ID.
func plans(in Input) map[string]Plan {
	ps := map[string]Plan{}
	for _, n := range in.Nodes {
		in.Self = n.ID
		ps[n.ID] = Compute(in)
	}
	return ps
}

func TestConnectionLimitNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		in := fleet(domains, rapid.IntRange(domains, 90).Draw(t, "nodes"), rapid.IntRange(1, 8).Draw(t, "searchers"),
			rapid.IntRange(1, 30).Draw(t, "shards"), rapid.SampledFrom([]int{4, 25, 50, 100}).Draw(t, "limit"))
		in.Nodes = rapid.Permutation(in.Nodes).Draw(t, "order")
		sum, home := map[string]int{}, map[string]int{}
		for id, p := range plans(in) {
			if p.Group < 0 || len(p.Holders) != p.Groups {
				t.Fatalf("%s: group %d of %d", id, p.Group, p.Groups)
			}
			for _, c := range p.Contracts {
				sum[c.Searcher] += c.Links
			}
			for _, s := range in.Searchers {
				if s.Domain == domainOf(in, id) && GroupOf(s.Ranges[0], p.Groups) == p.Group {
					if p.Links(s.ID) == 0 {
						t.Fatalf("%s holds the group of %s and has no link", id, s.ID)
					}
					home[s.ID]++
				}
			}
		}
		for _, s := range in.Searchers {
			if sum[s.ID] > s.MaxConnections {
				t.Fatalf("%d links on %s, limit %d", sum[s.ID], s.ID, s.MaxConnections)
			}
			if home[s.ID] == 0 {
				t.Fatalf("%s has no holder", s.ID)
			}
		}
	})
}

func domainOf(in Input, id string) failuredomain.Domain {
	for _, n := range in.Nodes {
		if n.ID == id {
			return n.Domain
		}
	}
	return ""
}

// groupsByNode returns the group of each node in the failure domain of the
// first node.
func groupsByNode(in Input) map[string]int {
	in.Self = in.Nodes[0].ID
	gs := map[string]int{}
	for g, hs := range Compute(in).Holders {
		for _, h := range hs {
			gs[h] = g
		}
	}
	return gs
}

// moved counts the nodes in both maps whose group differs.
func moved(before, after map[string]int) int {
	n := 0
	for id, g := range after {
		if b, ok := before[id]; ok && b != g {
			n++
		}
	}
	return n
}

func TestNodeRemovalMovesFewNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(58, 112).Draw(t, "nodes")
		in := fleet(1, nodes, 1, 1, 25)
		before := groupsByNode(in)
		i := rapid.IntRange(0, nodes-1).Draw(t, "leaves")
		in.Nodes = append(append([]Node{}, in.Nodes[:i]...), in.Nodes[i+1:]...)
		if n := moved(before, groupsByNode(in)); n >= 8 {
			t.Fatalf("%d nodes moved, want fewer than 8", n)
		}
	})
}

func TestDoublingGroupsKeepsHalf(t *testing.T) {
	before, after := groupsByNode(fleet(1, 56, 1, 1, 25)), groupsByNode(fleet(1, 57, 1, 1, 25))
	kept := 0
	for id, g := range before {
		if after[id]/2 == g {
			kept++
		}
	}
	if kept < 56-7 {
		t.Fatalf("only %d of 56 nodes kept half of their group", kept)
	}
}

func TestSmallFleetHasOneGroup(t *testing.T) {
	p := plans(fleet(3, 9, 30, 30, 25))["n-0000"]
	if p.Groups != 1 || len(p.Contracts) != 30 {
		t.Fatalf("%d groups, %d contracts, want 1 and 30", p.Groups, len(p.Contracts))
	}
}

// BenchmarkCompute measures the computation of a plan at the design size: 12
// failure domains, 140 shards.
func BenchmarkCompute(b *testing.B) {
	for _, size := range [][2]int{{125, 960}, {250, 1925}, {500, 3850}, {1000, 7700}} {
		in := fleet(12, size[0], size[1], 140, 25)
		in.Self = "n-0000"
		b.Run(fmt.Sprintf("nodes=%d", size[0]), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Compute(in)
			}
		})
	}
}

// BenchmarkMoved reports how many of a failure domain's 83 nodes change groups
// when one node leaves: the mean and the maximum.
func BenchmarkMoved(b *testing.B) {
	in := fleet(1, 83, 1, 1, 25)
	before := groupsByNode(in)
	sum, worst := 0, 0
	for b.Loop() {
		sum, worst = 0, 0
		for i := range in.Nodes {
			out := in
			out.Nodes = append(append([]Node{}, in.Nodes[:i]...), in.Nodes[i+1:]...)
			n := moved(before, groupsByNode(out))
			sum, worst = sum+n, max(worst, n)
		}
	}
	b.ReportMetric(float64(sum)/float64(len(in.Nodes)), "mean-moved")
	b.ReportMetric(float64(worst), "worst-moved")
}
