// Package upstream follows the platform's store through a relay, which is another
// VM, or directly if no relay is available.
//
// The store charges for each call, and in a large tier all VMs would make the same
// calls. So a few VMs of each failure domain watch it and relay its changes. A VM
// whose relay does not respond in time asks the next relay, and finally the store,
// from the revision that it has reached. Relays tell up to when they know all changes:
// a VM whose copy becomes too old asks the store, whatever its relays do.
//
// # Usage
//
//	s := upstream.New(upstream.Config{Store: store, Log: log, Dialer: dialer, Relays: relays})
//	f := follow.New(follow.Config{Source: s, ...})
package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/platform/overlap"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/copyage"
	"egrethaven/internal/state/follow"
)

const (
	// maxRelayWait is how long a relay waits for changes before it responds. It responds
	// relaySlack before the copy of this VM is too old, but not before minRelayWait.
	maxRelayWait = time.Second
	minRelayWait = 50 * time.Millisecond
	relaySlack   = 250 * time.Millisecond
	// relayTimeout limits a call in addition to its wait. Connecting to a VM with a
	// tenth of a core takes some tens of milliseconds.
	relayTimeout = 400 * time.Millisecond
	// seedDelay is how long the first read waits for the store before it asks a seed.
	// A slow store responds within 250 ms.
	seedDelay = 700 * time.Millisecond
	// minWatchWait is the wait of a watch that is to show soon whether the store can be
	// reached, as after a switch to the store or a call without an answer.
	minWatchWait = 100 * time.Millisecond
	// maxWatchShare is the share of the time to apply a change for which a watch waits.
	// The rest is for the attempts after one that was swallowed.
	maxWatchShare = 0.4
	// maxAgeShare is the share of the time to apply a change after which a copy is too
	// old: relays do not pass it on, and VMs that follow them ask the store. It is more
	// than a watch and the pause between two watches take, and leaves time for a call to
	// the store that is swallowed.
	maxAgeShare = 0.65
	// An answer of the store is late lateAnswer after a watch's wait, and lateRead after
	// the start of a full read. The store is then asked again, once more repeatInterval
	// later, and all attempts end lateLimit after the first was late. So a VM whose calls
	// are swallowed until the store's return asks again within about a second.
	lateAnswer     = 500 * time.Millisecond
	lateRead       = time.Second
	repeatInterval = 700 * time.Millisecond
	maxAttempts    = 3
	lateLimit      = 1700 * time.Millisecond
	// unresponsiveCooldown is how long a relay is not used after a failed call, and
	// declinedCooldown after it declined one. Up to half of it is added as jitter.
	unresponsiveCooldown = 5 * time.Second
	declinedCooldown     = time.Second
)

// storeName stands for the store in events.
const storeName = "the store"

// Dialer opens connections to other VMs. *rpc.Dialer implements it.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config configures an Upstream.
type Config struct {
	// Store is the platform's store.
	Store follow.Source
	// Log records what was read, for VMs that follow the store through this one.
	Log *changelog.Log
	// Dialer opens connections to relays and seeds.
	Dialer Dialer
	// Relays returns the relays' addresses in order of preference; none if this VM
	// watches the store itself.
	Relays func() []string
	// Seeds are addresses of VMs to ask for the store's entries if the store cannot be
	// reached at startup.
	Seeds []string
	// ChangeTime is the time by which a change of the store has to be in force on this
	// VM; 0 means that a copy is never too old.
	ChangeTime time.Duration
	Events     event.Sink
}

// Upstream is a follow.Source. Its methods are for one goroutine, except RelayAddr,
// CopyAge and Close, which are safe for concurrent use.
type Upstream struct {
	c       Config
	copyAge *copyage.Tracker
	// loaded is set once all entries have been read, from the store or a seed.
	loaded bool

	mu sync.Mutex
	// cooldowns holds the time until which a relay is not used, by address.
	cooldowns map[string]time.Time
	// relay is the address of the relay that is followed; empty for the store.
	relay string
}

var _ follow.Source = (*Upstream)(nil)

// New returns an Upstream.
func New(c Config) *Upstream {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Upstream{c: c, copyAge: copyage.New(copyage.Config{Limit: c.ChangeTime, Events: c.Events}), cooldowns: map[string]time.Time{}}
}

// Close stops the reports on the age of the copy.
func (u *Upstream) Close() { u.copyAge.Close() }

// CopyAge returns how long ago the copy was last known to have all changes of the
// store. It reports false if it never was.
func (u *Upstream) CopyAge() (time.Duration, bool) { return u.copyAge.Age(), u.copyAge.Known() }

// RelayAddr returns the address of the relay that is followed, or an empty string if
// the store was called directly.
func (u *Upstream) RelayAddr() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.relay
}

// Range reads all entries directly from the store. If no read has succeeded yet and
// this one fails or takes longer than seedDelay, it returns the entries and the
// revision of the first seed that responds.
func (u *Upstream) Range(ctx context.Context, prefix string) ([]follow.Change, follow.Revision, error) {
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
			u.c.Log.ResetRelayed(s.entries, s.at)
			return s.entries, s.at, nil
		}
	}
	if errors.Is(r.err, errPending) {
		r = <-fromStore
	}
	if r.err != nil {
		u.c.Log.MarkUnreachable()
		return nil, 0, errors.Trace(r.err)
	}
	u.loaded = true
	u.c.Log.ReplaceEntries(r.entries, r.at, r.knownAt)
	u.copyAge.Confirm(storeName, r.knownAt)
	return r.entries, r.at, nil
}

// readResult is the result of reading all entries.
type readResult struct {
	entries []follow.Change
	at      follow.Revision
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
			u.c.Events.Emit(event.SnapshotTaken, addr, fmt.Sprintf("%d entries at revision %d, because the store does not respond", len(r.entries), r.at))
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
	return readResult{entries: decode(out.GetEntries()), at: follow.Revision(out.GetRevision())}
}

// MaxCopyAge returns the age from which on a copy of the store is too old to be passed
// on, given the time by which a change has to be in force.
func MaxCopyAge(changeTime time.Duration) time.Duration {
	return time.Duration(maxAgeShare * float64(changeTime))
}

// watchResult is the result of a watch. The address is empty for the store.
type watchResult struct {
	changelog.Update
	addr string
	err  error
}

// Watch returns the changes after a revision from the first available relay. It asks
// the store if no relay responds, or once the copy is too old, and returns the first
// response.
func (u *Upstream) Watch(ctx context.Context, prefix string, after follow.Revision, wait time.Duration) ([]follow.Change, follow.Revision, error) {
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
				return r.Changes, r.Revision, nil
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
			return nil, 0, errors.Trace(storeErr)
		}
	}
}

// record records a successful watch after a revision.
func (u *Upstream) record(after follow.Revision, r watchResult) {
	u.setRelay(r.addr)
	u.copyAge.Confirm(displayName(r.addr), r.KnownAt)
	if r.addr == "" {
		u.c.Log.Append(after, r.Changes, r.Revision, r.KnownAt)
		return
	}
	u.c.Log.AppendRelayed(after, r.Changes, r.Revision)
}

// untilTooOld returns the time until the copy is too old to wait for a relay.
func (u *Upstream) untilTooOld() time.Duration {
	if u.c.ChangeTime == 0 {
		return noDeadline
	}
	return MaxCopyAge(u.c.ChangeTime) - u.copyAge.Age()
}

// watchRelays returns the changes after a revision from the first relay that responds.
func (u *Upstream) watchRelays(ctx context.Context, after follow.Revision) watchResult {
	for _, addr := range u.c.Relays() {
		if u.inCooldown(addr) {
			continue
		}
		r, err := u.watchRelay(ctx, addr, after)
		if err == nil {
			return watchResult{Update: r, addr: addr}
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

// watchStore returns the changes after a revision from the store, or none after wait.
func (u *Upstream) watchStore(ctx context.Context, prefix string, after follow.Revision, wait time.Duration) watchResult {
	r, err := overlap.Read(ctx, attempts(wait+lateAnswer), func(ctx context.Context, attempt int) (changelog.Update, error) {
		wait := wait
		if attempt > 0 {
			wait = min(wait, minWatchWait)
		}
		r := changelog.Update{KnownAt: boottime.Now()}
		var err error
		r.Changes, r.Revision, err = u.c.Store.Watch(ctx, prefix, after, wait)
		if len(r.Changes) == 0 && r.KnownAt.Age() >= wait {
			// The store had no change to report during the whole wait.
			r.KnownAt = r.KnownAt.Add(wait)
		}
		return r, errors.Trace(err)
	})
	return watchResult{Update: r, err: err}
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

// watchRelay returns the changes after a revision from the relay at addr, or none
// after the relay's wait.
func (u *Upstream) watchRelay(ctx context.Context, addr string, after follow.Revision) (changelog.Update, error) {
	calledAt := boottime.Now()
	wait := min(max(u.untilTooOld()-relaySlack, minRelayWait), maxRelayWait)
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	c, err := u.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return changelog.Update{}, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	out, err := relayrpc.NewDRPCRelayClient(c).Follow(ctx, &relayrpc.FollowRequest{After: int64(after), WaitMs: wait.Milliseconds()})
	switch {
	case err != nil:
		return changelog.Update{}, errors.Trace(err)
	case out.GetOutcome() != relayrpc.FollowReply_FOLLOWED:
		return changelog.Update{}, errors.WithType(errors.New(out.GetOutcome().String()), errDeclined)
	}
	return changelog.Update{Changes: decode(out.GetChanges()), Revision: max(after, follow.Revision(out.GetRevision())),
		KnownAt: relayKnownAt(calledAt, out.GetKnownMs())}, nil
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

// inCooldown reports whether a relay must not be used now.
func (u *Upstream) inCooldown(addr string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.cooldowns[addr])
}

// startCooldown excludes a relay for a while after err. The jitter keeps VMs from
// returning to it at the same time.
func (u *Upstream) startCooldown(addr string, err error) {
	d := unresponsiveCooldown
	if errors.Is(err, errDeclined) {
		d = declinedCooldown
	}
	d += rand.N(d / 2)
	u.c.Events.Emit(event.RelayLost, addr, err.Error()+"; left alone for "+d.Round(time.Millisecond).String())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cooldowns[addr] = time.Now().Add(d)
}

// setRelay records the relay that is followed, empty for the store, and reports
// whether it has changed.
func (u *Upstream) setRelay(addr string) bool {
	u.mu.Lock()
	old := u.relay
	u.relay = addr
	u.mu.Unlock()
	if old == addr {
		return false
	}
	u.c.Events.Emit(event.RelayChanged, addr, "previously followed: "+displayName(old))
	return true
}

// displayName returns the address of a relay, or "the store" if it is empty.
func displayName(addr string) string {
	if addr == "" {
		return storeName
	}
	return addr
}
