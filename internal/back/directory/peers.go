package directory

import (
	"slices"
	"strings"
	"time"

	"egrethaven/internal/back/searcher"
)

// OwnStatuses returns the status pages of the searchers with which this node has
// a contract, sorted by id. This node polled them itself, so other nodes may use
// them instead of polling.
func (d *Directory) OwnStatuses() []searcher.Status {
	var out []searcher.Status
	for _, b := range *d.backends.Load() {
		if s := b.Status(); s.ID != "" && b.MaxLinks() > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b searcher.Status) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// AddPeerStatuses records status pages that another node has polled. They are
// ignored for searchers with which this node has a contract. If no reports
// arrive for some time, this node polls the page itself.
func (d *Directory) AddPeerStatuses(ss []searcher.Status) {
	for _, s := range ss {
		select {
		case d.reports <- report{id: s.ID, status: s, fromPeer: true}:
		case <-d.ctx.Done():
			return
		}
	}
}

// handlePeerReport records a status page that another node has polled.
func (d *Directory) handlePeerReport(e *entry, s searcher.Status) {
	if e.b.MaxLinks() > 0 {
		return
	}
	e.peerReportAt = time.Now()
	e.b.SetStatus(s)
	previous := e.status
	e.status, e.known = s, true
	if !sameShards(previous, s) {
		d.rebuild()
	}
}

// peerReportsSuffice returns true if recent reports of other nodes make a poll
// unnecessary.
func (e *entry) peerReportsSuffice(now time.Time, interval time.Duration) bool {
	return e.known && e.b.MaxLinks() == 0 && now.Sub(e.peerReportAt) < maxSkippedIntervals*interval
}
