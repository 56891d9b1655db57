package contract

import (
	"cmp"
	"slices"

	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/world/zone"
)

const (
	// reservePart is the part of a searcher's connections that is kept in
	// reserve, in hundredths: 11 of 25.
	reservePart = 44
	// awayPart is the part of the reserve that nodes of other failure domains
	// may use, in hundredths.
	awayPart = 66
	// mostGroups bounds the number of groups.
	mostGroups = 1 << 10
)

// Node is one entry VM.
type Node struct {
	ID     string
	Domain zone.Domain
}

// Searcher is one backend server.
type Searcher struct {
	ID     string
	Domain zone.Domain
	// MaxConnections is how many connections it accepts.
	MaxConnections int
	// Ranges are the shards that it holds.
	Ranges []keyrange.Range
}

// Input is what a plan follows from. The order of nodes and searchers does
// not matter.
type Input struct {
	// Self is the node that computes the plan.
	Self string
	// Nodes are the live entry VMs of all failure domains.
	Nodes     []Node
	Searchers []Searcher
}

// Contract is what a node may use on one searcher.
type Contract struct {
	Searcher string
	// Links is how many connections it may have open.
	Links int
	// Calls is how many calls it may have in flight.
	Calls int
}

// Plan is the part of the fleet's contracts that concerns one node.
type Plan struct {
	// Groups is the number of groups in the node's failure domain.
	Groups int
	// Group is the one that the node holds, or -1 when it is not listed.
	Group int
	// Holders are the nodes that hold each group, in their order of rank.
	Holders [][]string
	// Contracts with each searcher on which the node may use a link, in the
	// order of the searchers' ids.
	Contracts []Contract
}

// Links returns how many connections the node may have to a searcher.
func (p Plan) Links(searcher string) int {
	i, ok := slices.BinarySearchFunc(p.Contracts, searcher, func(c Contract, id string) int {
		return cmp.Compare(c.Searcher, id)
	})
	if !ok {
		return 0
	}
	return p.Contracts[i].Links
}

// Usable returns how many of a searcher's connections the holders in its own
// failure domain may use.
func Usable(limit int) int {
	return max(limit-reserve(limit), 1)
}

// reserve returns how many connections are kept back.
func reserve(limit int) int { return limit * reservePart / 100 }

// Compute returns the plan of one node.
func Compute(in Input) Plan {
	p := Plan{Group: -1}
	i := slices.IndexFunc(in.Nodes, func(n Node) bool { return n.ID == in.Self })
	if i < 0 {
		return p
	}
	home := in.Nodes[i].Domain
	p.Holders = holders(in, home)
	p.Groups = len(p.Holders)
	p.Group = slices.IndexFunc(p.Holders, func(h []string) bool { return slices.Contains(h, in.Self) })
	p.Contracts = contracts(in, home, p.Holders)
	return p
}

// holders groups the nodes of one failure domain.
func holders(in Input, home zone.Domain) [][]string {
	var nodes []string
	for _, n := range in.Nodes {
		if n.Domain == home {
			nodes = append(nodes, n.ID)
		}
	}
	least := 0
	for _, s := range in.Searchers {
		if l := s.MaxConnections; s.Domain == home && l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	g := 1
	if least > 0 {
		g = groups(len(nodes), Usable(least))
	}
	return divide(nodes, g)
}

// groups returns the smallest power of two that leaves at most usable nodes
// in a group.
func groups(nodes, usable int) int {
	g := 1
	for g < mostGroups && (nodes+g-1)/g > usable {
		g *= 2
	}
	return g
}

// contracts returns what the node may use on each searcher.
func contracts(in Input, home zone.Domain, holders [][]string) []Contract {
	count := map[zone.Domain]int{}
	for _, n := range in.Nodes {
		count[n.Domain]++
	}
	var out []Contract
	for _, s := range in.Searchers {
		n := 0
		if s.Domain == home {
			n = homeLinks(in.Self, s, holders)
		} else {
			n = awayLinks(s, len(in.Nodes)-count[s.Domain])
		}
		if n > 0 {
			out = append(out, Contract{Searcher: s.ID, Links: n, Calls: n})
		}
	}
	slices.SortFunc(out, func(a, b Contract) int { return cmp.Compare(a.Searcher, b.Searcher) })
	return out
}

// homeLinks returns the links of a node on a searcher of its own failure
// domain: an equal part of what is usable, the remainder by rank.
func homeLinks(self string, s Searcher, holders [][]string) int {
	hs := holdersOf(s, holders)
	if !slices.Contains(hs, self) {
		return 0
	}
	usable := Usable(s.MaxConnections)
	n := usable / len(hs)
	if rank(self, s.ID, hs) < usable%len(hs) {
		n++
	}
	return n
}

// awayLinks returns the links of a node on a searcher of another failure
// domain: one if the reserve has one for each such node.
func awayLinks(s Searcher, nodes int) int {
	if reserve(s.MaxConnections)*awayPart/100 < nodes {
		return 0
	}
	return 1
}

// holdersOf returns the nodes that hold a group of which s has a shard.
func holdersOf(s Searcher, holders [][]string) []string {
	if len(holders) == 1 {
		return holders[0]
	}
	var out []string
	seen := map[int]bool{}
	for _, r := range s.Ranges {
		g := GroupOf(r, len(holders))
		if !seen[g] {
			seen[g] = true
			out = append(out, holders[g]...)
		}
	}
	return out
}

// GroupOf returns the group that a shard belongs to, by its first point.
// groups is a power of two.
func GroupOf(r keyrange.Range, groups int) int {
	if groups == 1 {
		return 0
	}
	return int(r.First / (1 << 63 / uint64(groups) * 2))
}
