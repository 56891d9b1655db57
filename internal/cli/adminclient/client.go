// Package adminclient is a client for the operator API.
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

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 64 << 20

// ErrUnreachable is the type of an error when no complete response was
// received.
const ErrUnreachable = errors.ConstError("unreachable")

// Config configures a Client.
type Config struct {
	// Addr is the IP and port of an entry VM's operator API.
	Addr string
	// Token is the bearer token. If empty, no Authorization header is sent.
	Token string
	// Timeout is the time limit of one request; 0 means none.
	Timeout time.Duration
}

// Client calls the operator API of one entry VM.
type Client struct {
	c    Config
	http *http.Client
}

// ResponseError is an error response: any response with status 400 or above.
type ResponseError struct {
	operator.ChangeProblem
}

// Error returns the detail or title, with the outcome and reason if given.
func (e *ResponseError) Error() string {
	s := e.Title
	if e.Detail.Detail != "" {
		s = e.Detail.Detail
	}
	if e.Reason != "" {
		s += " [" + string(e.Outcome) + ", " + string(e.Reason) + "]"
	}
	return s
}

// New returns a Client with configuration c.
func New(c Config) *Client {
	return &Client{c: c, http: &http.Client{Timeout: c.Timeout}}
}

// Get sends a GET request and decodes the response into out. The error is a
// *ResponseError for an error response, and has the type ErrUnreachable if no
// complete response was received.
func (c *Client) Get(ctx context.Context, path string, q url.Values, out any) error {
	return c.do(ctx, http.MethodGet, path, q, nil, nil, out)
}

// Post sends the value in as JSON. The response and errors are as for Get.
func (c *Client) Post(ctx context.Context, path string, q url.Values, h http.Header, in, out any) error {
	return c.do(ctx, http.MethodPost, path, q, h, in, out)
}

// do sends one request and decodes its response. Errors are as for Get.
func (c *Client) do(ctx context.Context, method, path string, q url.Values, h http.Header, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Trace(err)
	}
	u := url.URL{Scheme: "http", Host: c.c.Addr, Path: operator.Prefix + path, RawQuery: q.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(b))
	if err != nil {
		return errors.Annotatef(err, "creating the request to %s", c.c.Addr)
	}
	for k, vs := range h {
		r.Header[k] = vs
	}
	r.Header.Set("Content-Type", "application/json")
	if c.c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.c.Token)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "calling %s", c.c.Addr), ErrUnreachable)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "reading the response of %s", c.c.Addr), ErrUnreachable)
	}
	return decode(resp, body, out)
}

// decode decodes a success into out and returns an error response as a
// *ResponseError, with the start of the body if that is no problem document.
func decode(resp *http.Response, body []byte, out any) error {
	if resp.StatusCode < http.StatusBadRequest {
		return errors.Annotate(json.Unmarshal(body, out), "decoding the response")
	}
	e := &ResponseError{}
	if err := json.Unmarshal(body, e); err != nil || e.Status == 0 {
		e.Status, e.Title = resp.StatusCode, http.StatusText(resp.StatusCode)
		e.Detail.Detail = strings.TrimSpace(string(body[:min(len(body), 200)]))
	}
	return e
}
