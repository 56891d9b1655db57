package searcher

import "time"

// Stats counts what a searcher saw.
type Stats struct {
	// Requests that arrived, refused ones included.
	Requests int
	// Ran is the number of requests that began to run.
	Ran int
	// Refused is the number of requests that were refused.
	Refused int
	// Canceled is the number of requests whose caller went away in the queue
	// or while they ran.
	Canceled int
	// Writes that ran.
	Writes int
	// Crashes, by poison or by Crash.
	Crashes int
	// Connections that were accepted, that were refused, and the most that
	// were open at a time.
	Connections        int
	ConnectionsRefused int
	MaxConnections     int
	// LastRequest is when a request last arrived.
	LastRequest time.Time
	// DrainSince is when the present drain began; zero when not draining.
	DrainSince time.Time
	// LateRequests is the number of requests that arrived more than DrainLimit
	// after the drain began.
	LateRequests int
	// LateSilentReads is the number of times that something arrived on a
	// connection that had been silent for more than DrainLimit.
	LateSilentReads int
}

// DrainLimit is how long after the start of a drain, or of a silence, new work
// may arrive.
const DrainLimit = 3 * time.Second

// Stats returns the counts so far.
func (s *Searcher) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	if s.draining {
		st.DrainSince = s.drainSince
	}
	return st
}
