package backend

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/back/limit"
	"egrethaven/internal/back/queue"
	"egrethaven/internal/query/outcome"
)

const (
	// queuePerLink is the queue capacity per link.
	queuePerLink = 8
	// defaultTimeout gives calls without a deadline a place in the queue.
	defaultTimeout = time.Hour
	// meanServiceWeight is the EWMA weight of a new service time.
	meanServiceWeight = 0.1
)

// callLimiter limits the calls in flight to the adaptive limit. Further calls
// wait in a queue ordered by deadline; calls that cannot end in time are shed.
type callLimiter struct {
	mu       sync.Mutex
	fixed    bool
	limit    limit.Limit
	queue    *queue.Queue[*waiter]
	inFlight int
	// meanService is the EWMA of the service time.
	meanService time.Duration
}

// waiter is a queued call. It receives None when the call is admitted, or the
// reason why it is not.
type waiter struct {
	c chan outcome.Reason
}

// newCallLimiter returns a limiter for the given maximum number of links. If
// fixed is true, it admits every call at once.
func newCallLimiter(links int, fixed bool) *callLimiter {
	return &callLimiter{
		fixed: fixed,
		limit: limit.New(limit.Config{Max: links, Fixed: fixed}),
		queue: queue.New[*waiter](queue.Config{Max: queuePerLink * links}),
	}
}

// acquire waits until the call is admitted and returns None, or returns the
// reason why it is not.
func (l *callLimiter) acquire(ctx context.Context) outcome.Reason {
	l.mu.Lock()
	if l.fixed || l.inFlight < l.limit.Allowed() && l.queue.Len() == 0 {
		l.inFlight++
		l.mu.Unlock()
		return outcome.None
	}
	w := &waiter{c: make(chan outcome.Reason, 1)}
	reason := l.enqueue(ctx, w)
	l.mu.Unlock()
	if reason != outcome.None {
		return reason
	}
	select {
	case reason = <-w.c:
		return reason
	case <-ctx.Done():
		return l.cancel(w, linkErrorReason(ctx.Err()))
	}
}

// enqueue queues a call and returns None, or returns Shed if there is no room or
// the call cannot end in time. l.mu must be held.
func (l *callLimiter) enqueue(ctx context.Context, w *waiter) outcome.Reason {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultTimeout)
	}
	perCall := l.meanService / time.Duration(l.limit.Allowed())
	evicted, ok := l.queue.Push(now, w, deadline, perCall, l.meanService)
	if !ok {
		return outcome.Shed
	}
	if evicted != nil {
		evicted.c <- outcome.Shed
	}
	return outcome.None
}

// cancel removes a call from the queue and returns reason. If the call was
// admitted meanwhile, it releases the slot; if it was shed, it returns Shed.
func (l *callLimiter) cancel(w *waiter, reason outcome.Reason) outcome.Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Remove(w) {
		return reason
	}
	if shed := <-w.c; shed != outcome.None {
		return shed
	}
	l.inFlight--
	l.admitQueued(time.Now())
	return reason
}

// release releases the slot of a call and updates the limit with the call's
// result. It returns true if the limit was lowered.
func (l *callLimiter) release(s limit.Sample) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	s.InFlight = l.inFlight
	lowered := l.limit.Update(now, s)
	if s.Service > 0 {
		l.meanService += time.Duration(meanServiceWeight * float64(s.Service-l.meanService))
	}
	l.inFlight--
	l.admitQueued(now)
	return lowered
}

// admitQueued admits queued calls up to the limit. l.mu must be held.
func (l *callLimiter) admitQueued(now time.Time) {
	for l.inFlight < l.limit.Allowed() && l.queue.Len() > 0 {
		w, late, ok := l.queue.Pop(now, l.meanService)
		for _, x := range late {
			x.c <- outcome.Shed
		}
		if ok {
			l.inFlight++
			w.c <- outcome.None
		}
	}
}

// setLinks changes the maximum number of links.
func (l *callLimiter) setLinks(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.SetMax(n)
	l.admitQueued(time.Now())
}

// allowed returns the current limit.
func (l *callLimiter) allowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Allowed()
}
