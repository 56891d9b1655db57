package pool

import "time"

const (
	// silenceFactor is the silence timeout as a multiple of the searcher's
	// typical service time.
	silenceFactor = 40
	// minSilenceTimeout is the shortest silence timeout.
	minSilenceTimeout = 50 * time.Millisecond
	// maxSilenceTimeout is the longest silence timeout.
	maxSilenceTimeout = 2 * time.Second
)

// CallState classifies a call in progress.
type CallState int

// The states of a call.
const (
	// OnTime is the state of a call within its silence timeout.
	OnTime CallState = iota
	// Late is the state of a call past its silence timeout while no other
	// connection shows whether the searcher works.
	Late
	// Silent is the state of a call past its silence timeout if a call that
	// started later has completed on another connection.
	Silent
)

// CallTiming holds the times by which a call in progress is classified.
type CallTiming struct {
	// Elapsed is the time since the start of the call.
	Elapsed time.Duration
	// TypicalService is the searcher's typical service time, or 0 if unknown.
	TypicalService time.Duration
	// Overtaken is true if a call that started later has completed on another
	// connection to the same searcher.
	Overtaken bool
}

// Classify returns the state of a call.
func Classify(e CallTiming) CallState {
	switch {
	case e.Elapsed < SilenceTimeout(e.TypicalService):
		return OnTime
	case e.Overtaken:
		return Silent
	}
	return Late
}

// SilenceTimeout returns how long a call may take before it counts as late,
// given the searcher's typical service time. If that is 0 (unknown), it returns
// the longest timeout.
func SilenceTimeout(typicalService time.Duration) time.Duration {
	if typicalService == 0 {
		return maxSilenceTimeout
	}
	return min(max(silenceFactor*typicalService, minSilenceTimeout), maxSilenceTimeout)
}
