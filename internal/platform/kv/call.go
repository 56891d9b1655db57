package kv

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// maxBody bounds what is read of an answer, in bytes.
const maxBody = 4 * MaxValue

// request is one call as it goes out.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// answer is what came of a call.
type answer struct {
	status   Status
	revision uint64
	body     []byte
	// throttled tells that the service refused the call for its rate.
	throttled bool
}

// once sends a request a single time. Its status is Unknown whenever a byte
// may have left and no trustworthy answer came.
func (c *Client) once(ctx context.Context, r request, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The transport may give a request a connection from another goroutine.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	u := url.URL{Scheme: "http", Host: c.config.Addr, Path: r.path, RawQuery: r.query.Encode()}
	q, err := http.NewRequestWithContext(ctx, r.method, u.String(), bytes.NewReader(r.body))
	if err != nil {
		return answer{status: Down}
	}
	p, err := c.transport.RoundTrip(q)
	if err != nil {
		if sent.Load() {
			return answer{status: Unknown}
		}
		return answer{status: Down}
	}
	defer func() { _ = p.Body.Close() }()
	return decode(p)
}

// decode reads an answer. A status that the dialect does not name is Unknown,
// as the effect of the call is.
func decode(p *http.Response) answer {
	b, err := io.ReadAll(io.LimitReader(p.Body, maxBody))
	a := answer{body: b}
	a.revision, _ = strconv.ParseUint(p.Header.Get(RevisionHeader), 10, 64)
	switch p.StatusCode {
	case http.StatusOK:
		a.status = Done
	case http.StatusNoContent, http.StatusNotFound:
		a.status = Absent
	case http.StatusConflict:
		a.status = Conflict
	case http.StatusRequestEntityTooLarge:
		a.status = TooLarge
	case http.StatusTooManyRequests:
		a.status, a.throttled = Down, true
	case http.StatusServiceUnavailable:
		a.status = Down
	default:
		a.status = Unknown
	}
	if err != nil {
		return answer{status: Unknown}
	}
	return a
}
