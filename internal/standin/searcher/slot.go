package searcher

import (
	"context"
	"math"
	"time"

	"egrethaven/internal/query/outcome"
)

// coldFactor multiplies the service time of a searcher that just started.
const coldFactor = 4

// arrive counts a request and tells why it is refused at once, if it is. One
// that is not refused has a place, in a slot or in the queue, until leave.
func (s *Searcher) arrive() outcome.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.stats.Requests++
	s.stats.LastRequest = now
	if s.draining && now.Sub(s.drainSince) > DrainLimit {
		s.stats.LateRequests++
	}
	switch {
	case s.draining && !now.Before(s.refuseFrom):
		return outcome.Draining
	case s.shed || s.placed >= s.c.MaxQueued+cap(s.slots):
		return outcome.Shed
	}
	s.placed++
	return outcome.None
}

// leave gives back the place that arrive gave.
func (s *Searcher) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed--
}

// acquire waits for a slot. It returns the reason why there was none.
func (s *Searcher) acquire(ctx context.Context) outcome.Reason {
	s.addQueued(1)
	defer s.addQueued(-1)
	select {
	case s.slots <- struct{}{}:
	case <-s.done:
		return outcome.ShuttingDown
	case <-ctx.Done():
		return s.expired(ctx)
	}
	if ctx.Err() != nil {
		<-s.slots
		return s.expired(ctx)
	}
	s.mu.Lock()
	s.inFlight++
	s.stats.Ran++
	s.mu.Unlock()
	return outcome.None
}

// expired tells why ctx ended before the request had a slot.
func (s *Searcher) expired(ctx context.Context) outcome.Reason {
	s.countCanceled()
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.DeadlinePast
	}
	return outcome.Canceled
}

// release ends a request that had a slot.
func (s *Searcher) release() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	<-s.slots
	s.leave()
}

func (s *Searcher) addQueued(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued += n
}

func (s *Searcher) countCanceled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Canceled++
}

// work takes the service time of one request, and tells whether it came to
// its end.
func (s *Searcher) work(ctx context.Context) bool {
	t := time.NewTimer(s.serviceTime())
	defer t.Stop()
	select {
	case <-t.C:
		return s.thawed()
	case <-s.done:
		return false
	case <-ctx.Done():
		s.countCanceled()
		return false
	}
}

// thawed waits for the end of a freeze; it is false when s is closed.
func (s *Searcher) thawed() bool {
	s.mu.Lock()
	c := s.thaw
	s.mu.Unlock()
	if c == nil {
		return true
	}
	select {
	case <-c:
		return true
	case <-s.done:
		return false
	}
}

// serviceTime draws the service time of one request.
func (s *Searcher) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.c.ServiceTime.Median.Seconds() * math.Exp(s.c.ServiceTime.Sigma*s.random.NormFloat64()) * s.slow
	if s.random.Float64() < s.c.ServiceTime.StragglerFraction {
		d *= s.c.ServiceTime.StragglerFactor
	}
	if left := 1 - time.Since(s.started).Seconds()/max(s.c.WarmUpTime.Seconds(), 1e-9); left > 0 {
		d *= 1 + left*(coldFactor-1)
	}
	return time.Duration(d * float64(time.Second))
}
