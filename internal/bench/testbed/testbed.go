// Package testbed builds the environment of a scenario: the stand-in searchers
// of one service, and nodes that call them over TCP.
//
// # Usage
//
//	t, err := testbed.New(testbed.Config{Shards: 140, Replicas: 3, Searcher: template})
//	defer t.Close()
//	n := t.StartNode(testbed.NodeConfig{Policy: scatter.DefaultPolicy()})
//	err = t.WaitReady(ctx, n)
//	s := t.SendNext(ctx, n, due)
package testbed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/bench/sample"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/searcher"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"

	"github.com/juju/errors"
)

const (
	// serviceName is the name of the searchers' service.
	serviceName = "bench"
	// searchName is the name of the search.
	searchName = "bench"
	// distinctTexts is the number of different record texts.
	distinctTexts = 10
	// recordsPerShard is the number of records in each shard at the start.
	recordsPerShard = 10
	// maxHits is the largest number of hits that a query requests.
	maxHits = 20
)

// Config describes a testbed.
type Config struct {
	Shards   int
	Replicas int
	// ShardsEach is the number of shards that each searcher holds; 0 means 1.
	ShardsEach int
	Domains    []failuredomain.Domain
	// Searcher is the configuration common to all searchers.
	Searcher searcher.Config
	// Deadline of each query.
	Deadline time.Duration
	// ExtraLoad is the budget for hedges and retries, as a fraction of the
	// primary calls.
	ExtraLoad float64
	Prefer    search.Preference
	Seed      uint64
}

// Testbed holds the running searchers, and the nodes started for them.
type Testbed struct {
	*deployment.Deployment
	Definition search.Definition
	c          Config
	snapshot   *config.Snapshot
	queries    atomic.Uint64 // generated so far

	mu    sync.Mutex
	nodes []*Node
}

// New starts the searchers.
func New(c Config) (*Testbed, error) {
	d, err := deployment.New(deployment.Config{
		Service: serviceName, Domains: c.Domains, Shards: c.Shards, Replicas: c.Replicas, ShardsPerSearcher: c.ShardsEach,
		Records: dataset.Synthetic(c.Shards*recordsPerShard, distinctTexts), Searcher: c.Searcher, Seed: c.Seed,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	definition := search.Definition{
		Name: searchName, Service: serviceName, SchemaVersions: []int{2}, Reconcile: search.ReconcileNewestRevision,
		Prefer: c.Prefer, Deadline: c.Deadline, ExtraLoad: c.ExtraLoad, MaxLimit: maxHits,
	}
	if definition.Prefer == "" {
		definition.Prefer = search.PreferCoverage
	}
	return &Testbed{
		Deployment: d, Definition: definition, c: c,
		snapshot: &config.Snapshot{Revision: 1, Searches: map[string]search.Definition{searchName: definition}},
	}, nil
}

// NextQuery returns the next query. Each query is unique: it filters on the
// absence of a different field, which no record has.
func (t *Testbed) NextQuery() ask.Query {
	n := t.queries.Add(1)
	return ask.Query{
		QueryID: fmt.Sprintf("q-%d", n), Search: searchName, Caller: "bench",
		Text: fmt.Sprintf("w%d.", n%distinctTexts), Limit: maxHits,
		Filters: []ask.Filter{{Field: fmt.Sprintf("none-%d", n)}},
	}
}

// Querier answers queries. *Node implements it.
type Querier interface {
	Ask(ctx context.Context, q ask.Query) ask.Answer
}

// SendNext sends the next query, due at the given time, and returns the sample.
func (t *Testbed) SendNext(ctx context.Context, to Querier, due time.Time) sample.Sample {
	return Send(ctx, to, t.NextQuery(), due)
}

// Send sends a query, due at the given time, and returns the sample.
func Send(ctx context.Context, to Querier, q ask.Query, due time.Time) sample.Sample {
	a := to.Ask(ctx, q)
	return sample.Sample{Due: due, Ended: time.Now(), Query: q, Answer: a}
}

// Close stops the nodes, then the searchers.
func (t *Testbed) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.nodes {
		n.Close()
	}
	t.Deployment.Close()
}
