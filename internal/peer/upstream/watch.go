package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/platform/overlap"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

// watchResult is the result of a watch. The address is empty for the store.
type watchResult struct {
	changelog.Update
	addr string
	err  error
}

// Watch returns the changes after a position from the first available relay. It asks
// the store if no relay responds, or once the copy is too old, and returns the first
// response.
func (u *Upstream) Watch(ctx context.Context, prefix string, after follow.Position, wait time.Duration) ([]follow.Change, follow.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	results := make(chan watchResult, 2)
	ask := func(watch func() watchResult) { wg.Go(func() { results <- watch() }) }
	ask(func() watchResult { return u.watchRelays(ctx, after) })
	pending, storeAsked := 1, false
	var storeErr error
	due := time.NewTimer(u.untilTooOld())
	defer due.Stop()
	for {
		var r watchResult
		select {
		case r = <-results:
			if pending--; r.err == nil {
				u.record(after, r)
				return r.Changes, r.Position, nil
			}
			if mustReadAll(r.err) {
				u.restored = errors.Is(r.err, follow.ErrRestored)
				return nil, follow.Position{}, errors.Trace(r.err)
			}
			if r.err != errNoRelay {
				storeErr = r.err
			}
		case <-due.C:
		}
		switch {
		case !storeAsked:
			storeAsked = true
			pending++
			wait := min(wait, u.maxWatchWait())
			if u.RelayAddr() != "" {
				// Other VMs may follow the store through this one from now on, but only
				// once the store has responded.
				wait = min(wait, minWatchWait)
			}
			ask(func() watchResult { return u.watchStore(ctx, prefix, after, wait) })
		case pending == 0:
			u.setRelay("")
			u.c.Log.MarkUnreachable()
			return nil, follow.Position{}, errors.Trace(storeErr)
		}
	}
}

// mustReadAll reports whether the changes after a position are not to be had, so that
// all entries have to be read.
func mustReadAll(err error) bool {
	return errors.Is(err, follow.ErrCompacted) || errors.Is(err, follow.ErrRestored)
}

// record records a successful watch after a position.
func (u *Upstream) record(after follow.Position, r watchResult) {
	u.notePosition(r.Position, displayName(r.addr))
	u.setRelay(r.addr)
	u.copyAge.Confirm(displayName(r.addr), r.KnownAt)
	if r.addr == "" {
		u.c.Log.Append(after, r.Changes, r.Position, r.KnownAt)
		return
	}
	u.c.Log.AppendRelayed(after, r.Changes, r.Position)
}

// untilTooOld returns the time until the copy is too old to wait for a relay.
func (u *Upstream) untilTooOld() time.Duration {
	if u.c.ChangeTime == 0 {
		return noDeadline
	}
	return MaxCopyAge(u.c.ChangeTime) - u.copyAge.Age()
}

// watchRelays returns the changes after a position from the first relay that responds.
func (u *Upstream) watchRelays(ctx context.Context, after follow.Position) watchResult {
	for _, addr := range u.c.Relays() {
		if u.inCooldown(addr) {
			continue
		}
		r, err := u.watchRelay(ctx, addr, after)
		if err == nil {
			return watchResult{Update: r, addr: addr}
		}
		if errors.Is(err, follow.ErrRestored) {
			return watchResult{err: err}
		}
		if ctx.Err() != nil {
			break
		}
		u.startCooldown(addr, err)
	}
	return watchResult{err: errNoRelay}
}

// maxWatchWait returns how long the next watch of the store may wait, so that the
// store's silence is noticed while the copy is young enough.
func (u *Upstream) maxWatchWait() time.Duration {
	if u.c.ChangeTime == 0 {
		return noDeadline
	}
	longest := time.Duration(maxWatchShare * float64(u.c.ChangeTime))
	return max(longest-u.copyAge.Age(), minWatchWait)
}

// watchStore returns the changes after a position from the store, or none after wait. An
// attempt that finds that all entries have to be read ends the others.
func (u *Upstream) watchStore(ctx context.Context, prefix string, after follow.Position, wait time.Duration) watchResult {
	r, err := overlap.Read(ctx, attempts(wait+lateAnswer), func(ctx context.Context, attempt int) (watchResult, error) {
		wait := wait
		if attempt > 0 {
			wait = min(wait, minWatchWait)
		}
		r := changelog.Update{KnownAt: boottime.Now()}
		var err error
		r.Changes, r.Position, err = u.c.Store.Watch(ctx, prefix, after, wait)
		if errors.Is(err, follow.ErrCut) && r.KnownAt.Age() >= minWatchWait {
			// The store may cut a watch that waits. Whether it is reachable shows at once.
			wait = checkWait
			r.KnownAt = boottime.Now()
			r.Changes, r.Position, err = u.c.Store.Watch(ctx, prefix, after, wait)
		}
		if len(r.Changes) == 0 && r.KnownAt.Age() >= wait {
			// The store had no change to report during the whole wait.
			r.KnownAt = r.KnownAt.Add(wait)
		}
		if err == nil {
			err = after.CheckNext(r.Position)
		}
		if mustReadAll(err) {
			return watchResult{err: err}, nil
		}
		return watchResult{Update: r}, errors.Trace(err)
	})
	if err != nil {
		return watchResult{err: err}
	}
	return r
}

// errDeclined: the relay cannot reach the store, does not watch it, or no longer has
// the requested changes.
const errDeclined = errors.ConstError("the relay does not follow the store")

// errNoRelay: no relay is available.
const errNoRelay = errors.ConstError("no relay is available")

// noDeadline is longer than any wait, and maxKnownAge is older than any usable copy.
const (
	noDeadline  = time.Hour
	maxKnownAge = time.Hour
)

// watchRelay returns the changes after a position from the relay at addr, or none
// after the relay's wait.
func (u *Upstream) watchRelay(ctx context.Context, addr string, after follow.Position) (changelog.Update, error) {
	calledAt := boottime.Now()
	wait := min(max(u.untilTooOld()-relaySlack, minRelayWait), maxRelayWait)
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	c, err := u.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return changelog.Update{}, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	out, err := relayrpc.NewDRPCRelayClient(c).Follow(ctx, &relayrpc.FollowRequest{After: int64(after.Revision), Era: int64(after.Era), WaitMs: wait.Milliseconds()})
	switch {
	case err != nil:
		return changelog.Update{}, errors.Trace(err)
	case out.GetOutcome() == relayrpc.FollowReply_RESTORED:
		return changelog.Update{}, errors.Trace(follow.ErrRestored)
	case out.GetOutcome() != relayrpc.FollowReply_FOLLOWED:
		return changelog.Update{}, errors.WithType(errors.New(out.GetOutcome().String()), errDeclined)
	}
	at := follow.Position{Era: follow.Era(out.GetEra()), Revision: follow.Revision(out.GetRevision())}
	if err := after.CheckNext(at); err != nil {
		return changelog.Update{}, errors.Trace(err)
	}
	return changelog.Update{Changes: decode(out.GetChanges()), Position: at, KnownAt: relayKnownAt(calledAt, out.GetKnownMs())}, nil
}

// relayKnownAt returns the time up to which a relay knows all changes, given the start of
// the call and what the relay says. Whatever it says, it is not after the response, and
// not so long ago that it cannot be represented.
func relayKnownAt(calledAt boottime.Instant, knownMS int64) boottime.Instant {
	known := max(knownMS, -maxKnownAge.Milliseconds())
	return calledAt.Add(time.Duration(min(known, calledAt.Age().Milliseconds())) * time.Millisecond)
}

// decode converts messages to changes, and omits messages without a key.
func decode(in []*relayrpc.Change) []follow.Change {
	cs := make([]follow.Change, 0, len(in))
	for _, c := range in {
		if c.GetKey() != "" {
			cs = append(cs, follow.Change{Key: c.GetKey(), Value: c.GetValue(), Revision: follow.Revision(c.GetRevision()), Deleted: c.GetDeleted()})
		}
	}
	return cs
}
