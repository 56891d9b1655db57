// Package backend is a client for one backend server (searcher). It holds this
// node's links to the searcher, the searcher's last reported status, and
// the calls in flight.
//
// Every call returns an outcome. It is not_run only if no byte of the request
// was sent or the searcher refused the request, and failed if the searcher
// rejected a write; any other failure is unknown.
// An answer must repeat the query ID, attempt ID, version and range of its call;
// any other answer is dropped as bad_answer and its link is closed.
//
// # Usage
//
//	b := backend.New(backend.Config{VM: v, MaxLinks: 8, Events: sink})
//	r := b.Search(ctx, searcher.Query{...})
//	if r.Outcome.OK() { use(r.Answer) }
//	b.Close()
package backend
