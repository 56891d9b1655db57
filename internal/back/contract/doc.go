// Package contract works out which connections and calls in flight each node
// may use on each searcher.
//
// Every node computes the same plan from the same inputs, so that nothing has
// to be agreed. Inside a failure domain the key space is cut into groups, and
// each node holds one group: it has contracts with the searchers of that group
// only, and asks a holder of each other group for the rest. The number of
// groups is the smallest power of two with which the holders of a group fit
// within a searcher's connection limit, less a reserve. With few nodes it is
// 1, and every node has a contract with every searcher.
//
// Groups are cut by halves: when the number of groups doubles, a holder keeps
// a half of its searchers and opens no connection. Within each cut the nodes
// are ordered by rendezvous hashing and divided in the middle, so that groups
// have equal sizes, and a node that joins or leaves moves few others.
//
// The reserve is for nodes whose view differs, for replacements, and for nodes
// of other failure domains; these get a link each where the reserve allows one
// to all of them, and otherwise go through the holders.
//
// # Usage
//
//	p := contract.Compute(contract.Input{Self: id, Nodes: nodes, Searchers: ss})
//	for _, c := range p.Contracts { backends[c.Searcher].SetMaxLinks(c.Links) }
package contract
