package plain

import (
	"bytes"
	"context"
	"io"
	"net/http"

	back "egrethaven/internal/back/searcher"

	"github.com/juju/errors"
)

// idlePerHost is how many idle connections to a searcher are kept.
const idlePerHost = 4

// HTTP makes calls by net/http alone.
type HTTP struct {
	calls     []call
	transport *http.Transport
}

// NewHTTP returns a client with keep-alive connections.
func NewHTTP(c Config) (*HTTP, error) {
	cs, err := prepare(c)
	return &HTTP{calls: cs, transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}, err
}

// Fan calls every shard once and waits for all answers.
func (h *HTTP) Fan(ctx context.Context) error { return fan(ctx, h.calls, h.do) }

func (h *HTTP) do(ctx context.Context, addr string, body []byte) error {
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
		return errors.Errorf("status %d of %s", a.StatusCode, addr)
	}
	return nil
}

// Close closes the connections.
func (h *HTTP) Close() { h.transport.CloseIdleConnections() }
