package searcher

import "time"

// Stats holds the counters of a searcher.
type Stats struct {
	// Requests is the number of requests received, including refused ones.
	Requests int
	// Ran is the number of requests that got a slot.
	Ran int
	// Refused is the number of requests answered with a refusal.
	Refused int
	// Canceled is the number of requests canceled or past their deadline
	// while queued or running.
	Canceled int
	// Writes is the number of writes that ran.
	Writes int
	// Crashes is the number of crashes, from PoisonText or Crash.
	Crashes int
	// Connections and ConnectionsRefused count accepted and refused
	// connections; MaxConnections is the maximum number open at once.
	Connections        int
	ConnectionsRefused int
	MaxConnections     int
	// LastRequest is when the last request arrived.
	LastRequest time.Time
	// DrainSince is the start of the current drain; zero if not draining.
	DrainSince time.Time
	// LateRequests is the number of requests that arrived more than DrainLimit
	// after the start of the drain.
	LateRequests int
	// LateSilentReads is the number of reads that received data on a
	// connection that had been silent for more than DrainLimit.
	LateSilentReads int
}

// DrainLimit is the time after the start of a drain or a silence within which
// clients should stop sending requests.
const DrainLimit = 3 * time.Second

// Stats returns the current counters.
func (s *Searcher) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	if s.draining {
		st.DrainSince = s.drainSince
	}
	return st
}
