package directory

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
)

// hurry makes the status page of a searcher due.
func (d *Directory) hurry(id string) {
	e, ok := d.entries[id]
	if !ok {
		return
	}
	if draining := e.b.State().Reason == outcome.Draining; draining != e.draining {
		d.rebuild()
	}
	if e.polling {
		e.again = true
		return
	}
	e.urgent = true
	e.due = e.last.Add(max(e.pause, leastInterval))
	d.nextPoll = minTime(d.nextPoll, e.due)
}

// minTime and maxTime return the earlier and the later of two times.
func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// answered tells whether the answers of a searcher spare a read of its page.
func (e *entry) answered(now, last time.Time, interval time.Duration) bool {
	return e.known && !e.urgent && now.Sub(last) < interval && now.Sub(e.last) < quietFactor*interval
}

// poll starts the reads that are due, and returns when the next one is.
func (d *Directory) poll(now, next time.Time) time.Time {
	for id, e := range d.entries {
		if e.polling {
			continue
		}
		if now.Before(e.due) {
			if e.due.Before(next) {
				next = e.due
			}
			continue
		}
		if e.answered(now, e.b.LastAnswer(), d.c.Interval) || e.spared(now, d.c.Interval) {
			e.due = now.Add(d.jittered())
			if e.due.Before(next) {
				next = e.due
			}
			continue
		}
		e.polling, e.urgent, e.last = true, false, now
		d.wg.Go(func() { d.read(id, e.b) })
	}
	return next
}

// read reads one status page.
func (d *Directory) read(id string, b *backend.Backend) {
	ctx, cancel := context.WithTimeout(d.ctx, pollTimeout)
	defer cancel()
	s, err := b.Poll(ctx)
	select {
	case d.statuses <- report{id: id, status: s, err: err}:
	case <-d.ctx.Done():
	}
}

// take keeps a status and builds new maps if it changed the shards.
func (d *Directory) take(r report) {
	e, ok := d.entries[r.id]
	if !ok {
		return
	}
	if r.heard {
		d.hear(e, r.status)
		return
	}
	e.polling = false
	e.due = e.last.Add(d.jittered())
	if e.b.MaxLinks() == 0 {
		e.due = e.last.Add(rareFactor * d.jittered())
	}
	if e.again {
		e.again, e.urgent = false, true
		e.due = e.last.Add(max(e.pause, leastInterval))
	}
	d.nextPoll = minTime(d.nextPoll, e.due)
	if r.err != nil {
		return
	}
	was := e.status
	e.status, e.known = r.status, true
	e.pause = min(max(2*e.pause, leastInterval), hurryMost)
	if !sameShards(was, r.status) {
		e.pause = 0
		d.rebuild()
		d.hurryBehind(r.status.Service)
	}
	if e.b.StatusStale() {
		d.hurry(r.id)
	}
}

// hurryBehind makes the pages of a service due whose searchers were not seen
// to hold its newest version, and all of them when no version is known to be
// complete. A query that finds its version gone waits for a newer one then,
// so that no answers tell of the searchers that have it.
func (d *Directory) hurryBehind(service string) {
	newest := uint64(0)
	for _, e := range d.entries {
		if e.known && e.status.Service == service {
			newest = max(newest, newestVersion(e.status))
		}
	}
	none := len(d.Map(service).Versions) == 0
	for id, e := range d.entries {
		if e.known && e.status.Service == service && e.b.MaxLinks() > 0 && (none || newestVersion(e.status) < newest) {
			d.hurry(id)
		}
	}
}

// newestVersion returns the newest version that a searcher holds.
func newestVersion(s searcher.Status) uint64 {
	v := uint64(0)
	for _, h := range s.Holdings {
		v = max(v, h.Version)
	}
	return v
}

// jittered returns the interval, a quarter more or less.
func (d *Directory) jittered() time.Duration {
	return time.Duration(float64(d.c.Interval) * (0.75 + d.rand.Float64()/2))
}

// sameShards tells whether two statuses lead to the same map.
func sameShards(a, b searcher.Status) bool {
	return a.Service == b.Service && a.Writes == b.Writes && a.Load.Draining == b.Load.Draining &&
		slices.EqualFunc(a.Holdings, b.Holdings, func(x, y searcher.Holding) bool {
			return x.Version == y.Version && slices.Equal(x.Ranges, y.Ranges)
		})
}
