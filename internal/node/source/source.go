// Package source shows the directory of backend servers to the query engine.
//
// The directory's maps and the contracts' plans are immutable, so each pair is
// converted once and kept until the next one replaces it. A shard of a group
// that this node does not hold is shown with the holders of the group.
//
// # Usage
//
//	s := source.New(source.Config{Map: d.Map, Plan: keeper.Plan, Dialer: dialer})
//	e := scatter.New(scatter.Config{Source: s, ...})
package source

import (
	"sync"

	"egrethaven/internal/back/contract"
	"egrethaven/internal/back/directory"
	"egrethaven/internal/node/contracts"
	"egrethaven/internal/node/holders"
	"egrethaven/internal/query/scatter"
)

// Config describes a Source.
type Config struct {
	// Map returns the current map of a service.
	Map func(service string) *directory.ShardMap
	// Plan returns the contracts in force; nil for none.
	Plan func() *contracts.Plan
	// Dialer reaches the holders of other groups.
	Dialer holders.Dialer
}

// Source is a scatter.Source over a directory. It is safe for concurrent use.
type Source struct {
	c     Config
	m     sync.Mutex
	views map[string]*view
}

// view is one map as the engine sees it.
type view struct {
	c      Config
	m      *directory.ShardMap
	plan   *contracts.Plan
	newest uint64
	once   sync.Mutex
	shards map[uint64][]scatter.Shard
}

// New returns a source.
func New(c Config) *Source {
	return &Source{c: c, views: make(map[string]*view)}
}

// Index returns the current index of a service.
func (s *Source) Index(service string) scatter.Index {
	m := s.c.Map(service)
	var p *contracts.Plan
	if s.c.Plan != nil {
		p = s.c.Plan()
	}
	s.m.Lock()
	defer s.m.Unlock()
	v := s.views[service]
	if v == nil || v.m != m || v.plan != p {
		v = newView(s.c, m, p)
		s.views[service] = v
	}
	return v
}

// newView returns the view of a map.
func newView(c Config, m *directory.ShardMap, p *contracts.Plan) *view {
	v := &view{c: c, m: m, plan: p, shards: make(map[uint64][]scatter.Shard)}
	if len(m.Versions) > 0 {
		v.newest = m.Versions[0]
	}
	if len(m.Incomplete) > 0 {
		v.newest = max(v.newest, m.Incomplete[0])
	}
	return v
}

// Versions whose ranges tile the key space, newest first.
func (v *view) Versions() []uint64 { return v.m.Versions }

// Newest is the newest version seen, complete or not.
func (v *view) Newest() uint64 { return v.newest }

// Shards of a version, in order of their ranges.
func (v *view) Shards(version uint64) []scatter.Shard {
	v.once.Lock()
	defer v.once.Unlock()
	if ss, ok := v.shards[version]; ok {
		return ss
	}
	ds := v.m.Shards(version)
	ss := make([]scatter.Shard, len(ds))
	for i, d := range ds {
		ss[i] = v.shard(d)
	}
	v.shards[version] = ss
	return ss
}

// shard converts one shard.
func (v *view) shard(d directory.Shard) scatter.Shard {
	s := scatter.Shard{Range: d.Range, Replicas: make([]scatter.Replica, len(d.Replicas))}
	for k, b := range d.Replicas {
		s.Replicas[k] = b
	}
	if v.plan == nil || v.plan.Groups <= 1 {
		return s
	}
	s.Group = contract.GroupOf(d.Range, v.plan.Groups)
	if s.Group == v.plan.Group {
		return s
	}
	for _, id := range v.plan.Holders[s.Group] {
		s.Holders = append(s.Holders, holders.Holder{VM: v.plan.Nodes[id], Dialer: v.c.Dialer})
	}
	return s
}
