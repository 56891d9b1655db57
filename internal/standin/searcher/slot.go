package searcher

import (
	"context"
	"math"
	"time"

	"egrethaven/internal/query/outcome"
)

// coldFactor is the service time multiplier at the start of the warm-up.
const coldFactor = 4

// admitRequest counts a request and returns the reason if it is refused at
// once, or outcome.None. An admitted request counts against Slots and
// MaxQueued until releaseAdmission.
func (s *Searcher) admitRequest() outcome.Reason {
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
	case s.shedding || s.admitted >= s.c.MaxQueued+cap(s.slots):
		return outcome.Shed
	}
	s.admitted++
	return outcome.None
}

// releaseAdmission ends an admission by admitRequest.
func (s *Searcher) releaseAdmission() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

// acquireSlot waits for a slot and returns outcome.None, or the reason if the
// request ended first.
func (s *Searcher) acquireSlot(ctx context.Context) outcome.Reason {
	s.addQueued(1)
	defer s.addQueued(-1)
	select {
	case s.slots <- struct{}{}:
	case <-s.done:
		return outcome.ShuttingDown
	case <-ctx.Done():
		return s.queueEndReason(ctx)
	}
	if ctx.Err() != nil {
		<-s.slots
		return s.queueEndReason(ctx)
	}
	s.mu.Lock()
	s.inFlight++
	s.stats.Ran++
	s.mu.Unlock()
	return outcome.None
}

// queueEndReason counts a canceled request and returns why ctx ended before
// it had a slot.
func (s *Searcher) queueEndReason(ctx context.Context) outcome.Reason {
	s.countCanceled()
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.DeadlinePast
	}
	return outcome.Canceled
}

// releaseSlot frees the slot and the admission of a request.
func (s *Searcher) releaseSlot() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	<-s.slots
	s.releaseAdmission()
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

// execute waits for the service time. It returns false if the request was
// canceled or the searcher closed.
func (s *Searcher) execute(ctx context.Context) bool {
	t := time.NewTimer(s.serviceTime())
	defer t.Stop()
	select {
	case <-t.C:
		return s.waitUntilThawed()
	case <-s.done:
		return false
	case <-ctx.Done():
		s.countCanceled()
		return false
	}
}

// waitUntilThawed waits for the end of a freeze. It returns false if the
// searcher is closed.
func (s *Searcher) waitUntilThawed() bool {
	s.mu.Lock()
	c := s.thawed
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

// serviceTime returns a random service time for one request.
func (s *Searcher) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.c.ServiceTime.Median.Seconds() * math.Exp(s.c.ServiceTime.Sigma*s.random.NormFloat64()) * s.slowdown
	if s.random.Float64() < s.c.ServiceTime.StragglerFraction {
		d *= s.c.ServiceTime.StragglerFactor
	}
	if coldRemaining := 1 - time.Since(s.warmUpStart).Seconds()/max(s.c.WarmUpTime.Seconds(), 1e-9); coldRemaining > 0 {
		d *= 1 + coldRemaining*(coldFactor-1)
	}
	return time.Duration(d * float64(time.Second))
}
