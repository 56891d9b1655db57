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
	// silenceShare is the share of the time up to a call's deadline after which
	// it is late, so that it can be repeated in time; but not before it has taken
	// minSilenceFactor times as long as usual.
	silenceShare     = 0.25
	minSilenceFactor = 10
	// maxCheckInterval is the longest interval between two checks for silent
	// connections while calls are in progress.
	maxCheckInterval = 100 * time.Millisecond
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
	// Allowed is the time from the start of the call to its deadline, or 0 if it
	// has none.
	Allowed time.Duration
	// TypicalService is the searcher's typical service time, or 0 if unknown.
	TypicalService time.Duration
	// Overtaken is true if a call that started later has completed on another
	// connection to the same searcher.
	Overtaken bool
}

// Classify returns the state of a call.
func Classify(e CallTiming) CallState {
	switch {
	case e.Elapsed < e.SilenceTimeout():
		return OnTime
	case e.Overtaken:
		return Silent
	}
	return Late
}

// SilenceTimeout returns how long the call may take before it counts as late.
func (e CallTiming) SilenceTimeout() time.Duration {
	d := SilenceTimeout(e.TypicalService)
	if e.Allowed == 0 || e.TypicalService == 0 {
		return d
	}
	inTime := time.Duration(silenceShare * float64(e.Allowed))
	return min(d, max(inTime, minSilenceFactor*e.TypicalService, minSilenceTimeout))
}

// ProbeTimeout returns how long a probe may take that is started as the call is late.
// Queries wait for it as well.
func (e CallTiming) ProbeTimeout() time.Duration {
	return max(e.SilenceTimeout(), minProbeTimeout)
}

// SilenceTimeout returns how long a call without a deadline may take before it
// counts as late, given the searcher's typical service time. If that is 0
// (unknown), it returns the longest timeout.
func SilenceTimeout(typicalService time.Duration) time.Duration {
	if typicalService == 0 {
		return maxSilenceTimeout
	}
	return min(max(silenceFactor*typicalService, minSilenceTimeout), maxSilenceTimeout)
}

// checkInterval returns the interval between two checks for silent connections,
// given the searcher's typical service time.
func checkInterval(typicalService time.Duration) time.Duration {
	return min(SilenceTimeout(typicalService)/2, maxCheckInterval)
}
