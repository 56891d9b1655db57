package searcher

import (
	"slices"
	"time"

	back "egrethaven/internal/back/searcher"
)

// cached holds a value and the time at which it was computed.
type cached[T any] struct {
	value      T
	computedAt time.Time
}

// get returns the value, recomputed by f if it is at least lag old.
func (c *cached[T]) get(lag time.Duration, f func() T) T {
	now := time.Now()
	if c.computedAt.IsZero() || now.Sub(c.computedAt) >= lag {
		c.value, c.computedAt = f(), now
	}
	return c.value
}

// Load returns the reported load: the counts are up to LoadLag old, the
// draining flag and the map revision are current.
func (s *Searcher) Load() back.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load.get(s.c.LoadLag, s.currentLoad)
	l.Draining, l.MapRevision = s.draining, s.mapRevision
	return l
}

func (s *Searcher) currentLoad() back.Load {
	return back.Load{
		InFlight: int(float64(s.inFlight) * s.loadFactor),
		Queued:   int(float64(s.queued) * s.loadFactor),
	}
}

// Status returns the reported status, which is up to StatusLag old.
func (s *Searcher) Status() back.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.get(s.c.StatusLag, func() back.Status {
		l := s.currentLoad()
		l.Draining, l.MapRevision = s.draining, s.mapRevision
		return back.Status{
			ID: s.c.ID, Service: s.c.Service, Slots: s.c.Slots, MaxConnections: s.c.MaxConnections,
			Writes: s.c.Writes, Holdings: slices.Clone(s.holdings), Load: l,
		}
	})
}
