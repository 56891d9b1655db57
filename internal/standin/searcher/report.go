package searcher

import (
	"slices"
	"time"

	back "egrethaven/internal/back/searcher"
)

// cached is a value that is renewed when it is older than a lag.
type cached[T any] struct {
	value T
	at    time.Time
}

// get returns the value, renewed by f if it is older than lag.
func (c *cached[T]) get(lag time.Duration, f func() T) T {
	now := time.Now()
	if c.at.IsZero() || now.Sub(c.at) >= lag {
		c.value, c.at = f(), now
	}
	return c.value
}

// Load returns what the searcher reports of its load. Draining and the map
// revision don't lag.
func (s *Searcher) Load() back.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load.get(s.c.LoadLag, s.currentLoad)
	l.Draining, l.MapRevision = s.draining, s.revision
	return l
}

func (s *Searcher) currentLoad() back.Load {
	return back.Load{
		InFlight: int(float64(s.inFlight) * s.mislead),
		Queued:   int(float64(s.queued) * s.mislead),
	}
}

// Status returns the searcher's status, which lags.
func (s *Searcher) Status() back.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.get(s.c.StatusLag, func() back.Status {
		l := s.currentLoad()
		l.Draining, l.MapRevision = s.draining, s.revision
		return back.Status{
			ID: s.c.ID, Service: s.c.Service, Slots: s.c.Slots, MaxConnections: s.c.MaxConnections,
			Writes: s.c.Writes, Holdings: slices.Clone(s.holdings), Load: l,
		}
	})
}
