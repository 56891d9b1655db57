package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"egrethaven/internal/back/link"
	"egrethaven/internal/back/pool"
	"egrethaven/internal/back/searcher"
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
	err = res.Err
	if err == nil && res.Status != http.StatusOK {
		err = errors.Errorf("status %d", res.Status)
	}
	if err == nil {
		err = json.Unmarshal(res.Body, &s)
	}
	b.pool.Put(l)
	if err != nil {
		return s, errors.Annotatef(err, "read status of %s", b.ID())
	}
	b.SetStatus(s)
	return s, nil
}

// alive asks for the status page; any answer is a sign of life.
func alive(ctx context.Context, l *link.Link) bool {
	return l.Call(ctx, http.MethodGet, searcher.StatusPath, nil).Err == nil
}
