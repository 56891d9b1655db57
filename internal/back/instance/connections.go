package instance

import (
	"fmt"
	"slices"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/pause"
)

// take returns the free connection that was used last, so that surplus ones
// stay idle. The lock is held.
func (i *Instance) take(now time.Time) *conn.Conn {
	for n := len(i.idle) - 1; n >= 0; n-- {
		k := i.idle[n]
		switch k.Readiness(now) {
		case conn.Usable:
			i.idle = slices.Delete(i.idle, n, n+1)
			return k
		case conn.Unusable:
			i.drop(k)
		case conn.Busy:
		}
	}
	return nil
}

// drop closes an idle connection. The lock is held.
func (i *Instance) drop(k *conn.Conn) {
	if n := slices.Index(i.idle, k); n >= 0 {
		i.idle = slices.Delete(i.idle, n, n+1)
	}
	k.Close()
}

// trim closes the surplus connections that have been idle for a while, and
// looks again while there are others. The lock is held.
func (i *Instance) trim(now time.Time) {
	for len(i.idle) > 0 && i.open > i.c.Conns.MinOpen {
		k := i.idle[0]
		if i.open <= i.c.Conns.MaxOpen && now.Sub(k.IdleSince()) < surplusIdle {
			break
		}
		i.drop(k)
	}
	if len(i.idle) == 0 || i.open <= i.c.Conns.MinOpen || i.trimming || i.ctx.Err() != nil {
		return
	}
	i.trimming = true
	i.wg.Go(func() {
		pause.Sleep(i.ctx, surplusIdle)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.trimming = false
		i.trim(time.Now())
	})
}

// fill opens the connections that are missing, one at a time, as each costs
// the searcher a moment of a slot. The lock is held.
func (i *Instance) fill(now time.Time) {
	busy := len(i.sends) - len(i.waiting)
	want := min(max(i.c.Conns.MinOpen, busy+len(i.waiting)), max(i.c.Conns.MaxOpen, 1))
	if i.draining || i.dialing || i.open >= want {
		return
	}
	i.dialing = true
	wait := i.redialAt.Sub(now)
	i.wg.Go(func() { i.dial(wait) })
}

// dial opens one connection after a wait.
func (i *Instance) dial(wait time.Duration) {
	pause.Sleep(i.ctx, wait)
	k, err := conn.Dial(i.ctx, conn.Config{Addr: i.c.Searcher.Addr, Dial: i.c.Dial, OnClosed: i.down})
	if err != nil {
		i.mu.Lock()
		i.dialing = false
		failed := i.turnedAway(time.Now(), err.Error())
		i.mu.Unlock()
		unreachable(failed)
		return
	}
	i.wg.Go(k.Wait)
	i.mu.Lock()
	i.open++
	doubt := i.redial > 0 || i.c.AtConnLimit(time.Now())
	i.mu.Unlock()
	if doubt {
		pause.Sleep(i.ctx, proveTime)
	}
	i.mu.Lock()
	i.dialing = false
	now := time.Now()
	switch {
	case k.Readiness(now) == conn.Unusable:
	case i.draining:
		k.Close()
	default:
		i.v.dialFailed = false
		i.idle = append(i.idle, k)
	}
	i.fill(now)
	i.mu.Unlock()
	i.next()
}

// turnedAway notes that a connection could not be opened, or was closed
// before its first request. It returns the requests that have no connection
// to wait for. The lock is held.
func (i *Instance) turnedAway(now time.Time, why string) []*Call {
	if i.ctx.Err() == nil {
		i.c.Events.Emit(event.LinkRefused, i.s.ID, fmt.Sprintf("%s; %d open, next attempt in %s", why, i.open, max(2*i.redial, redialFirst)))
	}
	i.redial = min(max(2*i.redial, redialFirst), redialMost)
	i.redialAt = now.Add(i.redial)
	var failed []*Call
	if i.open == 0 {
		i.v.dialFailed = true
		failed, i.waiting = i.waiting, nil
	}
	i.fill(now)
	return failed
}

// unreachable ends requests that have no connection to wait for.
func unreachable(xs []*Call) {
	for _, x := range xs {
		x.fail(ErrUnreachable)
	}
}

// down takes the end of a connection.
func (i *Instance) down(k *conn.Conn) {
	i.mu.Lock()
	i.open--
	if n := slices.Index(i.idle, k); n >= 0 {
		i.idle = slices.Delete(i.idle, n, n+1)
	}
	now := time.Now()
	var failed []*Call
	switch {
	case i.draining:
	case k.Exchanges() == 0 && now.Sub(k.IdleSince()) < refusedWithin:
		failed = i.turnedAway(now, "closed by the searcher before its first request")
	default:
		i.fill(now)
	}
	i.mu.Unlock()
	unreachable(failed)
}
