package contract

import (
	"cmp"
	"slices"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/query/keyrange"
)

const (
	// reservePercent is the percentage of a searcher's connections that is held
	// in reserve: 11 of 25.
	reservePercent = 44
	// remoteReservePercent is the percentage of the reserve available to nodes
	// of other failure domains.
	remoteReservePercent = 66
	// maxGroups limits the number of groups.
	maxGroups = 1 << 10
)

// Node is one entry VM.
type Node struct {
	ID     string
	Domain failuredomain.Domain
}

// Searcher is one backend server.
type Searcher struct {
	ID     string
	Domain failuredomain.Domain
	// MaxConnections is the searcher's connection limit.
	MaxConnections int
	// Ranges are the shards on the searcher.
	Ranges []keyrange.Range
}

// Input is the fleet state from which a plan is computed. The order of nodes
// and searchers does not matter.
type Input struct {
	// Self is the ID of the node that the plan is for.
	Self string
	// Nodes are the live entry VMs of all failure domains.
	Nodes     []Node
	Searchers []Searcher
}

// Contract is a node's quota on one searcher.
type Contract struct {
	// Searcher is the searcher's ID.
	Searcher string
	// Links is the maximum number of open connections.
	Links int
	// Calls is the maximum number of calls in flight.
	Calls int
}

// Plan holds the contracts and the group of one node.
type Plan struct {
	// Groups is the number of groups in the node's failure domain.
	Groups int
	// Group is the index of the group that the node holds, or -1 if the node is
	// not in Input.Nodes.
	Group int
	// Holders lists the IDs of the nodes that hold each group, ordered by rank.
	Holders [][]string
	// Contracts has one entry for each searcher on which the node may open
	// links, sorted by searcher ID.
	Contracts []Contract
}

// Links returns the maximum number of connections from the node to a searcher,
// or 0 if there is no contract.
func (p Plan) Links(searcher string) int {
	i, ok := slices.BinarySearchFunc(p.Contracts, searcher, func(c Contract, id string) int {
		return cmp.Compare(c.Searcher, id)
	})
	if !ok {
		return 0
	}
	return p.Contracts[i].Links
}

// UsableConnections returns how many of a searcher's connections are available
// to holders in its own failure domain. It is at least 1.
func UsableConnections(limit int) int {
	return max(limit-reserve(limit), 1)
}

// reserve returns the number of connections held in reserve.
func reserve(limit int) int { return limit * reservePercent / 100 }

// Compute returns the plan of the node in.Self.
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

// holders assigns the nodes of one failure domain to groups.
func holders(in Input, home failuredomain.Domain) [][]string {
	var nodes []string
	for _, n := range in.Nodes {
		if n.Domain == home {
			nodes = append(nodes, n.ID)
		}
	}
	minLimit := 0
	for _, s := range in.Searchers {
		if l := s.MaxConnections; s.Domain == home && l > 0 && (minLimit == 0 || l < minLimit) {
			minLimit = l
		}
	}
	g := 1
	if minLimit > 0 {
		g = groupCount(len(nodes), UsableConnections(minLimit))
	}
	return splitGroups(nodes, g)
}

// groupCount returns the smallest power of two, up to maxGroups, at which a
// group has at most usable nodes.
func groupCount(nodes, usable int) int {
	g := 1
	for g < maxGroups && (nodes+g-1)/g > usable {
		g *= 2
	}
	return g
}

// contracts returns the node's contracts, sorted by searcher ID.
func contracts(in Input, home failuredomain.Domain, holders [][]string) []Contract {
	count := map[failuredomain.Domain]int{}
	for _, n := range in.Nodes {
		count[n.Domain]++
	}
	var out []Contract
	for _, s := range in.Searchers {
		n := 0
		if s.Domain == home {
			n = localLinks(in.Self, s, holders)
		} else {
			n = remoteLinks(s, len(in.Nodes)-count[s.Domain])
		}
		if n > 0 {
			out = append(out, Contract{Searcher: s.ID, Links: n, Calls: n})
		}
	}
	slices.SortFunc(out, func(a, b Contract) int { return cmp.Compare(a.Searcher, b.Searcher) })
	return out
}

// localLinks returns the number of links from a node to a searcher in its own
// failure domain: an equal share of the usable connections, with the remainder
// given out by rank.
func localLinks(self string, s Searcher, holders [][]string) int {
	hs := holdersOf(s, holders)
	if !slices.Contains(hs, self) {
		return 0
	}
	usable := UsableConnections(s.MaxConnections)
	n := usable / len(hs)
	if rank(self, s.ID, hs) < usable%len(hs) {
		n++
	}
	return n
}

// remoteLinks returns the number of links from a node to a searcher in another
// failure domain: 1 if the reserve has a link for each of the nodes outside the
// searcher's domain, else 0.
func remoteLinks(s Searcher, nodes int) int {
	if reserve(s.MaxConnections)*remoteReservePercent/100 < nodes {
		return 0
	}
	return 1
}

// holdersOf returns the nodes of each group that has a shard on s.
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

// GroupOf returns the index of the group that a shard belongs to, determined
// by the first point of its range. groups must be a power of two.
func GroupOf(r keyrange.Range, groups int) int {
	if groups == 1 {
		return 0
	}
	return int(r.First / (1 << 63 / uint64(groups) * 2))
}
