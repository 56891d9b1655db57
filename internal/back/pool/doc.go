// Package pool is a connection pool for one searcher, limited to the number of
// links that this node may open.
//
// Links are opened in the background, ahead of need, so that queries do not
// wait for dialing. Get returns whichever comes first: a link released by
// another call, or a new one. After a refused connection the pool dials again
// with exponential backoff; Get fails only if no link is open.
//
// The pool also detects silent connections, which stay open but make no
// progress. A late call on a connection is aborted if a call that started later
// has completed on another connection, or if a probe of the searcher shows that
// the connection or the searcher is at fault.
//
// # Usage
//
//	p := pool.New(pool.Config{Link: link.Config{Addr: a}, Max: 10, Warm: 2})
//	l, err := p.Get(ctx)
//	r := l.Call(ctx, http.MethodPost, "/search", body)
//	p.Put(l)
//	p.Close()
package pool
