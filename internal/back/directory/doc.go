// Package directory maintains the backends of all searchers in the platform's VM
// list and, per service, a map of the index versions, shards and replicas.
//
// A version is complete if the ranges held by its searchers tile the key space.
// Searchers can hold overlapping ranges during a split or a merge. The directory
// then selects a set of ranges that tiles the key space and has the largest
// minimum number of replicas.
//
// One goroutine owns the state and publishes immutable maps. A searcher that is
// removed from the VM list is removed from the maps at once, and closed when its
// calls have ended.
//
// # Usage
//
//	d := directory.New(directory.Config{VMs: list.VMs, LocalDomain: "sapporo"})
//	m := d.ShardMap("claims_desk")
//	for _, s := range m.Shards(m.Versions[0]) { ... }
//	d.Close()
package directory
