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
	// keyLostSpread is the time over which VMs register again after the store has deleted
	// their keys. All leases may have ended at once, and the store limits writes.
	keyLostSpread = 2 * time.Second
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
	// KeyLost receives a value after the store has deleted the key.
	KeyLost <-chan struct{}
	Events  event.Sink
}

// membership keeps this VM's key in the store. VMs count each other by these keys
// to divide connections and extra sends; nothing else depends on them.
type membership struct {
	c     membershipConfig
	lease follow.Lease
	// registered is set once the key was written under the lease.
	registered bool
}

// newMembership returns a membership that does nothing before Run.
func newMembership(c membershipConfig) *membership {
	return &membership{c: c, lease: c.PreviousLease, registered: c.PreviousLease.ID != 0}
}

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

// wait returns after d, or soon after a restore of the store, whose leases are lost, or the
// loss of the key.
func (m *membership) wait(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-m.c.Restored:
		m.c.Events.Emit(event.LeaseLost, m.c.Key, "the store was restored; registering again")
		m.lease, m.registered = follow.Lease{}, false
		pause.Sleep(ctx, rand.N(restoredSpread))
	case <-m.c.KeyLost:
		m.c.Events.Emit(event.LeaseLost, m.c.Key, "the key was deleted; registering again")
		m.registered = false
		pause.Sleep(ctx, rand.N(keyLostSpread))
	case <-ctx.Done():
	}
}

// step renews the lease, or writes the key if that is not known to be there. If there is no
// lease, or it has expired, it requests a new one first.
func (m *membership) step(ctx context.Context) error {
	if m.lease.ID != 0 {
		err := m.renew(ctx)
		if !errors.Is(err, follow.ErrNotFound) {
			return err
		}
		m.lease, m.registered = follow.Lease{}, false
	}
	l, err := m.c.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return errors.Annotate(err, "requesting a lease for the VM's key")
	}
	m.lease = l
	return m.write(ctx)
}

// renew renews the lease, or writes the key under it. The error is follow.ErrNotFound if the
// lease has expired.
func (m *membership) renew(ctx context.Context) error {
	if !m.registered {
		return m.write(ctx)
	}
	return errors.Annotate(m.c.Store.KeepAlive(ctx, m.lease), "renewing the lease of the VM's key")
}

// write writes the key under the lease. If the answer is lost, the store may make the write
// later, so it has to be repeated under the same lease.
func (m *membership) write(ctx context.Context) error {
	err := m.c.Store.Put(ctx, m.c.Key, m.c.Value, m.lease)
	m.registered = err == nil
	return errors.Annotate(err, "writing the VM's key")
}
