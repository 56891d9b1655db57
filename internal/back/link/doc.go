// Package link implements an HTTP/1.1 client connection to a searcher.
//
// A link carries one request at a time, so open links can be counted against
// the searcher's connection limit. Responses are parsed with net/http, but
// without its Transport: a link knows whether any byte of a request was sent,
// and it needs no goroutine of its own.
//
// A link whose response was not read completely is broken: it must be closed
// and not reused. Canceling the context of a call closes the link, which tells
// the searcher to cancel the request.
//
// # Usage
//
//	l, err := link.Dial(ctx, link.Config{Addr: "127.0.0.1:7000"})
//	r := l.Call(ctx, http.MethodPost, "/search", body)
//	if r.Err == nil && r.Status == http.StatusOK { use(r.Body) }
//	if !l.Reusable() { l.Close() }
package link
