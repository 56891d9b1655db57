// Package backend is one backend server, a searcher, as one node sees it:
// its links, what it last said of itself, and the calls that this node has
// in flight on it.
//
// Every call ends in an outcome. not_run is only said when no byte of the
// request left or when the searcher's own refusal says so; after the first
// byte everything else is unknown. An answer must echo the query id, attempt
// id, version and range of its call; any other answer is dropped as
// bad_answer and its link is closed.
//
// # Usage
//
//	b := backend.New(backend.Config{VM: v, MaxLinks: 8, Events: sink})
//	r := b.Search(ctx, searcher.Query{...})
//	if r.Outcome.OK() { use(r.Answer) }
//	b.Close()
package backend
