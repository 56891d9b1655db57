// Package link is one connection to a searcher.
//
// A link carries one request at a time, so it is a unit that can be counted
// against the searcher's limit. Answers are read with the functions of
// net/http, but without its Transport: a link knows whether a byte of a request
// left, and it needs no goroutine of its own.
//
// A link whose answer was not read to its end is broken: it is closed and
// never used again. Canceling the context of a call closes the link, which is
// how the searcher learns that the answer is no longer wanted.
//
// # Usage
//
//	l, err := link.Dial(ctx, link.Config{Addr: "127.0.0.1:7000"})
//	r := l.Call(ctx, http.MethodPost, "/search", body)
//	if r.Err == nil && r.Status == http.StatusOK { use(r.Body) }
//	if !l.Reusable() { l.Close() }
package link
