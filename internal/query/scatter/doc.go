// Package scatter answers one query over the many shards of an index.
//
// The Engine pins one complete version of the index before its first call,
// calls one replica of each shard, hedges the slow ones and retries the
// failed ones within one budget, and merges the answers. An answer of
// another version or range than was asked for is dropped. When a version is
// gone from every replica of a shard, the whole query restarts on a newer
// one. What could not be had in time is named in the coverage, with reasons.
//
// One goroutine holds the state of a query and takes every decision; each
// call to a backend server has a goroutine that only waits for it.
//
// A query that this node has not seen answered before first makes a trial
// call to one shard, hedged once, and fans out only after an answer, so that
// a request which crashes backend servers takes two of them and not one for
// each shard.
//
// # Usage
//
//	e := scatter.New(scatter.Config{Source: s, Searches: c.Current, Policy: scatter.Current()})
//	defer e.Close()
//	a := e.Ask(ctx, ask.Ask{QueryID: id, Search: "warranty", Text: "joint", Limit: 20, Deadline: d})
package scatter
