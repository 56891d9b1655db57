package instance

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/back/conn"
)

// Send sends a request, at once or when a connection is free.
func (i *Instance) Send(q Request) *Call {
	now := time.Now()
	x := &Call{i: i, q: q, began: now}
	i.mu.Lock()
	switch {
	case i.draining:
		i.mu.Unlock()
		x.fail(ErrClosed)
		return x
	case i.unreachable(now):
		i.fill(now)
		i.mu.Unlock()
		x.fail(ErrUnreachable)
		return x
	case len(i.waiting) >= queueFactor*max(i.c.Conns.MaxOpen, 1):
		i.mu.Unlock()
		x.fail(ErrQueueFull)
		return x
	}
	i.sends[x] = struct{}{}
	i.waiting = append(i.waiting, x)
	i.mu.Unlock()
	i.next()
	return x
}

// Queued tells whether the request waits for a connection.
func (x *Call) Queued() bool {
	x.i.mu.Lock()
	defer x.i.mu.Unlock()
	return x.k == nil && !x.ended
}

// CancelQueued takes back a request that was not sent. It reports false if it was
// sent, or has ended.
func (x *Call) CancelQueued() bool {
	i := x.i
	i.mu.Lock()
	defer i.mu.Unlock()
	n := slices.Index(i.waiting, x)
	if n < 0 {
		return false
	}
	i.waiting = slices.Delete(i.waiting, n, n+1)
	x.ended = true
	delete(i.sends, x)
	return true
}

// Abort closes the connection of a request under way, or withdraws it.
func (x *Call) Abort() {
	if x.CancelQueued() {
		return
	}
	x.i.mu.Lock()
	k, ended := x.k, x.ended
	x.i.mu.Unlock()
	if k != nil && !ended {
		k.Close()
	}
}

// fail ends a request that was not sent.
func (x *Call) fail(err error) {
	x.i.mu.Lock()
	x.ended = true
	delete(x.i.sends, x)
	x.i.mu.Unlock()
	x.q.Done(conn.Result{Err: err})
}

// next sends waiting requests on free connections.
func (i *Instance) next() {
	for {
		i.mu.Lock()
		if len(i.waiting) == 0 {
			i.mu.Unlock()
			return
		}
		now := time.Now()
		k := i.take(now)
		if k == nil {
			i.fill(now)
			i.mu.Unlock()
			return
		}
		x := i.waiting[0]
		i.waiting = slices.Delete(i.waiting, 0, 1)
		x.k, x.began = k, now
		i.mu.Unlock()
		x.start()
	}
}

// start sends a request on its connection.
func (x *Call) start() {
	i := x.i
	b := x.q.Build()
	if b == nil {
		i.mu.Lock()
		i.idle = append(i.idle, x.k)
		i.mu.Unlock()
		x.fail(context.DeadlineExceeded)
		return
	}
	ok := x.k.Start(conn.Request{Method: x.q.Method, Bytes: b, Matches: x.q.Matches, Done: x.ends})
	if ok {
		return
	}
	// The connection ended after it was taken; nothing was sent.
	i.mu.Lock()
	x.k = nil
	i.waiting = slices.Insert(i.waiting, 0, x)
	i.mu.Unlock()
}

// ends takes the result of a request that was sent.
func (x *Call) ends(r conn.Result) {
	i := x.i
	now := time.Now()
	i.mu.Lock()
	x.ended = true
	delete(i.sends, x)
	if x.k.Readiness(now) != conn.Unusable {
		i.idle = append(i.idle, x.k)
		if i.draining {
			i.drop(x.k)
		}
	}
	if r.Err == nil {
		i.redial = 0
	}
	i.trim(now)
	i.mu.Unlock()
	x.q.Done(r)
	i.next()
}
