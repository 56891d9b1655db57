package instance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/reply"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/shedding"
)

// Send sends a request, or queues it until a connection is idle. If it can do
// neither, it calls q.Done with an error before it returns.
func (i *Instance) Send(q Request) *Call {
	now := time.Now()
	x := &Call{i: i, req: q, attempt: hashAttempt(q.ID), startedAt: now}
	i.mu.Lock()
	if err := i.rejects(now, q.Shed.Standing); err != nil {
		if err == ErrUnreachable {
			i.recordAsked(now)
			i.openMissingConn(now)
		}
		i.mu.Unlock()
		x.fail(err)
		return x
	}
	i.calls[x] = struct{}{}
	i.queue = append(i.queue, x)
	i.recordAsked(now)
	i.mu.Unlock()
	i.dispatchQueued()
	return x
}

// WouldReject returns the error with which Send would reject a request now; nil if it would take
// it. It changes nothing.
func (i *Instance) WouldReject(now time.Time, s shedding.Standing) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rejects(now, s)
}

// rejects is WouldReject. The caller holds the lock.
func (i *Instance) rejects(now time.Time, s shedding.Standing) error {
	switch {
	case i.draining:
		return ErrClosed
	case i.isUnreachable(now):
		return ErrUnreachable
	case len(i.queue) >= i.maxQueued(s):
		return ErrQueueFull
	}
	return nil
}

// maxQueued returns the length up to which a request may fill the queue. The caller holds the
// lock.
func (i *Instance) maxQueued(s shedding.Standing) int {
	return int(s.QueueShare() * float64(maxQueuedPerConn*max(i.c.Conns.MaxOpen, 1)))
}

// Queued reports whether the request is waiting for a connection.
func (x *Call) Queued() bool {
	x.i.mu.Lock()
	defer x.i.mu.Unlock()
	return x.conn == nil && !x.finished
}

// CancelQueued removes the request from the queue. It reports false if the request
// was already sent or has finished.
func (x *Call) CancelQueued() bool {
	i := x.i
	i.mu.Lock()
	defer i.mu.Unlock()
	n := slices.Index(i.queue, x)
	if n < 0 {
		return false
	}
	i.queue = slices.Delete(i.queue, n, n+1)
	x.finished = true
	delete(i.calls, x)
	return true
}

// Abort cancels a queued request, or closes the connection of one in flight.
func (x *Call) Abort() {
	if x.CancelQueued() {
		return
	}
	x.i.mu.Lock()
	k, finished := x.conn, x.finished
	x.i.mu.Unlock()
	if k != nil && !finished {
		k.Close()
	}
}

// fail finishes an unsent request with err.
func (x *Call) fail(err error) {
	x.i.mu.Lock()
	x.finished = true
	delete(x.i.calls, x)
	x.i.mu.Unlock()
	x.req.Done(conn.Result{Err: err})
}

// dispatchQueued sends queued requests on idle connections.
func (i *Instance) dispatchQueued() {
	for {
		i.mu.Lock()
		if len(i.queue) == 0 {
			i.mu.Unlock()
			return
		}
		now := time.Now()
		if i.awaitLimit(now) {
			i.mu.Unlock()
			return
		}
		x, k := i.takeNext(now)
		if k == nil {
			i.openMissingConn(now)
			i.mu.Unlock()
			return
		}
		i.takePermit(now)
		x.conn, x.startedAt = k, now
		i.mu.Unlock()
		x.start()
	}
}

// takeNext removes and returns the queued call that is sent next, and the connection for it; nil
// if none can be sent. The caller holds the lock.
func (i *Instance) takeNext(now time.Time) (*Call, *conn.Conn) {
	if !i.dropUnusable(now) {
		return nil, nil
	}
	n := i.picker.Next(now, len(i.queue), i.queuedAt)
	k := i.takeIdleConn(now, i.queue[n])
	if k == nil {
		i.replaceConn(now)
		n, k = i.takeAny(now)
	}
	if k == nil {
		return nil, nil
	}
	x := i.queue[n]
	i.queue = slices.Delete(i.queue, n, n+1)
	return x, k
}

// takeAny returns the index of the queued call of the highest value that has an idle connection,
// and takes that. The caller holds the lock.
func (i *Instance) takeAny(now time.Time) (int, *conn.Conn) {
	order := make([]int, len(i.queue))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(i.queue[b].req.Shed.Value(now), i.queue[a].req.Shed.Value(now))
	})
	for _, n := range order {
		if k := i.takeIdleConn(now, i.queue[n]); k != nil {
			return n, k
		}
	}
	return 0, nil
}

// queuedAt describes the n-th request of the queue. The caller holds the lock.
func (i *Instance) queuedAt(n int) shedding.Request { return i.queue[n].req.Shed }

// ahead returns the number of queued requests that are sent before a new one. The caller
// holds the lock.
func (i *Instance) ahead(now time.Time, r *shedding.Request) int {
	if len(i.queue) == 0 {
		return 0
	}
	n, v := 0, r.Value(now)
	for _, x := range i.queue {
		if x.req.Shed.Value(now) >= v {
			n++
		}
	}
	return n
}

// start sends the request on its connection.
func (x *Call) start() {
	i := x.i
	b := x.req.Build()
	if b == nil {
		i.mu.Lock()
		i.returnPermit(x.startedAt)
		i.idle = append(i.idle, x.conn)
		i.mu.Unlock()
		x.fail(context.DeadlineExceeded)
		return
	}
	ok := x.conn.Start(conn.Request{Attempt: x.attempt, Until: x.req.Deadline, Method: x.req.Method, Bytes: b, Body: x.req.Body, Matches: x.req.Matches, Check: x.req.Check, Done: x.finish})
	if ok {
		return
	}
	// The connection became unusable after dispatchQueued took it. Nothing was sent,
	// so the request returns to the head of the queue.
	i.mu.Lock()
	i.returnPermit(x.startedAt)
	x.conn = nil
	i.queue = slices.Insert(i.queue, 0, x)
	i.mu.Unlock()
}

// finish handles the result of a request that was sent.
func (x *Call) finish(r conn.Result) {
	i := x.i
	now := time.Now()
	i.mu.Lock()
	x.finished = true
	delete(i.calls, x)
	if x.conn.Readiness(now) != conn.Unusable {
		i.idle = append(i.idle, x.conn)
		if i.draining {
			i.closeIdleConn(x.conn)
		}
	}
	switch {
	case r.Err == nil:
		i.redialBackoff, i.lostCall = 0, false
		i.recordContact(now)
	case r.Lost():
		i.lostCall = true
		if errors.Is(r.Err, reply.ErrInvalid) {
			i.c.Events.Emit(event.ResponseInvalid, i.s.ID, r.Err.Error())
		}
	}
	i.closeSurplusConns(now)
	i.mu.Unlock()
	x.req.Done(r)
	i.dispatchQueued()
}
