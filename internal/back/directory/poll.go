package directory

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
)

// scheduleEarlyPoll schedules a poll as soon as the early poll interval allows.
func (d *Directory) scheduleEarlyPoll(id string) {
	e, ok := d.entries[id]
	if !ok {
		return
	}
	if draining := e.b.State().Reason == outcome.Draining; draining != e.draining {
		d.rebuild()
	}
	if e.polling {
		e.pollAgain = true
		return
	}
	e.urgent = true
	e.nextPoll = e.lastPollAt.Add(max(e.earlyInterval, minEarlyPollInterval))
	d.nextPoll = minTime(d.nextPoll, e.nextPoll)
}

// minTime returns the earlier of two times.
func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// answersSuffice returns true if recent answers of the searcher make a poll
// unnecessary.
func (e *entry) answersSuffice(now, lastAnswer time.Time, interval time.Duration) bool {
	return e.known && !e.urgent && now.Sub(lastAnswer) < interval &&
		now.Sub(e.lastPollAt) < maxSkippedIntervals*interval
}

// startPolls starts the polls that are due. It returns the time of the next poll,
// or next if that is earlier.
func (d *Directory) startPolls(now, next time.Time) time.Time {
	for id, e := range d.entries {
		if e.polling {
			continue
		}
		if now.Before(e.nextPoll) {
			if e.nextPoll.Before(next) {
				next = e.nextPoll
			}
			continue
		}
		if e.answersSuffice(now, e.b.LastAnswer(), d.c.PollInterval) || e.peerReportsSuffice(now, d.c.PollInterval) {
			e.nextPoll = now.Add(d.jitteredInterval())
			if e.nextPoll.Before(next) {
				next = e.nextPoll
			}
			continue
		}
		e.polling, e.urgent, e.lastPollAt = true, false, now
		d.wg.Go(func() { d.pollStatus(id, e.b) })
	}
	return next
}

// pollStatus polls one status page.
func (d *Directory) pollStatus(id string, b *backend.Backend) {
	ctx, cancel := context.WithTimeout(d.ctx, pollTimeout)
	defer cancel()
	s, err := b.Poll(ctx)
	select {
	case d.reports <- report{id: id, status: s, err: err}:
	case <-d.ctx.Done():
	}
}

// handleReport records the result of a poll and schedules the next one.
func (d *Directory) handleReport(r report) {
	e, ok := d.entries[r.id]
	if !ok {
		return
	}
	if r.fromPeer {
		d.handlePeerReport(e, r.status)
		return
	}
	e.polling = false
	e.nextPoll = e.lastPollAt.Add(d.jitteredInterval())
	if e.b.MaxLinks() == 0 {
		e.nextPoll = e.lastPollAt.Add(noContractFactor * d.jitteredInterval())
	}
	if e.pollAgain {
		e.pollAgain, e.urgent = false, true
		e.nextPoll = e.lastPollAt.Add(max(e.earlyInterval, minEarlyPollInterval))
	}
	d.nextPoll = minTime(d.nextPoll, e.nextPoll)
	if r.err != nil {
		return
	}
	previous := e.status
	e.status, e.known = r.status, true
	e.earlyInterval = min(max(2*e.earlyInterval, minEarlyPollInterval), maxEarlyPollInterval)
	if !sameShards(previous, r.status) {
		e.earlyInterval = 0
		d.rebuild()
		d.pollOutdated(r.status.Service)
	}
	if e.b.StatusStale() {
		d.scheduleEarlyPoll(r.id)
	}
}

// pollOutdated schedules early polls of the searchers of a service that are not
// known to hold its newest version, or of all if no version is complete. When
// queries find their version gone, they wait for a newer one. No answers arrive
// in that time that would show which searchers already have it.
func (d *Directory) pollOutdated(service string) {
	newest := uint64(0)
	for _, e := range d.entries {
		if e.known && e.status.Service == service {
			newest = max(newest, newestVersion(e.status))
		}
	}
	noneComplete := len(d.ShardMap(service).Versions) == 0
	for id, e := range d.entries {
		if e.known && e.status.Service == service && e.b.MaxLinks() > 0 && (noneComplete || newestVersion(e.status) < newest) {
			d.scheduleEarlyPoll(id)
		}
	}
}

// newestVersion returns the newest version that a searcher holds, or 0.
func newestVersion(s searcher.Status) uint64 {
	v := uint64(0)
	for _, h := range s.Holdings {
		v = max(v, h.Version)
	}
	return v
}

// jitteredInterval returns the poll interval with up to 25% of jitter.
func (d *Directory) jitteredInterval() time.Duration {
	return time.Duration(float64(d.c.PollInterval) * (0.75 + d.rand.Float64()/2))
}

// sameShards returns true if two statuses lead to the same shard map.
func sameShards(a, b searcher.Status) bool {
	return a.Service == b.Service && a.Writes == b.Writes && a.Load.Draining == b.Load.Draining &&
		slices.EqualFunc(a.Holdings, b.Holdings, func(x, y searcher.Holding) bool {
			return x.Version == y.Version && slices.Equal(x.Ranges, y.Ranges)
		})
}
