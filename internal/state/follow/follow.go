// Package follow keeps a copy of the platform store's entries up to date.
//
// A Follower reads everything under a prefix once and then watches for
// changes. Each watch continues where the last one ended, so no change is
// missed; when the store no longer knows the changes since, everything is
// read again. While the store is out of reach the copy stays as it is, and
// the handler is told.
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

// Revision numbers the changes of the store. 0 is before the first.
type Revision int64

// Lease names a lease; its keys vanish when it ends.
type Lease int64

// The errors of a Store that callers tell apart.
const (
	// ErrCompacted: the changes since the revision are no longer known.
	ErrCompacted = errors.ConstError("the store has dropped its history")
	// ErrNotFound: the key or lease does not exist.
	ErrNotFound = errors.ConstError("the store knows no such key or lease")
	// ErrConflict: an entry has another revision than was expected; nothing was
	// done.
	ErrConflict = errors.ConstError("the entry has another revision")
	// ErrThrottled: too many calls are made; nothing was done.
	ErrThrottled = errors.ConstError("the store refused the call for its rate")
	// ErrRefused: the store refused the call; nothing was done.
	ErrRefused = errors.ConstError("the store refused the call")
	// ErrNotSent: the store was not reached; nothing was done.
	ErrNotSent = errors.ConstError("the store was not reached")
)

// Change is an entry as it was written, or its removal.
type Change struct {
	Key      string
	Value    []byte
	Revision Revision
	// Lease is the lease with which the entry vanishes; 0 for none. Changes that
	// another VM passed on do not tell it.
	Lease   Lease
	Deleted bool
}

// Source is what can be followed: the store, or a VM that passes its changes
// on.
type Source interface {
	// Range reads all entries under a prefix, up to date.
	Range(ctx context.Context, prefix string) ([]Change, Revision, error)
	// Watch waits for changes after a revision; none if the wait is over.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// Store is the part of the platform's store that is used.
type Store interface {
	Source
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, l Lease) error
	Put(ctx context.Context, key string, value []byte, l Lease) error
}

// Handler takes what was read. Its methods are called by one goroutine.
type Handler interface {
	// Replace takes all entries.
	Replace(now time.Time, all []Change)
	// Apply takes changes in the order in which they were made.
	Apply(now time.Time, cs []Change)
	// Confirmed tells that the store was reached and the copy is current.
	Confirmed(now time.Time)
	// Outage tells that the store could not be reached.
	Outage(now time.Time)
}

const (
	// defaultWait stands for Config.Wait.
	defaultWait = 3 * time.Second
	// defaultGather stands for Config.Gather.
	defaultGather = 250 * time.Millisecond
	// retryFirst and retryMost bound the wait between failed calls, which
	// doubles. The store prices every call, also while it is down.
	retryFirst = 50 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// Config sets up a Follower.
type Config struct {
	Source  Source
	Prefix  string
	Handler Handler
	Events  event.Sink
	// WatchTimeout is how long one watch waits at the store; 0 means 3 s. A watch that
	// the store has forgotten, as it does when it drops its history, is
	// noticed after it at the latest, so it has to end within the time that
	// the tier has to catch up after a disruption of the store.
	WatchTimeout time.Duration
	// BatchDelay returns how long changes are collected before the next watch, so
	// that a burst of them costs one call; nil is 250 ms always. Changes have
	// seconds to take effect.
	BatchDelay func() time.Duration
}

// Follower keeps a copy up to date.
type Follower struct {
	c Config
	// at is the revision of the copy; 0 before the first read.
	at    Revision
	retry time.Duration
	down  bool
}

// New returns a follower that has read nothing.
func New(c Config) *Follower {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.WatchTimeout == 0 {
		c.WatchTimeout = defaultWait
	}
	if c.BatchDelay == nil {
		c.BatchDelay = func() time.Duration { return defaultGather }
	}
	return &Follower{c: c}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, err := f.step(ctx)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrCompacted):
			f.c.Events.Emit(event.HistoryLost, f.c.Prefix, "reading everything again")
			f.at = 0
		case err != nil:
			f.failed(now, err)
			f.retry = min(max(2*f.retry, retryFirst), retryMost)
			pause.Sleep(ctx, f.retry/2+rand.N(f.retry/2))
		default:
			f.reached(now)
			if changed {
				pause.Sleep(ctx, f.c.BatchDelay())
			}
		}
	}
}

// step makes one call: the first read, or a watch.
func (f *Follower) step(ctx context.Context) (changed bool, err error) {
	if f.at == 0 {
		all, at, err := f.c.Source.Range(ctx, f.c.Prefix)
		if err != nil {
			return false, errors.Trace(err)
		}
		f.c.Handler.Replace(time.Now(), all)
		f.at = at
		return true, nil
	}
	cs, at, err := f.c.Source.Watch(ctx, f.c.Prefix, f.at, f.c.WatchTimeout)
	if err != nil {
		return false, errors.Trace(err)
	}
	if len(cs) > 0 {
		f.c.Handler.Apply(time.Now(), cs)
	}
	f.at = max(f.at, at)
	return len(cs) > 0, nil
}

// failed notes that the store was not reached.
func (f *Follower) failed(now time.Time, err error) {
	if !f.down {
		f.c.Events.Emit(event.PlatformDown, f.c.Prefix, err.Error())
	}
	f.down = true
	f.c.Handler.Outage(now)
}

// reached notes that the store was reached.
func (f *Follower) reached(now time.Time) {
	if f.down {
		f.c.Events.Emit(event.PlatformBack, f.c.Prefix, "")
	}
	f.down, f.retry = false, 0
	f.c.Handler.Confirmed(now)
}
