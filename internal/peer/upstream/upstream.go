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

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/rpc"
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
	// checkWait is the wait of a watch after one that waited and was cut.
	checkWait = time.Millisecond
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
	// declinedCooldown after it declined one or did not know this VM yet. Up to half of it
	// is added as jitter.
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
	// last is the position of the last answer, and restored is set from when the store is
	// known to be of a later era until all entries have been read.
	last     follow.Position
	restored bool

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

// MaxCopyAge returns the age from which on a copy of the store is too old to be passed
// on, given the time by which a change has to be in force.
func MaxCopyAge(changeTime time.Duration) time.Duration {
	return time.Duration(maxAgeShare * float64(changeTime))
}

// notePosition records the position in an answer of a source, and reports when it is of
// another era than the last one.
func (u *Upstream) notePosition(at follow.Position, source string) {
	if u.last.Era != at.Era && u.last.Revision != 0 {
		u.c.Events.Emit(event.StoreRestored, source, fmt.Sprintf("%s, before that %s", at, u.last))
	}
	u.last = at
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
	if errors.Is(err, errDeclined) || errors.Is(err, rpc.ErrRefused) {
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
