// Package scatter answers one query over the many shards of an index.
//
// The Engine pins one complete version of the index, calls one replica of each
// shard, hedges slow calls and retries failed ones within a shared budget, and
// merges the answers. Answers for another version or range are dropped. When a
// version is gone from every replica of a shard, the query restarts on a newer
// version. The coverage lists the ranges that are missing, with reasons.
//
// One goroutine holds the state of a query and makes all decisions. Each call
// to a backend server has a goroutine that only waits for the result.
//
// A query that was never answered before makes a trial call to one shard,
// hedged once, and fans out after the answer. A request that crashes backend
// servers thus crashes at most two of them instead of one for each shard.
//
// # Usage
//
//	e := scatter.New(scatter.Config{Source: s, Snapshot: c.Current, Policy: scatter.DefaultPolicy()})
//	defer e.Close()
//	a := e.Ask(ctx, ask.Query{QueryID: id, Search: "warranty", Text: "joint", Limit: 20, Deadline: d})
package scatter
