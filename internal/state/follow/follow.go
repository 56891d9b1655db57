// Package follow keeps a local copy of the platform store's entries up to date.
//
// A Follower reads all entries under a prefix and then watches for changes. Each
// watch starts at the revision where the previous one ended, so that no change is
// missed. If the store has compacted the changes since that revision, or was restored
// from a backup, all entries are read again. During an outage of the store the copy
// stays unchanged and the handler is notified.
//
// # Usage
//
//	f := follow.New(follow.Config{Source: s, Prefix: "", Handler: h})
//	f.Run(ctx)
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/pause"
)

// Lease identifies a lease, which the store granted in an era. The store deletes the
// keys of a lease that expires. Its zero value is no lease.
type Lease struct {
	Era Era
	ID  int64
}

// The errors of a Store.
const (
	// ErrCompacted means that the store has compacted changes after the requested
	// revision.
	ErrCompacted = errors.ConstError("the store has compacted the requested revision")
	// ErrRestored means that the store was restored from a backup after the requested
	// position, so that the changes since then are not known.
	ErrRestored = errors.ConstError("the store was restored after the requested position")
	// ErrOutdated means that an answer is from before a restore of the store that is
	// already known.
	ErrOutdated = errors.ConstError("the answer is from before the store was restored")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.ConstError("key or lease not found in the store")
	// ErrConflict means that an entry does not have the expected revision; the
	// call had no effect.
	ErrConflict = errors.ConstError("the entry does not have the expected revision")
	// ErrThrottled means that the rate limit is exceeded; the call had no effect.
	ErrThrottled = errors.ConstError("the store refused the call: rate limit exceeded")
	// ErrRefused means that the store refused the call; it had no effect.
	ErrRefused = errors.ConstError("the store refused the call")
	// ErrNotSent means that the store was not reached; the call had no effect.
	ErrNotSent = errors.ConstError("the store was not reached")
	// ErrCut means that the connection ended before the answer. The store may do so to a watch
	// that waits, also when nothing is wrong with it.
	ErrCut = errors.ConstError("the store closed the connection before it answered")
)

// Change is a written entry, or the deletion of an entry.
type Change struct {
	Key      string
	Value    []byte
	Revision Revision
	// Era is that of the answer in which the change was read; 0 if another VM relayed it.
	Era Era
	// Lease is the lease of the entry; zero for none, or if another VM relayed the
	// change.
	Lease   Lease
	Deleted bool
}

// Source is the source of changes: the store, or a VM that relays them.
type Source interface {
	// Range returns all current entries under a prefix, and their position.
	Range(ctx context.Context, prefix string) ([]Change, Position, error)
	// Watch waits for changes after a position. It returns them and the position
	// up to which they are complete, or no changes after wait. The error is ErrCompacted
	// or ErrRestored if all entries have to be read again.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Change, Position, error)
}

// Store is the platform's key-value store.
type Store interface {
	Source
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, l Lease) error
	Put(ctx context.Context, key string, value []byte, l Lease) error
}

// Handler receives entries and changes. Its methods are called from a single
// goroutine.
type Handler interface {
	// Restored is called before Replace if the store was restored from a backup since
	// the last call: entries may be older than before, or missing until they are written
	// again.
	Restored(now time.Time)
	// Replace replaces all entries.
	Replace(now time.Time, all []Change)
	// Apply applies changes in revision order.
	Apply(now time.Time, cs []Change)
	// Confirmed is called after each successful call, when the copy is current.
	Confirmed(now time.Time)
	// Outage is called after each failed call.
	Outage(now time.Time)
}

const (
	// defaultWatchTimeout is the default of Config.WatchTimeout.
	defaultWatchTimeout = 3 * time.Second
	// defaultBatchDelay is the default of Config.BatchDelay.
	defaultBatchDelay = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff between failed
	// calls. The store charges for every call, even during an outage.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Source  Source
	Prefix  string
	Handler Handler
	Events  event.Sink
	// WatchTimeout limits the duration of one watch; 0 means 3 s. The store may
	// lose a watch, as it does when it compacts its history. This is detected when
	// the watch times out, which must happen within the time that the tier has to
	// catch up after a disruption of the store.
	WatchTimeout time.Duration
	// BatchDelay returns the delay between changes and the next watch, so that a
	// burst of changes costs one call; nil means always 250 ms. Changes may take
	// seconds to take effect.
	BatchDelay func() time.Duration
}

// Follower keeps a handler's copy of the store up to date.
type Follower struct {
	c Config
	// at is the position of the copy, and readAll whether a full read is needed.
	at         Position
	readAll    bool
	retryDelay time.Duration
	down       bool
}

// New returns a Follower; see Run.
func New(c Config) *Follower {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.WatchTimeout == 0 {
		c.WatchTimeout = defaultWatchTimeout
	}
	if c.BatchDelay == nil {
		c.BatchDelay = func() time.Duration { return defaultBatchDelay }
	}
	return &Follower{c: c, readAll: true}
}

// Run follows the store until ctx is canceled.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, err := f.step(ctx)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored):
			f.c.Events.Emit(event.HistoryLost, f.c.Prefix, err.Error()+"; reading everything again")
			f.readAll = true
		case err != nil:
			f.failed(now, err)
			f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
			pause.Sleep(ctx, f.retryDelay/2+rand.N(f.retryDelay/2))
		default:
			f.reached(now)
			if changed {
				pause.Sleep(ctx, f.c.BatchDelay())
			}
		}
	}
}

// step makes one call, a full read or a watch, and reports whether it delivered
// entries to the handler.
func (f *Follower) step(ctx context.Context) (changed bool, err error) {
	if f.readAll {
		all, at, err := f.c.Source.Range(ctx, f.c.Prefix)
		if err != nil {
			return false, errors.Trace(err)
		}
		if (f.at != Position{}) && f.at.CheckNext(at) != nil {
			f.c.Handler.Restored(time.Now())
		}
		f.c.Handler.Replace(time.Now(), all)
		f.at, f.readAll = at, false
		return true, nil
	}
	cs, at, err := f.c.Source.Watch(ctx, f.c.Prefix, f.at, f.c.WatchTimeout)
	if err != nil {
		return false, errors.Trace(err)
	}
	if len(cs) > 0 {
		f.c.Handler.Apply(time.Now(), cs)
	}
	f.at = at
	return len(cs) > 0, nil
}

// failed handles a failed call.
func (f *Follower) failed(now time.Time, err error) {
	if !f.down {
		f.c.Events.Emit(event.PlatformDown, f.c.Prefix, err.Error())
	}
	f.down = true
	f.c.Handler.Outage(now)
}

// reached handles a successful call.
func (f *Follower) reached(now time.Time) {
	if f.down {
		f.c.Events.Emit(event.PlatformBack, f.c.Prefix, "")
	}
	f.down, f.retryDelay = false, 0
	f.c.Handler.Confirmed(now)
}
