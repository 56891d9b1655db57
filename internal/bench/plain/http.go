package plain

import (
	"bytes"
	"context"
	"io"
	"net/http"

	back "egrethaven/internal/back/searcher"

	"github.com/juju/errors"
)

// maxIdlePerHost is the maximum number of idle connections per searcher.
const maxIdlePerHost = 4

// HTTP calls searchers through net/http.
type HTTP struct {
	calls     []call
	transport *http.Transport
}

// NewHTTP returns a client with keep-alive connections.
func NewHTTP(c Config) (*HTTP, error) {
	cs, err := prepare(c)
	return &HTTP{calls: cs, transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}}, err
}

// Fan calls every shard once, waits for all answers and returns the first error.
func (h *HTTP) Fan(ctx context.Context) error { return fanOut(ctx, h.calls, h.send) }

// send makes one call and returns an error if the status isn't 200.
func (h *HTTP) send(ctx context.Context, addr string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+back.SearchPath, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := h.transport.RoundTrip(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return errors.Trace(err)
	}
	if a.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected HTTP status %d from searcher %s", a.StatusCode, addr)
	}
	return nil
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.transport.CloseIdleConnections() }
