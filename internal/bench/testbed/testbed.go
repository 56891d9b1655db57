// Package testbed builds what a scenario runs on: the stand-in searchers of one
// service, and nodes that ask them over real TCP.
//
// # Usage
//
//	r, err := rig.New(testbed.Config{Shards: 140, Replicas: 3, Searcher: template})
//	defer r.Close()
//	n := r.Node(testbed.NodeConfig{Policy: scatter.DefaultPolicy()})
//	err = r.Ready(ctx, n)
//	s := r.Ask(ctx, n, due)
package testbed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/bench/sample"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/searcher"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
	"egrethaven/internal/world/zone"

	"github.com/juju/errors"
)

const (
	// service is the name of the searchers' service.
	service = "bench"
	// searchName is the name of the search.
	searchName = "bench"
	// words is the number of different texts; a record has one of them.
	words = 10
	// recordsEach is the number of records in a shard at the start.
	recordsEach = 10
	// limit is the number of hits that are asked for.
	limit = 20
)

// Config describes a rig.
type Config struct {
	Shards   int
	Replicas int
	// ShardsEach is how many shards a searcher holds; 0 is 1.
	ShardsEach int
	Domains    []zone.Domain
	// Searcher is the template of the searchers.
	Searcher searcher.Config
	// Deadline of each query.
	Deadline time.Duration
	// ExtraLoad is the budget of hedges and retries.
	ExtraLoad float64
	Prefer    search.Preference
	Seed      uint64
}

// Testbed is running searchers and the nodes made for them.
type Testbed struct {
	*deployment.Deployment
	Definition search.Definition
	c          Config
	snapshot   *config.Snapshot
	asked      atomic.Uint64

	mu    sync.Mutex
	nodes []*Node
}

// New starts the searchers.
func New(c Config) (*Testbed, error) {
	d, err := deployment.New(deployment.Config{
		Service: service, Domains: c.Domains, Shards: c.Shards, Replicas: c.Replicas, ShardsEach: c.ShardsEach,
		Records: dataset.Synthetic(c.Shards*recordsEach, words), Searcher: c.Searcher, Seed: c.Seed,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	def := search.Definition{
		Name: searchName, Service: service, SchemaVersions: []int{2}, Reconcile: search.ReconcileNewestRevision,
		Prefer: c.Prefer, Deadline: c.Deadline, ExtraLoad: c.ExtraLoad, MaxLimit: limit,
	}
	if def.Prefer == "" {
		def.Prefer = search.PreferCoverage
	}
	return &Testbed{
		Deployment: d, Definition: def, c: c,
		snapshot: &config.Snapshot{Revision: 1, Searches: map[string]search.Definition{searchName: def}},
	}, nil
}

// NextQuery returns the next question. No two are the same: each asks for
// records without a field of its own, which no record has.
func (r *Testbed) NextQuery() ask.Query {
	n := r.asked.Add(1)
	return ask.Query{
		QueryID: fmt.Sprintf("q-%d", n), Search: searchName, Caller: "bench",
		Text: fmt.Sprintf("w%d.", n%words), Limit: limit,
		Filters: []ask.Filter{{Field: fmt.Sprintf("none-%d", n)}},
	}
}

// Querier answers questions. A *Node is one.
type Querier interface {
	Ask(ctx context.Context, a ask.Query) ask.Answer
}

// SendNext sends the next question to a node and returns the sample.
func (r *Testbed) SendNext(ctx context.Context, n Querier, due time.Time) sample.Sample {
	return Send(ctx, n, r.NextQuery(), due)
}

// Send sends a question to a node and returns the sample.
func Send(ctx context.Context, n Querier, q ask.Query, due time.Time) sample.Sample {
	a := n.Ask(ctx, q)
	return sample.Sample{Due: due, Ended: time.Now(), Query: q, Answer: a}
}

// Close stops the nodes, then the searchers.
func (r *Testbed) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		n.Close()
	}
	r.Deployment.Close()
}
