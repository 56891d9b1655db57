package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/platform/overlap"
	"egrethaven/internal/state/follow"
)

// Range reads all entries directly from the store. If no read has succeeded yet and
// this one fails or takes longer than seedDelay, it returns the entries and the
// position of the first seed that responds. If the store was restored and this read of it
// fails, it returns those of a relay that has read it since.
func (u *Upstream) Range(ctx context.Context, prefix string) ([]follow.Change, follow.Position, error) {
	u.setRelay("")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fromStore := make(chan readResult, 1)
	go func() {
		r, err := u.readStore(ctx, prefix)
		r.err = err
		fromStore <- r
	}()
	r := readResult{err: errPending}
	t := time.NewTimer(seedDelay)
	defer t.Stop()
	select {
	case r = <-fromStore:
	case <-t.C:
	}
	if r.err != nil && !u.loaded {
		if s, ok := u.readFromVMs(ctx, u.c.Seeds); ok {
			return u.takeSnapshot(s)
		}
	}
	if errors.Is(r.err, errPending) {
		r = <-fromStore
	}
	if r.err != nil && u.restored {
		if s, ok := u.readFromVMs(ctx, u.c.Relays()); ok {
			return u.takeSnapshot(s)
		}
	}
	if r.err != nil {
		u.c.Log.MarkUnreachable()
		return nil, follow.Position{}, errors.Trace(r.err)
	}
	u.loaded, u.restored = true, false
	u.notePosition(r.at, storeName)
	u.c.Log.ReplaceEntries(r.entries, r.at, r.knownAt)
	u.copyAge.Confirm(storeName, r.knownAt)
	return r.entries, r.at, nil
}

// takeSnapshot returns the entries of another VM as the result of Range.
func (u *Upstream) takeSnapshot(s readResult) ([]follow.Change, follow.Position, error) {
	u.loaded, u.restored = true, false
	u.notePosition(s.at, "another VM")
	u.c.Log.ResetRelayed(s.entries, s.at)
	return s.entries, s.at, nil
}

// readResult is the result of reading all entries.
type readResult struct {
	entries []follow.Change
	at      follow.Position
	knownAt boottime.Instant
	err     error
}

// errPending stands for the result of a read that has not returned yet.
const errPending = errors.ConstError("the store has not responded yet")

// readStore reads all entries of the store.
func (u *Upstream) readStore(ctx context.Context, prefix string) (readResult, error) {
	return overlap.Read(ctx, attempts(lateRead), func(ctx context.Context, _ int) (readResult, error) {
		r := readResult{knownAt: boottime.Now()}
		var err error
		r.entries, r.at, err = u.c.Store.Range(ctx, prefix)
		if err == nil && r.at.Era < u.last.Era {
			err = u.last.CheckNext(r.at)
		}
		return r, errors.Trace(err)
	})
}

// attempts returns the attempts of a call to the store whose first answer is late
// after a while.
func attempts(late time.Duration) overlap.Config {
	return overlap.Config{First: late, Interval: repeatInterval, Attempts: maxAttempts, Limit: late + lateLimit}
}

// readFromVMs returns the entries of the first VM that responds, and that knows of the
// store's restore if this one does. It reports false if there is none.
func (u *Upstream) readFromVMs(ctx context.Context, addrs []string) (readResult, bool) {
	for _, addr := range addrs {
		r := u.snapshot(ctx, addr)
		if r.err == nil && (!u.restored || r.at.Era > u.last.Era) {
			u.c.Events.Emit(event.SnapshotTaken, addr, fmt.Sprintf("%d entries at %s, because the store does not respond", len(r.entries), r.at))
			return r, true
		}
	}
	return readResult{}, false
}

// snapshot requests all entries from the VM at addr.
func (u *Upstream) snapshot(ctx context.Context, addr string) readResult {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := u.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return readResult{err: errors.Trace(err)}
	}
	defer func() { _ = c.Close() }()
	out, err := relayrpc.NewDRPCRelayClient(c).Snapshot(ctx, &relayrpc.SnapshotRequest{})
	switch {
	case err != nil:
		return readResult{err: errors.Trace(err)}
	case out.GetOutcome() != relayrpc.FollowReply_FOLLOWED:
		return readResult{err: errDeclined}
	}
	return readResult{entries: decode(out.GetEntries()), at: follow.Position{Era: follow.Era(out.GetEra()), Revision: follow.Revision(out.GetRevision())}}
}
