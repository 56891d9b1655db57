package directory

import (
	"cmp"
	"fmt"
	"slices"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// gathered is what the searchers of one service hold.
type gathered struct {
	holdings []Holding
	writers  []*backend.Backend
}

// rebuild makes the maps of all services from what the searchers hold.
func (d *Directory) rebuild() {
	byService := map[string]*gathered{}
	ids := make(map[string]*backend.Backend, len(d.entries))
	for id, e := range d.entries {
		ids[id] = e.b
		e.draining = e.b.State().Reason == outcome.Draining
		if e.known && !e.draining {
			gather(byService, e)
		}
	}
	maps := make(map[string]*Map, len(byService))
	for s, g := range byService {
		slices.SortFunc(g.holdings, func(a, b Holding) int { return byID(a.Backend, b.Backend) })
		slices.SortFunc(g.writers, byID)
		maps[s] = NewMap(g.holdings, g.writers)
	}
	old := *d.maps.Load()
	d.byID.Store(&ids)
	d.maps.Store(&maps)
	for s, m := range maps {
		d.announce(s, old[s], m)
	}
}

// gather adds what one searcher holds to its service.
func gather(byService map[string]*gathered, e *entry) {
	g := byService[e.status.Service]
	if g == nil {
		g = &gathered{}
		byService[e.status.Service] = g
	}
	if e.status.Writes {
		g.writers = append(g.writers, e.b)
	}
	for _, h := range e.status.Holdings {
		for _, r := range h.Ranges {
			g.holdings = append(g.holdings, Holding{Version: h.Version, Range: r, Backend: e.b})
		}
	}
}

// announce emits the versions that became complete or are no longer.
func (d *Directory) announce(service string, was, is *Map) {
	if was == nil {
		was = &Map{}
	}
	for _, v := range is.Versions {
		if !slices.Contains(was.Versions, v) {
			d.c.Events.Emit(event.VersionAppeared, service, fmt.Sprint(v))
		}
	}
	for _, v := range was.Versions {
		if !slices.Contains(is.Versions, v) {
			d.c.Events.Emit(event.VersionRetired, service, fmt.Sprint(v))
		}
	}
}

// byID orders backends by their ids.
func byID(a, b *backend.Backend) int {
	return cmp.Compare(a.ID(), b.ID())
}
