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
	// queuePerSlot is how many calls may wait for each one in flight.
	queuePerSlot = 8
	// farAway stands for a deadline where there is none.
	farAway = time.Hour
	// meanGain is the weight of a new service time in the mean.
	meanGain = 0.1
)

// gate admits calls within the adaptive limit. Those above it wait in a queue
// ordered by deadline; calls that could not end in time are shed.
type gate struct {
	mu       sync.Mutex
	fixed    bool
	limit    limit.Limit
	queue    *queue.Queue[*ticket]
	inFlight int
	mean     time.Duration
}

// ticket is a call that waits; it receives why it may not begin, or None.
type ticket struct {
	c chan outcome.Reason
}

// newGate returns a gate for the number of links that the contract allows. A
// fixed one admits every call.
func newGate(links int, fixed bool) *gate {
	return &gate{
		fixed: fixed,
		limit: limit.New(limit.Config{Max: links, Fixed: fixed}),
		queue: queue.New[*ticket](queue.Config{Max: queuePerSlot * links}),
	}
}

// enter admits a call, or tells why not.
func (g *gate) enter(ctx context.Context) outcome.Reason {
	g.mu.Lock()
	if g.fixed || g.inFlight < g.limit.Allowed() && g.queue.Len() == 0 {
		g.inFlight++
		g.mu.Unlock()
		return outcome.None
	}
	t := &ticket{c: make(chan outcome.Reason, 1)}
	no := g.wait(ctx, t)
	g.mu.Unlock()
	if no != outcome.None {
		return no
	}
	select {
	case no = <-t.c:
		return no
	case <-ctx.Done():
		return g.withdraw(t, reasonOf(ctx.Err()))
	}
}

// wait puts a call into the queue, or tells why not. The lock is held.
func (g *gate) wait(ctx context.Context, t *ticket) outcome.Reason {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(farAway)
	}
	turn := g.mean / time.Duration(g.limit.Allowed())
	evicted, ok := g.queue.Push(now, t, deadline, turn, g.mean)
	if !ok {
		return outcome.Shed
	}
	if evicted != nil {
		evicted.c <- outcome.Shed
	}
	return outcome.None
}

// withdraw takes a call out of the queue. One that was admitted meanwhile
// leaves again.
func (g *gate) withdraw(t *ticket, why outcome.Reason) outcome.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(t) {
		return why
	}
	if no := <-t.c; no != outcome.None {
		return no
	}
	g.inFlight--
	g.admit(time.Now())
	return why
}

// leave ends an admitted call. It reports whether the limit was cut.
func (g *gate) leave(s limit.Sample) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s.InFlight = g.inFlight
	cut := g.limit.Update(now, s)
	if s.Service > 0 {
		g.mean += time.Duration(meanGain * float64(s.Service-g.mean))
	}
	g.inFlight--
	g.admit(now)
	return cut
}

// admit lets waiting calls in while there is room. The lock is held.
func (g *gate) admit(now time.Time) {
	for g.inFlight < g.limit.Allowed() && g.queue.Len() > 0 {
		t, late, ok := g.queue.Pop(now, g.mean)
		for _, l := range late {
			l.c <- outcome.Shed
		}
		if ok {
			g.inFlight++
			t.c <- outcome.None
		}
	}
}

// setLinks changes what the contract allows.
func (g *gate) setLinks(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.SetMax(n)
	g.admit(time.Now())
}

// allowed returns the limit.
func (g *gate) allowed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit.Allowed()
}
