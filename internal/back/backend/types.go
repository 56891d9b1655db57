package backend

import (
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
)

// Reply is the result of one call of Search.
type Reply struct {
	Answer  searcher.Answer
	Outcome outcome.Outcome
	// Elapsed is the time from the call to the reply, queueing included.
	Elapsed time.Duration
	// Service is the time from the first byte sent to the answer.
	Service time.Duration
}

// WriteReply is the result of one call of Write.
type WriteReply struct {
	Answer  searcher.WriteAnswer
	Outcome outcome.Outcome
	Elapsed time.Duration
}

// State is what a node knows of a searcher when it chooses a replica.
type State struct {
	// Usable is false for a searcher that is leaving, refused or without
	// links: it gets no new work.
	Usable bool
	// Reason tells why it is not usable.
	Reason outcome.Reason
	// InFlight is this node's calls on it, queued ones included.
	InFlight int
	// Limit is how many calls in flight this node allows itself.
	Limit int
	// ReportedLoad is the searcher's own load, aged toward zero.
	ReportedLoad float64
	// Latency is the recent median service time.
	Latency time.Duration
	// Weight is the share of its normal work that it should get, between 0
	// and 1: below 1 in slow start or when moved out of rotation.
	Weight float64
}
