// Package searcher is a stand-in for a backend server: it implements the
// protocol of internal/back/searcher over HTTP/1.1 and answers from a
// dataset.GroundTruth.
//
// It has slots with a bounded queue, a connection limit, a connect delay, a
// warm-up, and a delayed or distorted load report. It can drain, slow down,
// freeze, silence its open connections, crash and restart. Faults are set by
// methods, or by POST /control with a Control in JSON. A connection above the
// limit is answered 503 with a Refusal without an attempt id, before anything
// is read from it, and closed.
//
// # Usage
//
//	s, err := searcher.New(searcher.Config{ID: "s-1", Service: "claims_desk", Truth: t, Slots: 2})
//	s.SetHolding(back.Holding{Version: 1, Ranges: ranges})
//	defer s.Close()
package searcher
