package directory

import (
	"cmp"
	"fmt"
	"slices"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// serviceIndex holds the ranges and the writers of one service.
type serviceIndex struct {
	holdings []Holding
	writers  []*backend.Backend
}

// rebuild builds the shard maps of all services from the searchers' status pages.
func (d *Directory) rebuild() {
	indexes := map[string]*serviceIndex{}
	backends := make(map[string]*backend.Backend, len(d.entries))
	for id, e := range d.entries {
		backends[id] = e.b
		e.draining = e.b.State().Reason == outcome.Draining
		if e.known && !e.draining {
			addHoldings(indexes, e)
		}
	}
	maps := make(map[string]*ShardMap, len(indexes))
	for service, x := range indexes {
		slices.SortFunc(x.holdings, func(a, b Holding) int { return compareIDs(a.Backend, b.Backend) })
		slices.SortFunc(x.writers, compareIDs)
		maps[service] = NewShardMap(x.holdings, x.writers)
	}
	old := *d.maps.Load()
	d.backends.Store(&backends)
	d.maps.Store(&maps)
	for service, m := range maps {
		d.emitVersionEvents(service, old[service], m)
	}
}

// addHoldings adds the holdings of one searcher to the index of its service.
func addHoldings(indexes map[string]*serviceIndex, e *entry) {
	x := indexes[e.status.Service]
	if x == nil {
		x = &serviceIndex{}
		indexes[e.status.Service] = x
	}
	if e.status.Writes {
		x.writers = append(x.writers, e.b)
	}
	for _, h := range e.status.Holdings {
		for _, r := range h.Ranges {
			x.holdings = append(x.holdings, Holding{Version: h.Version, Range: r, Backend: e.b})
		}
	}
}

// emitVersionEvents emits an event for each version that became complete or is
// no longer complete. before may be nil.
func (d *Directory) emitVersionEvents(service string, before, after *ShardMap) {
	if before == nil {
		before = &ShardMap{}
	}
	for _, v := range after.Versions {
		if !slices.Contains(before.Versions, v) {
			d.c.Events.Emit(event.VersionAppeared, service, fmt.Sprint(v))
		}
	}
	for _, v := range before.Versions {
		if !slices.Contains(after.Versions, v) {
			d.c.Events.Emit(event.VersionRetired, service, fmt.Sprint(v))
		}
	}
}

// compareIDs compares backends by id.
func compareIDs(a, b *backend.Backend) int {
	return cmp.Compare(a.ID(), b.ID())
}
