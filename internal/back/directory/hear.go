package directory

import (
	"slices"
	"strings"
	"time"

	"egrethaven/internal/back/searcher"
)

// OwnStatuses returns the status pages that this node itself has read of searchers
// with which it has a contract, in the order of their ids. Other nodes may
// take them instead of reading the pages.
func (d *Directory) OwnStatuses() []searcher.Status {
	var out []searcher.Status
	for _, b := range *d.byID.Load() {
		if s := b.Status(); s.ID != "" && b.MaxLinks() > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b searcher.Status) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// AddPeerStatuses takes status pages that another node has read. They count only for
// searchers with which this node has no contract; it reads the page itself
// when it has heard nothing for a while.
func (d *Directory) AddPeerStatuses(ss []searcher.Status) {
	for _, s := range ss {
		select {
		case d.statuses <- report{id: s.ID, status: s, heard: true}:
		case <-d.ctx.Done():
			return
		}
	}
}

// hear takes a status page that another node has read.
func (d *Directory) hear(e *entry, s searcher.Status) {
	if e.b.MaxLinks() > 0 {
		return
	}
	e.heard = time.Now()
	e.b.SetStatus(s)
	was := e.status
	e.status, e.known = s, true
	if !sameShards(was, s) {
		d.rebuild()
	}
}

// spared tells whether what other nodes told spares a read of the page.
func (e *entry) spared(now time.Time, interval time.Duration) bool {
	return e.known && e.b.MaxLinks() == 0 && now.Sub(e.heard) < quietFactor*interval
}
