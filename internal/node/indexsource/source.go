// Package indexsource provides the directory of backend servers to the query engine
// as a scatter.Source.
//
// The directory's shard maps and the contract plans are immutable, so the
// conversion of each pair is cached until either changes. A shard of a group that
// this node does not hold gets the holders of the group, to which the engine
// delegates it.
//
// # Usage
//
//	s := indexsource.New(indexsource.Config{ShardMap: d.ShardMap, Plan: planner.Plan, Dialer: dialer})
//	e := scatter.New(scatter.Config{Source: s, ...})
package indexsource

import (
	"sync"

	"egrethaven/internal/back/contract"
	"egrethaven/internal/back/directory"
	"egrethaven/internal/node/contracts"
	"egrethaven/internal/node/partrpc"
	"egrethaven/internal/query/scatter"
)

// Config configures a Source.
type Config struct {
	// ShardMap returns the current shard map of a service.
	ShardMap func(service string) *directory.ShardMap
	// Plan returns the contract plan in force. If Plan is nil, this node holds all
	// groups.
	Plan func() *contracts.Plan
	// Dialer connects to the holders of other groups.
	Dialer partrpc.Dialer
}

// Source implements scatter.Source for a directory. It is safe for concurrent use.
type Source struct {
	c  Config
	mu sync.Mutex
	// indexes caches the index of each service.
	indexes map[string]*index
}

// index implements scatter.Index for one shard map and plan.
type index struct {
	c      Config
	m      *directory.ShardMap
	plan   *contracts.Plan
	newest uint64
	mu     sync.Mutex
	// shards caches the converted shards of each version.
	shards map[uint64][]scatter.Shard
}

// New returns a source.
func New(c Config) *Source {
	return &Source{c: c, indexes: make(map[string]*index)}
}

// Index returns the current index of a service, cached until the shard map or the
// plan changes.
func (s *Source) Index(service string) scatter.Index {
	m := s.c.ShardMap(service)
	var p *contracts.Plan
	if s.c.Plan != nil {
		p = s.c.Plan()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.indexes[service]
	if x == nil || x.m != m || x.plan != p {
		x = newIndex(s.c, m, p)
		s.indexes[service] = x
	}
	return x
}

// newIndex returns the index for a shard map and a plan.
func newIndex(c Config, m *directory.ShardMap, p *contracts.Plan) *index {
	x := &index{c: c, m: m, plan: p, shards: make(map[uint64][]scatter.Shard)}
	if len(m.Versions) > 0 {
		x.newest = m.Versions[0]
	}
	if len(m.Incomplete) > 0 {
		x.newest = max(x.newest, m.Incomplete[0])
	}
	return x
}

// Versions returns the complete versions, newest first.
func (x *index) Versions() []uint64 { return x.m.Versions }

// Newest returns the newest version seen, complete or not, or 0 if there is none.
func (x *index) Newest() uint64 { return x.newest }

// Shards returns the shards of a version in order of their ranges.
func (x *index) Shards(version uint64) []scatter.Shard {
	x.mu.Lock()
	defer x.mu.Unlock()
	if ss, ok := x.shards[version]; ok {
		return ss
	}
	ds := x.m.Shards(version)
	ss := make([]scatter.Shard, len(ds))
	for i, d := range ds {
		ss[i] = x.shard(d)
	}
	x.shards[version] = ss
	return ss
}

// shard converts one shard and adds the holders of its group.
func (x *index) shard(d directory.Shard) scatter.Shard {
	s := scatter.Shard{Range: d.Range, Replicas: make([]scatter.Replica, len(d.Replicas))}
	for i, b := range d.Replicas {
		s.Replicas[i] = b
	}
	if x.plan == nil || x.plan.Groups <= 1 {
		return s
	}
	s.Group = contract.GroupOf(d.Range, x.plan.Groups)
	if s.Group == x.plan.Group {
		return s
	}
	for _, id := range x.plan.Holders[s.Group] {
		s.Holders = append(s.Holders, partrpc.Client{VM: x.plan.Nodes[id], Dialer: x.c.Dialer})
	}
	return s
}
