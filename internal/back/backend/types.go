package backend

import (
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
)

// Reply is the result of Search.
type Reply struct {
	// Answer is empty unless Outcome is ok.
	Answer  searcher.Answer
	Outcome outcome.Outcome
	// Elapsed is the duration of the call, including queueing.
	Elapsed time.Duration
	// Service is the time from the first byte sent to the end of the answer.
	Service time.Duration
}

// WriteReply is the result of Write.
type WriteReply struct {
	// Answer is set if the searcher ran the request, accepted or not.
	Answer  searcher.WriteAnswer
	Outcome outcome.Outcome
	// Elapsed is the duration of the call, including queueing.
	Elapsed time.Duration
}

// State is a node's view of a searcher, used to choose a replica.
type State struct {
	// Usable is false if the searcher must get no new calls: it is draining or
	// unreachable, or the backend is closed.
	Usable bool
	// Reason is the reason if Usable is false.
	Reason outcome.Reason
	// InFlight is the number of this node's calls, including queued ones.
	InFlight int
	// Limit is the current limit on this node's calls in flight.
	Limit int
	// ReportedLoad is the searcher's own call count, decayed by its age.
	ReportedLoad float64
	// Latency is the estimated median service time, or 0 if unknown.
	Latency time.Duration
	// Weight is the fraction of its normal traffic that the searcher should get,
	// from 0 to 1: below 1 during slow start or after an ejection.
	Weight float64
}
