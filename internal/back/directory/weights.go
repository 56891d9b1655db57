package directory

import (
	"time"

	"egrethaven/internal/back/eject"
	"egrethaven/internal/observe/event"
)

// updateWeights sets the weights of all searchers from their service times,
// compared within the shards of each service's newest version.
func (d *Directory) updateWeights(now time.Time) {
	ss := make([]eject.Searcher, 0, len(d.entries))
	index := make(map[string]int, len(d.entries))
	for id, e := range d.entries {
		latency, samples := e.b.Latency()
		index[id] = len(ss)
		ss = append(ss, eject.Searcher{ID: id, Latency: latency, Samples: samples, ActiveSince: e.b.ActiveSince()})
	}
	var shards [][]int
	for _, m := range *d.maps.Load() {
		if len(m.Versions) == 0 {
			continue
		}
		for _, s := range m.Shards(m.Versions[0]) {
			replicas := make([]int, 0, len(s.Replicas))
			for _, b := range s.Replicas {
				if i, ok := index[b.ID()]; ok {
					replicas = append(replicas, i)
				}
			}
			shards = append(shards, replicas)
		}
	}
	for id, w := range d.ejection.Update(now, ss, shards) {
		d.entries[id].b.SetWeight(w)
	}
	d.emitEjectionEvents()
}

// emitEjectionEvents emits an event for each searcher that was ejected or that
// returned.
func (d *Directory) emitEjectionEvents() {
	ejected := map[string]bool{}
	for _, id := range d.ejection.Ejected() {
		ejected[id] = true
	}
	for id, e := range d.entries {
		if ejected[id] == e.ejected {
			continue
		}
		e.ejected = ejected[id]
		if e.ejected {
			d.c.Events.Emit(event.SearcherEjected, id, "slow against its replicas")
			continue
		}
		d.c.Events.Emit(event.SearcherReturned, id, "as fast as its replicas")
	}
}
