// Package adminclient is the client of the operator API.
//
// # Usage
//
//	c := adminclient.New(adminclient.Config{Addr: "127.0.0.1:7801", Token: t})
//	var r health.Report
//	err := c.Get(ctx, "/health", nil, &r)
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/front/operator"
)

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 64 << 20

// ErrUnreachable tells that no answer came.
const ErrUnreachable = errors.ConstError("unreachable")

// Config sets up a Client.
type Config struct {
	// Addr is the IP and port of an entry VM's operator API.
	Addr string
	// Token is the bearer token; empty sends none.
	Token string
	// Timeout of one request.
	Timeout time.Duration
}

// Client asks one entry VM.
type Client struct {
	c    Config
	http *http.Client
}

// Problem is an answer that is not a success.
type Problem struct {
	operator.ChangeProblem
}

// Error returns what is wrong in words.
func (p *Problem) Error() string {
	s := p.Title
	if p.Detail.Detail != "" {
		s = p.Detail.Detail
	}
	if p.Reason != "" {
		s += " [" + string(p.Outcome) + ", " + string(p.Reason) + "]"
	}
	return s
}

// New returns a client.
func New(c Config) *Client {
	return &Client{c: c, http: &http.Client{Timeout: c.Timeout}}
}

// Get reads path into out.
func (c *Client) Get(ctx context.Context, path string, q url.Values, out any) error {
	return c.do(ctx, http.MethodGet, path, q, nil, nil, out)
}

// Post sends in to path and reads the answer into out.
func (c *Client) Post(ctx context.Context, path string, q url.Values, h http.Header, in, out any) error {
	return c.do(ctx, http.MethodPost, path, q, h, in, out)
}

// do makes one request. The error is a *Problem when an answer came that is
// not a success, and has ErrUnreachable when none came.
func (c *Client) do(ctx context.Context, method, path string, q url.Values, h http.Header, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Trace(err)
	}
	u := url.URL{Scheme: "http", Host: c.c.Addr, Path: operator.Prefix + path, RawQuery: q.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(b))
	if err != nil {
		return errors.Annotatef(err, "address %s", c.c.Addr)
	}
	for k, vs := range h {
		r.Header[k] = vs
	}
	r.Header.Set("Content-Type", "application/json")
	if c.c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.c.Token)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "asking %s", c.c.Addr), ErrUnreachable)
	}
	defer w.Body.Close()
	body, err := io.ReadAll(io.LimitReader(w.Body, maxAnswer))
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "reading the answer of %s", c.c.Addr), ErrUnreachable)
	}
	return decode(w, body, out)
}

// decode reads an answer.
func decode(w *http.Response, body []byte, out any) error {
	if w.StatusCode < http.StatusBadRequest {
		return errors.Annotate(json.Unmarshal(body, out), "reading the answer")
	}
	p := &Problem{}
	if err := json.Unmarshal(body, p); err != nil || p.Status == 0 {
		p.Status, p.Title = w.StatusCode, http.StatusText(w.StatusCode)
		p.Detail.Detail = strings.TrimSpace(string(body[:min(len(body), 200)]))
	}
	return p
}
