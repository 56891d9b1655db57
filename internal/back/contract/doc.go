// Package contract computes each node's quota of connections and in-flight
// calls on each searcher. A quota on one searcher is called a contract.
//
// Every node computes the same plan from the same inputs, so the nodes need no
// coordination. Within a failure domain the key space is partitioned into
// groups, and each node holds one group: it has contracts only with the
// searchers of that group, and forwards the rest of a query to a holder of
// each other group. The number of groups is the smallest power of two at which
// the holders of a group fit within a searcher's connection limit, minus a
// reserve. A small fleet has one group, and every node has a contract with
// every searcher.
//
// Groups are split in halves: when the number of groups doubles, a holder keeps
// half of its searchers and opens no new connection. For each split the nodes
// are ordered by rendezvous hashing and divided in the middle, so that groups
// have equal sizes and a node that joins or leaves moves few others.
//
// The reserve covers nodes with a different view of the fleet, replacement
// nodes, and nodes of other failure domains. Each of the latter gets one link
// if the reserve has a link for all of them; otherwise they go through the
// holders.
//
// # Usage
//
//	p := contract.Compute(contract.Input{Self: id, Nodes: nodes, Searchers: ss})
//	for _, c := range p.Contracts { backends[c.Searcher].SetMaxLinks(c.Links) }
package contract
