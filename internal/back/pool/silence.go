package pool

import "time"

const (
	// silentFactor is how many usual service times a call may go without
	// progress before its connection is doubted.
	silentFactor = 40
	// silentLeast is the shortest time after which a connection is doubted.
	silentLeast = 50 * time.Millisecond
	// silentMost is the longest time before a connection is doubted.
	silentMost = 2 * time.Second
)

// CallState is what the lack of progress on a connection means.
type CallState int

// The verdicts.
const (
	// OnTime: the call is not late enough to be doubted.
	OnTime CallState = iota
	// Late: the call is late, and no other connection tells whether the
	// searcher works.
	Late
	// Silent: the call is late, and a call that began after it has ended on
	// another connection.
	Silent
)

// CallTiming is what is known of a call in progress and its neighbors.
type CallTiming struct {
	// Elapsed is how long the call has made no progress.
	Elapsed time.Duration
	// TypicalService is the searcher's usual service time; 0 if unknown.
	TypicalService time.Duration
	// Overtaken tells that a call which began after this one has ended on
	// another connection of the same searcher.
	Overtaken bool
}

// Classify tells what the lack of progress on a connection means.
func Classify(e CallTiming) CallState {
	switch {
	case e.Elapsed < SilenceTimeout(e.TypicalService):
		return OnTime
	case e.Overtaken:
		return Silent
	}
	return Late
}

// SilenceTimeout is how long a call may go without progress. Of a searcher whose
// service time is not known nothing can be said before the longest time.
func SilenceTimeout(usual time.Duration) time.Duration {
	if usual == 0 {
		return silentMost
	}
	return min(max(silentFactor*usual, silentLeast), silentMost)
}
