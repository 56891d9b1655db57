// Package pool is a connection pool for one searcher, limited to the number of
// links that this node may open.
//
// Links are opened in the background, ahead of need, so that queries do not
// wait for dialing. Get returns whichever comes first: a link released by
// another call, or a new one. After a refused connection the pool dials again
// with exponential backoff; Get fails only if no link is open.
// It also aborts calls on silent connections, which stay open without progress.
//
// # Usage
//
//	p := pool.New(pool.Config{Link: link.Config{Addr: a}, Max: 10, Warm: 2})
//	l, err := p.Get(ctx)
//	r := l.Call(ctx, http.MethodPost, "/search", body)
//	p.Put(l)
//	p.Close()
package pool
