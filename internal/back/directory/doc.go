// Package directory knows the searchers that the platform lists, what each
// holds, and which versions of each service's index are complete.
//
// A version is complete only if the ranges that its searchers hold tile the
// key space. Where searchers hold overlapping ranges, in the course of a
// split or a merge, the directory chooses the set of ranges that tiles and
// that has the most replicas at its weakest range.
//
// One goroutine keeps the state; readers take immutable maps from it. A
// searcher that the platform no longer lists disappears from the maps at
// once, and is closed when its calls have ended.
//
// # Usage
//
//	d := directory.New(directory.Config{VMs: list.VMs, Self: "sapporo"})
//	m := d.Map("claims_desk")
//	for _, s := range m.Shards(m.Versions[0]) { ... }
//	d.Close()
package directory
