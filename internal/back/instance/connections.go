package instance

import (
	"fmt"
	"hash/maphash"
	"slices"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/pause"
)

// attemptSeed is the seed of the hashes of attempt IDs.
var attemptSeed = maphash.MakeSeed()

// hashAttempt returns a hash of an attempt ID, which is as long as the client likes; 0 for none.
func hashAttempt(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(maphash.String(attemptSeed, id), 1)
}

// takeIdleConn removes and returns the most recently used idle connection that has not
// carried the call's attempt, so that surplus connections stay idle, or returns nil. The
// caller holds the lock.
func (i *Instance) takeIdleConn(now time.Time, x *Call) *conn.Conn {
	for n := len(i.idle) - 1; n >= 0; n-- {
		if k := i.idle[n]; k.Readiness(now) == conn.Usable && !k.HasCarried(x.attempt, now) {
			i.idle = slices.Delete(i.idle, n, n+1)
			return k
		}
	}
	return nil
}

// dropUnusable closes the idle connections that can carry nothing more, and reports whether one
// can carry a call now. The caller holds the lock.
func (i *Instance) dropUnusable(now time.Time) (usable bool) {
	for n := len(i.idle) - 1; n >= 0; n-- {
		switch k := i.idle[n]; k.Readiness(now) {
		case conn.Usable:
			usable = true
		case conn.Unusable:
			i.closeIdleConn(k)
		case conn.Busy:
		}
	}
	return usable
}

// isBlocked reports whether all idle connections have carried the call's attempt. The caller
// holds the lock.
func (i *Instance) isBlocked(now time.Time, x *Call) bool {
	return len(i.idle) > 0 && !slices.ContainsFunc(i.idle, func(k *conn.Conn) bool { return !k.HasCarried(x.attempt, now) })
}

// replaceConn makes room for a connection that has not carried the attempts in the queue: if
// as many are open as may be, it closes the idle one that was used least recently. The caller
// holds the lock.
func (i *Instance) replaceConn(now time.Time) {
	if i.dialing || i.replacing || len(i.idle) == 0 {
		return
	}
	if i.openConns >= max(i.c.Conns.MaxOpen, 1) {
		i.replacing = true
		i.closeIdleConn(i.idle[0])
		return
	}
	i.openMissingConn(now)
}

// takeBlocked removes and returns the queued calls that no idle connection can carry. The
// caller holds the lock.
func (i *Instance) takeBlocked(now time.Time) []*Call {
	var blocked []*Call
	i.queue = slices.DeleteFunc(i.queue, func(x *Call) bool {
		if !i.isBlocked(now, x) {
			return false
		}
		blocked = append(blocked, x)
		return true
	})
	return blocked
}

// closeIdleConn closes an idle connection. The caller holds the lock.
func (i *Instance) closeIdleConn(k *conn.Conn) {
	if n := slices.Index(i.idle, k); n >= 0 {
		i.idle = slices.Delete(i.idle, n, n+1)
	}
	k.Close()
}

// atConnLimit reports whether the searcher recently refused a connection in a
// tier where it accepts less than one from each VM. The caller holds the lock.
func (i *Instance) atConnLimit(now time.Time) bool {
	return now.Before(i.atLimitUntil) && i.c.Conns.MaxOpen <= 1
}

// minOpen returns the number of connections that stay open without requests, and
// how long others may be idle. At its connection limit a searcher keeps those that
// serve requests only, for a short time, so that more VMs get one. The caller
// holds the lock.
func (i *Instance) minOpen(now time.Time) (int, time.Duration) {
	switch {
	case i.atConnLimit(now):
		return 0, maxIdleAtLimit
	case !i.mayOpen:
		return 0, maxSurplusIdle
	}
	return i.c.Conns.MinOpen, maxSurplusIdle
}

// closeSurplusConns closes idle connections beyond MaxOpen, and those beyond minOpen
// that were idle for long enough. While idle surplus connections remain, it
// schedules another run. The caller holds the lock.
func (i *Instance) closeSurplusConns(now time.Time) {
	keep, maxIdle := i.minOpen(now)
	for len(i.idle) > 0 && i.openConns > keep {
		k := i.idle[0]
		if i.openConns <= i.c.Conns.MaxOpen && now.Sub(k.IdleSince()) < maxIdle {
			break
		}
		i.closeIdleConn(k)
	}
	if len(i.idle) == 0 || i.openConns <= keep || i.cleanupScheduled || i.ctx.Err() != nil {
		return
	}
	i.cleanupScheduled = true
	i.wg.Go(func() {
		pause.Sleep(i.ctx, maxIdle)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.cleanupScheduled = false
		i.closeSurplusConns(time.Now())
	})
}

// openMissingConn starts opening a connection if too few are open. Connections
// are opened one at a time because accepting one briefly occupies a searcher
// slot. The caller holds the lock.
func (i *Instance) openMissingConn(now time.Time) {
	busy := len(i.calls) - len(i.queue)
	kept, _ := i.minOpen(now)
	want := max(kept, busy+len(i.queue))
	if slices.ContainsFunc(i.queue, func(x *Call) bool { return i.isBlocked(now, x) }) {
		want += len(i.idle)
	}
	want = min(want, max(i.c.Conns.MaxOpen, 1))
	if i.draining || i.dialing || i.openConns >= want {
		return
	}
	i.dialing = true
	wait := i.redialAt.Sub(now)
	i.wg.Go(func() { i.dial(wait) })
}

// Probe opens a connection if none is open, to learn whether the searcher can be
// reached.
func (i *Instance) Probe() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.probe(time.Now())
}

// probe is Probe for a caller that holds the lock.
func (i *Instance) probe(now time.Time) {
	if i.draining || i.dialing || i.openConns > 0 {
		return
	}
	i.dialing = true
	wait := i.redialAt.Sub(now)
	i.wg.Go(func() { i.dial(wait) })
}

// dial opens one connection after wait.
func (i *Instance) dial(wait time.Duration) {
	pause.Sleep(i.ctx, wait)
	k, err := conn.Dial(i.ctx, conn.Config{Addr: i.c.Searcher.Addr, Dial: i.c.Dial, Budget: i.c.Budget, OnReady: i.dispatchQueued, OnClosed: i.connClosed})
	if err != nil {
		i.mu.Lock()
		i.dialing, i.replacing = false, false
		r := i.recordRefusal(time.Now(), err.Error())
		i.mu.Unlock()
		i.report(r)
		return
	}
	i.wg.Go(k.Wait)
	i.mu.Lock()
	i.recordContact(time.Now())
	i.openConns++
	mayReset := i.redialBackoff > 0 || i.replacing || time.Since(i.refusedAt) < refusalWindow || i.c.AtConnLimit(time.Now())
	i.mu.Unlock()
	if mayReset {
		pause.Sleep(i.ctx, newConnDelay)
	}
	i.mu.Lock()
	i.dialing, i.replacing = false, false
	now := time.Now()
	switch {
	case k.Readiness(now) == conn.Unusable:
	case i.draining:
		k.Close()
	default:
		i.stats.dialFailed = false
		i.idle = append(i.idle, k)
	}
	i.openMissingConn(now)
	i.mu.Unlock()
	i.dispatchQueued()
}

// refusal is the result of a refused connection.
type refusal struct {
	// queued are the calls to fail, as no connection for them is open.
	queued []*Call
	// ended is set if the searcher's process seems to have ended.
	ended bool
}

// recordRefusal applies exponential backoff after a connection could not be
// opened, or was closed before its first request. The caller holds the lock, and
// passes the result to report without it.
func (i *Instance) recordRefusal(now time.Time, reason string) refusal {
	if i.ctx.Err() == nil {
		i.c.Events.Emit(event.LinkRefused, i.s.ID, fmt.Sprintf("%s; %d open, next attempt in %s", reason, i.openConns, max(2*i.redialBackoff, minRedialBackoff)))
	}
	i.redialBackoff = min(max(2*i.redialBackoff, minRedialBackoff), maxRedialBackoff)
	i.redialAt = now.Add(i.redialBackoff)
	i.refusedAt = now
	var r refusal
	if i.openConns == 0 {
		i.stats.dialFailed = true
		r.queued, i.queue = i.queue, nil
		r.ended, i.lostCall = i.lostCall, false
	} else {
		r.queued = i.takeBlocked(now)
	}
	i.openMissingConn(now)
	return r
}

// report fails the queued calls of a refusal, and calls Config.OnEnded.
func (i *Instance) report(r refusal) {
	if r.ended && i.ctx.Err() == nil {
		i.c.OnEnded()
	}
	for _, x := range r.queued {
		x.fail(ErrUnreachable)
	}
}

// recordConnLimit records that the searcher closed a new connection, as it does at
// its connection limit, and schedules the time from which connections are kept
// open again. The caller holds the lock.
func (i *Instance) recordConnLimit(now time.Time) {
	wasAtLimit := i.atConnLimit(now)
	i.atLimitUntil = now.Add(limitHold)
	if wasAtLimit || !i.atConnLimit(now) || i.ctx.Err() != nil {
		return
	}
	i.wg.Go(func() {
		for i.waitBelowLimit() {
		}
	})
}

// waitBelowLimit sleeps until atLimitUntil. It returns false once the searcher is
// not taken to be at its connection limit any more, after reopening connections.
func (i *Instance) waitBelowLimit() bool {
	i.mu.Lock()
	wait := time.Until(i.atLimitUntil)
	i.mu.Unlock()
	if !pause.Sleep(i.ctx, wait) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if i.atConnLimit(now) {
		return true
	}
	i.openMissingConn(now)
	return false
}

// connClosed handles a closed connection.
func (i *Instance) connClosed(k *conn.Conn) {
	i.mu.Lock()
	i.openConns--
	if n := slices.Index(i.idle, k); n >= 0 {
		i.idle = slices.Delete(i.idle, n, n+1)
	}
	now := time.Now()
	var r refusal
	switch {
	case i.draining:
	case k.Exchanges() == 0 && now.Sub(k.IdleSince()) < refusalWindow:
		i.recordConnLimit(now)
		r = i.recordRefusal(now, "closed by the searcher before its first request")
	case i.lostCall && i.openConns == 0:
		// Whether the process has ended matters for what it ran.
		i.probe(now)
	default:
		i.openMissingConn(now)
	}
	i.mu.Unlock()
	i.report(r)
}
