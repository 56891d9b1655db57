// Package pool holds the links of one searcher, within the number that this
// node may open.
//
// Links are opened in the background, ahead of need, so that the cost of
// opening stays off the query path. A caller takes whichever comes first: a
// link that another call gives back, or a new one. A refused connection makes
// the pool wait before it tries again; it fails callers only when no link is
// left that could serve them.
//
// # Usage
//
//	p := pool.New(pool.Config{Link: link.Config{Addr: a}, Max: 10, Warm: 2})
//	l, err := p.Get(ctx)
//	r := l.Call(ctx, http.MethodPost, "/search", body)
//	p.Put(l)
//	p.Close()
package pool
