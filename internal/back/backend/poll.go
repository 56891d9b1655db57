package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"egrethaven/internal/back/link"
	"egrethaven/internal/back/pool"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/observe/event"
)

// Poll reads the searcher's status page, stores it and returns it. It returns an
// error and invalidates all links if another server answers at the address.
func (b *Backend) Poll(ctx context.Context) (searcher.Status, error) {
	var s searcher.Status
	l, err := b.pool.Get(ctx)
	if err != nil {
		return s, errors.Annotatef(err, "read status of %s", b.ID())
	}
	res := l.Call(ctx, http.MethodGet, searcher.StatusPath, nil)
	if isLinkRefusal(l, res) {
		b.putRefused(l)
		return s, errors.Annotatef(pool.ErrRefused, "read status of %s", b.ID())
	}
	err = readStatus(res, &s)
	b.pool.PutUntimed(l)
	if b.isForeign(res, s) {
		err = errors.Errorf("another server answers at %s", b.c.VM.Addr)
		b.c.Events.Emit(event.AnswerDropped, b.ID(), err.Error())
		b.pool.Invalidate()
	}
	if err != nil {
		return s, errors.Annotatef(err, "read status of %s", b.ID())
	}
	b.SetStatus(s)
	return s, nil
}

// probe reports whether the searcher answers a status request, even with an HTTP
// error. A page without the searcher's ID, or status 404, does not count: another
// server may now have the address.
func (b *Backend) probe(ctx context.Context, l *link.Link) bool {
	res := l.Call(ctx, http.MethodGet, searcher.StatusPath, nil)
	var s searcher.Status
	_ = readStatus(res, &s)
	return res.Err == nil && !b.isForeign(res, s)
}

// isForeign returns true if the response to a status request shows that another
// server has the searcher's address.
func (b *Backend) isForeign(res link.Result, s searcher.Status) bool {
	if res.Err != nil {
		return false
	}
	return res.Status == http.StatusNotFound || res.Status == http.StatusOK && s.ID != b.ID()
}

// readStatus decodes a status page into s.
func readStatus(res link.Result, s *searcher.Status) error {
	if res.Err != nil {
		return errors.Trace(res.Err)
	}
	if res.Status != http.StatusOK {
		return errors.Errorf("unexpected HTTP status %d", res.Status)
	}
	return errors.Trace(json.Unmarshal(res.Body, s))
}
