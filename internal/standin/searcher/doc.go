// Package searcher is a stand-in for a backend server: it speaks the dialect
// of internal/back/searcher over HTTP/1.1 and serves what a dataset.Truth
// holds.
//
// It has slots with a bounded queue, a connection limit, a cost for each new
// connection, a cold start, and a load report that lags or misleads. It can
// drain, slow down, freeze, lose its open connections, crash and return.
// Faults are set by methods, or by POST /control with a Control in JSON. A
// connection above the limit is answered 503 with a Refusal that has no
// attempt id, before anything is read from it, and closed.
//
// # Usage
//
//	s, err := searcher.New(searcher.Config{ID: "s-1", Service: "claims_desk", Truth: t, Slots: 2})
//	s.Hold(back.Holding{Version: 1, Ranges: ranges})
//	defer s.Close()
package searcher
