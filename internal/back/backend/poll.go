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

// Poll reads the searcher's status page over one of its links, and takes it.
func (b *Backend) Poll(ctx context.Context) (searcher.Status, error) {
	var s searcher.Status
	l, err := b.pool.Get(ctx)
	if err != nil {
		return s, errors.Annotatef(err, "read status of %s", b.ID())
	}
	res := l.Call(ctx, http.MethodGet, searcher.StatusPath, nil)
	if turnedAway(l, res) {
		b.turnedAway(l)
		return s, errors.Annotatef(pool.ErrRefused, "read status of %s", b.ID())
	}
	err = readStatus(res, &s)
	b.pool.PutUntimed(l)
	if b.foreign(res, s) {
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

// alive asks for the status page as a sign of life. The page has to be the
// searcher's own: addresses are used again. Trouble with the page is no sign
// of death.
func (b *Backend) alive(ctx context.Context, l *link.Link) bool {
	res := l.Call(ctx, http.MethodGet, searcher.StatusPath, nil)
	var s searcher.Status
	_ = readStatus(res, &s)
	return res.Err == nil && !b.foreign(res, s)
}

// foreign tells whether an answer to a request for the status page shows that
// another server has the address.
func (b *Backend) foreign(res link.Result, s searcher.Status) bool {
	if res.Err != nil {
		return false
	}
	return res.Status == http.StatusNotFound || res.Status == http.StatusOK && s.ID != b.ID()
}

// readStatus reads a status page.
func readStatus(res link.Result, s *searcher.Status) error {
	if res.Err != nil {
		return errors.Trace(res.Err)
	}
	if res.Status != http.StatusOK {
		return errors.Errorf("status %d", res.Status)
	}
	return errors.Trace(json.Unmarshal(res.Body, s))
}
