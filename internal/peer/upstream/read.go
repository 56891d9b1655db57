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
// position of the first seed that responds.
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
		if s, ok := u.readFromSeeds(ctx); ok {
			u.loaded = true
			u.notePosition(s.at, "a seed")
			u.c.Log.ResetRelayed(s.entries, s.at)
			return s.entries, s.at, nil
		}
	}
	if errors.Is(r.err, errPending) {
		r = <-fromStore
	}
	if r.err != nil {
		u.c.Log.MarkUnreachable()
		return nil, follow.Position{}, errors.Trace(r.err)
	}
	u.loaded = true
	u.notePosition(r.at, storeName)
	u.c.Log.ReplaceEntries(r.entries, r.at, r.knownAt)
	u.copyAge.Confirm(storeName, r.knownAt)
	return r.entries, r.at, nil
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

// readFromSeeds returns the entries of the first seed that responds. It reports false
// if none does.
func (u *Upstream) readFromSeeds(ctx context.Context) (readResult, bool) {
	for _, addr := range u.c.Seeds {
		r := u.snapshot(ctx, addr)
		if r.err == nil {
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
