package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/state/follow"
)

const (
	// leaseTTL is how long a VM counts that no longer renews its lease.
	leaseTTL = 30 * time.Second
	// renewInterval leaves room for two failed renewals.
	renewInterval = 9 * time.Second
	// registerRetry is the wait after a failed call, about a second.
	registerRetry = time.Second
)

// membershipConfig sets up a membership.
type membershipConfig struct {
	Store follow.Store
	Key   string
	// Value is what is registered, and Lease what it was registered with before
	// a restart, 0 if it was not.
	Value  []byte
	Lease  follow.Lease
	Events event.Sink
}

// membership keeps this VM's key in the store, by which VMs count each other.
// Nothing but the division of connections and of extra sends rests on it.
type membership struct {
	c     membershipConfig
	lease follow.Lease
}

// newMembership returns a membership that is not registered.
func newMembership(c membershipConfig) *membership { return &membership{c: c, lease: c.Lease} }

// Run registers and renews until ctx ends.
func (m *membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := renewInterval
		if err := m.step(ctx); err != nil && ctx.Err() == nil {
			m.c.Events.Emit(event.LeaseLost, m.c.Key, err.Error())
			d = registerRetry/2 + rand.N(registerRetry)
		}
		pause.Sleep(ctx, d)
	}
}

// step renews the lease, or registers if there is none.
func (m *membership) step(ctx context.Context) error {
	if m.lease != 0 {
		err := m.c.Store.KeepAlive(ctx, m.lease)
		if !errors.Is(err, follow.ErrNotFound) {
			return errors.Annotate(err, "renewing the lease")
		}
		m.lease = 0
	}
	l, err := m.c.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return errors.Annotate(err, "asking for a lease")
	}
	if err := m.c.Store.Put(ctx, m.c.Key, m.c.Value, l); err != nil {
		return errors.Annotate(err, "registering")
	}
	m.lease = l
	return nil
}
