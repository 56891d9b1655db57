// Package upstream follows the platform's store through another VM where there
// is one that does, and by itself where there is none.
//
// The store prices each call, and a tier of many VMs that all watch it asks the
// same question many times. So a few VMs of each failure domain watch the store
// and pass on what changes. Nothing depends on them: a VM whose relay does not
// answer in time asks the next one, and then the store, from the revision that
// it has reached.
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

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

const (
	// relayWait is how long one call waits at a relay. A relay that falls
	// silent is noticed after it, well within the time in which a
	// configuration has to be in force.
	relayWait = time.Second
	// relayTimeout bounds a call beside its wait: opening a connection to a VM
	// that has a tenth of a core takes some tens of milliseconds.
	relayTimeout = 400 * time.Millisecond
	// seedAfter is how long the first read waits for the store before another VM
	// is asked: a slow store answers within a quarter of a second.
	seedAfter = 700 * time.Millisecond
	// firstWait is how long the first watch waits after a relay was followed: it
	// tells whether the store can be reached.
	firstWait = 100 * time.Millisecond
	// avoidSilent is how long a relay is left alone that did not answer, and
	// avoidDeclined one that cannot reach the store or does not follow it.
	avoidSilent   = 5 * time.Second
	avoidDeclined = time.Second
)

// Dialer reaches other VMs. A *rpc.Dialer is one.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config sets up an Upstream.
type Config struct {
	// Store is the platform's store.
	Store follow.Source
	// Log keeps what was read, for VMs that follow through this one.
	Log *changelog.Log
	// Dialer reaches the relays.
	Dialer Dialer
	// Relays returns the addresses of the VMs to follow through, the first
	// choice first; none if this VM watches the store itself.
	Relays func() []string
	// Seeds are VMs that may know the store's entries when this one starts and
	// does not reach the store.
	Seeds  []string
	Events event.Sink
}

// Upstream is a follow.Source. It is used by one goroutine.
type Upstream struct {
	c Config
	// read is set once everything was read.
	read bool

	mu sync.Mutex
	// avoided tells until when relays are left alone.
	avoided map[string]time.Time
	// through is the relay that answered last; empty for the store.
	through string
}

var _ follow.Source = (*Upstream)(nil)

// New returns an upstream.
func New(c Config) *Upstream {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Upstream{c: c, avoided: map[string]time.Time{}}
}

// Through returns the address of the relay that answered last; empty if the
// store itself was asked.
func (u *Upstream) Through() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.through
}

// Range reads everything from the store itself. A VM that has just started and
// does not reach the store takes what another one knows, and goes on from there.
func (u *Upstream) Range(ctx context.Context, prefix string) ([]follow.Change, follow.Revision, error) {
	u.use("")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := make(chan reading, 1)
	go func() {
		var r reading
		r.all, r.at, r.err = u.c.Store.Range(ctx, prefix)
		answer <- r
	}()
	r := reading{err: errNoAnswer}
	t := time.NewTimer(seedAfter)
	defer t.Stop()
	select {
	case r = <-answer:
	case <-t.C:
	}
	if r.err != nil && !u.read {
		if s, ok := u.fromSeeds(ctx); ok {
			u.read = true
			u.c.Log.ResetRelayed(s.all, s.at)
			return s.all, s.at, nil
		}
	}
	if errors.Is(r.err, errNoAnswer) {
		r = <-answer
	}
	if r.err != nil {
		u.c.Log.MarkUnreachable()
		return nil, 0, errors.Trace(r.err)
	}
	u.read = true
	u.c.Log.Reset(r.all, r.at)
	return r.all, r.at, nil
}

// reading is what a full read of the store gave.
type reading struct {
	all []follow.Change
	at  follow.Revision
	err error
}

// errNoAnswer tells that the store has not answered yet.
const errNoAnswer = errors.ConstError("no answer yet")

// fromSeeds takes what one of the seeds knows of the store.
func (u *Upstream) fromSeeds(ctx context.Context) (reading, bool) {
	for _, addr := range u.c.Seeds {
		r := u.snapshot(ctx, addr)
		if r.err == nil {
			u.c.Events.Emit(event.SnapshotTaken, addr, fmt.Sprintf("%d entries at revision %d, as the store does not answer", len(r.all), r.at))
			return r, true
		}
	}
	return reading{}, false
}

// snapshot asks a VM for all entries.
func (u *Upstream) snapshot(ctx context.Context, addr string) reading {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := u.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return reading{err: errors.Trace(err)}
	}
	defer func() { _ = c.Close() }()
	out, err := relayrpc.NewDRPCRelayClient(c).Snapshot(ctx, &relayrpc.SnapshotRequest{})
	switch {
	case err != nil:
		return reading{err: errors.Trace(err)}
	case out.GetOutcome() != relayrpc.FollowReply_FOLLOWED:
		return reading{err: errDeclined}
	}
	return reading{all: decode(out.GetEntries()), at: follow.Revision(out.GetRevision())}
}

// Watch returns the changes after a revision, from a relay or from the store.
func (u *Upstream) Watch(ctx context.Context, prefix string, after follow.Revision, wait time.Duration) ([]follow.Change, follow.Revision, error) {
	for _, addr := range u.c.Relays() {
		if u.avoids(addr) {
			continue
		}
		cs, at, err := u.ask(ctx, addr, after)
		if err == nil {
			u.use(addr)
			u.c.Log.AppendRelayed(after, cs, at)
			return cs, at, nil
		}
		if ctx.Err() != nil {
			return nil, 0, errors.Trace(err)
		}
		u.avoid(addr, err)
	}
	if u.use("") {
		// Others may follow through this VM from now on, but not before the store
		// has answered.
		wait = min(wait, firstWait)
	}
	cs, at, err := u.c.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		u.c.Log.MarkUnreachable()
		return nil, 0, errors.Trace(err)
	}
	u.c.Log.Append(after, cs, at)
	return cs, at, nil
}

// errDeclined tells that a relay answered, but has nothing to tell.
const errDeclined = errors.ConstError("the relay does not follow the store")

// ask asks a relay.
func (u *Upstream) ask(ctx context.Context, addr string, after follow.Revision) ([]follow.Change, follow.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, relayWait+relayTimeout)
	defer cancel()
	c, err := u.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	out, err := relayrpc.NewDRPCRelayClient(c).Follow(ctx, &relayrpc.FollowRequest{After: int64(after), WaitMs: relayWait.Milliseconds()})
	switch {
	case err != nil:
		return nil, 0, errors.Trace(err)
	case out.GetOutcome() != relayrpc.FollowReply_FOLLOWED:
		return nil, 0, errors.WithType(errors.New(out.GetOutcome().String()), errDeclined)
	}
	return decode(out.GetChanges()), max(after, follow.Revision(out.GetRevision())), nil
}

// decode returns messages as changes. One without a key names nothing and is
// left out.
func decode(in []*relayrpc.Change) []follow.Change {
	cs := make([]follow.Change, 0, len(in))
	for _, c := range in {
		if c.GetKey() != "" {
			cs = append(cs, follow.Change{Key: c.GetKey(), Value: c.GetValue(), Revision: follow.Revision(c.GetRevision()), Deleted: c.GetDeleted()})
		}
	}
	return cs
}

// avoids tells whether a relay is left alone.
func (u *Upstream) avoids(addr string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.avoided[addr])
}

// avoid leaves a relay alone for a while, not for the same time on all VMs.
func (u *Upstream) avoid(addr string, why error) {
	d := avoidSilent
	if errors.Is(why, errDeclined) {
		d = avoidDeclined
	}
	d += rand.N(d / 2)
	u.c.Events.Emit(event.RelayLost, addr, why.Error()+"; left alone for "+d.Round(time.Millisecond).String())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.avoided[addr] = time.Now().Add(d)
}

// use notes whom the VM follows, and tells whether that has changed.
func (u *Upstream) use(addr string) bool {
	u.mu.Lock()
	old := u.through
	u.through = addr
	u.mu.Unlock()
	if old == addr {
		return false
	}
	u.c.Events.Emit(event.RelayChanged, addr, "followed before: "+orStore(old))
	return true
}

// orStore names what is followed.
func orStore(addr string) string {
	if addr == "" {
		return "the store"
	}
	return addr
}
