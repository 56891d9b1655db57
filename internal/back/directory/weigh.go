package directory

import (
	"time"

	"egrethaven/internal/back/eject"
	"egrethaven/internal/observe/event"
)

// weigh sets the weights of all searchers from their service times, compared
// within the shards of each service's newest version.
func (d *Directory) weigh(now time.Time) {
	ss := make([]eject.Searcher, 0, len(d.entries))
	index := make(map[string]int, len(d.entries))
	for id, e := range d.entries {
		latency, samples := e.b.Latency()
		index[id] = len(ss)
		ss = append(ss, eject.Searcher{ID: id, Latency: latency, Samples: samples, Since: e.b.ActiveSince()})
	}
	var shards [][]int
	for _, m := range *d.maps.Load() {
		if len(m.Versions) == 0 {
			continue
		}
		for _, s := range m.Shards(m.Versions[0]) {
			reps := make([]int, 0, len(s.Replicas))
			for _, b := range s.Replicas {
				if i, ok := index[b.ID()]; ok {
					reps = append(reps, i)
				}
			}
			shards = append(shards, reps)
		}
	}
	for id, w := range d.eject.Step(now, ss, shards) {
		d.entries[id].b.SetWeight(w)
	}
	d.tell()
}

// tell emits the searchers that were moved out or came back.
func (d *Directory) tell() {
	slow := map[string]bool{}
	for _, id := range d.eject.Slow() {
		slow[id] = true
	}
	for id, e := range d.entries {
		if slow[id] == e.slow {
			continue
		}
		e.slow = slow[id]
		if e.slow {
			d.c.Events.Emit(event.SearcherEjected, id, "slow against its replicas")
			continue
		}
		d.c.Events.Emit(event.SearcherReturned, id, "as fast as its replicas")
	}
}
