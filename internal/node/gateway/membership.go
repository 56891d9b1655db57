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
	// leaseTTL is how long a VM stays registered after its last renewal.
	leaseTTL = 30 * time.Second
	// renewInterval is short enough that two renewals may fail.
	renewInterval = 9 * time.Second
	// registerRetryInterval is the mean delay after a failed call.
	registerRetryInterval = time.Second
	// restoredSpread is the time over which VMs register again after the store was
	// restored. VMs whose keys are missing are refused by their relays until then.
	restoredSpread = 500 * time.Millisecond
)

// membershipConfig holds the settings and dependencies of a membership.
type membershipConfig struct {
	Store follow.Store
	Key   string
	// Value is the registration to write.
	Value []byte
	// PreviousLease is the lease of a registration from before a restart; zero
	// if there is none.
	PreviousLease follow.Lease
	// Restored receives a value after the store was restored, which loses leases.
	Restored <-chan struct{}
	Events   event.Sink
}

// membership keeps this VM's key in the store. VMs count each other by these keys
// to divide connections and extra sends; nothing else depends on them.
type membership struct {
	c     membershipConfig
	lease follow.Lease
}

// newMembership returns a membership that does nothing before Run.
func newMembership(c membershipConfig) *membership { return &membership{c: c, lease: c.PreviousLease} }

// Run registers the VM and renews its lease until ctx is canceled.
func (m *membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := renewInterval
		if err := m.step(ctx); err != nil && ctx.Err() == nil {
			m.c.Events.Emit(event.LeaseLost, m.c.Key, err.Error())
			d = registerRetryInterval/2 + rand.N(registerRetryInterval)
		}
		m.wait(ctx, d)
	}
}

// wait returns after d, or soon after a restore of the store, whose leases are lost.
func (m *membership) wait(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-m.c.Restored:
		m.c.Events.Emit(event.LeaseLost, m.c.Key, "the store was restored; registering again")
		m.lease = follow.Lease{}
		pause.Sleep(ctx, rand.N(restoredSpread))
	case <-ctx.Done():
	}
}

// step renews the lease. If there is none, or it has expired, it registers the VM
// with a new lease.
func (m *membership) step(ctx context.Context) error {
	if m.lease.ID != 0 {
		err := m.c.Store.KeepAlive(ctx, m.lease)
		if !errors.Is(err, follow.ErrNotFound) {
			return errors.Annotate(err, "renewing the lease of the VM's key")
		}
		m.lease = follow.Lease{}
	}
	l, err := m.c.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return errors.Annotate(err, "requesting a lease for the VM's key")
	}
	if err := m.c.Store.Put(ctx, m.c.Key, m.c.Value, l); err != nil {
		return errors.Annotate(err, "writing the VM's key")
	}
	m.lease = l
	return nil
}
