package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

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
