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

// Verdict is what the lack of progress on a connection means.
type Verdict int

// The verdicts.
const (
	// Patient: the call is not late enough to be doubted.
	Patient Verdict = iota
	// Doubtful: the call is late, and no other connection tells whether the
	// searcher works.
	Doubtful
	// Silent: the call is late, and a call that began after it has ended on
	// another connection.
	Silent
)

// Evidence is what is known of a call in progress and its neighbors.
type Evidence struct {
	// Waited is how long the call has made no progress.
	Waited time.Duration
	// Usual is the searcher's usual service time; 0 if unknown.
	Usual time.Duration
	// Passed tells that a call which began after this one has ended on
	// another connection of the same searcher.
	Passed bool
}

// Judge tells what the lack of progress on a connection means.
func Judge(e Evidence) Verdict {
	switch {
	case e.Waited < Patience(e.Usual):
		return Patient
	case e.Passed:
		return Silent
	}
	return Doubtful
}

// Patience is how long a call may go without progress. Of a searcher whose
// service time is not known nothing can be said before the longest time.
func Patience(usual time.Duration) time.Duration {
	if usual == 0 {
		return silentMost
	}
	return min(max(silentFactor*usual, silentLeast), silentMost)
}
