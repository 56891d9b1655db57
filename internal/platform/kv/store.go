package kv

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"egrethaven/internal/state/follow"
)

// Status is the outcome of a call to the key-value service.
type Status int

// Outcomes of a call.
const (
	// OK: the call took effect.
	OK Status = iota
	// Conflict: the expected revision differs from the current one; no effect.
	Conflict
	// NotFound: the key or the lease does not exist; or a watch ended without a
	// change.
	NotFound
	// Unknown: the answer was lost; a write may have taken effect.
	Unknown
	// Unavailable: the service was not reached or refused the call, or the call was not
	// sent; no effect.
	Unavailable
	// TooLarge: the value is larger than MaxValueBytes; no effect.
	TooLarge
)

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

// Entry is a key with its value. Revision is the service-wide revision of the last
// write to the key, 0 if the key does not exist. Revisions of a service that was restored
// from a backup are greater than all that it returned before.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Lease is a lease that expires unless it is kept alive. A process that was paused may
// still act on an expired lease, so a lease must not be used for mutual exclusion.
type Lease struct {
	ID string `json:"id"`
	// TTLMS is the time to live in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// leaseFormat is the format of Lease.ID: the era in which the lease was granted and its
// number.
const leaseFormat = "%d-%d"

// parseID returns the lease ID of the store, zero for the zero Lease.
func (l Lease) parseID() (follow.Lease, error) {
	if l.ID == "" {
		return follow.Lease{}, nil
	}
	var id follow.Lease
	_, err := fmt.Sscanf(l.ID, leaseFormat, &id.Era, &id.ID)
	return id, errors.Annotatef(err, "parsing the ID of lease %q", l.ID)
}

// Store is the platform's key-value service. Client implements it over the network, and
// package fakekv in memory for tests.
type Store interface {
	// Get returns an entry, with status OK, NotFound or Unavailable.
	Get(ctx context.Context, key string) (Entry, Status)
	// Swap writes value if the key's current revision is expect, where 0 means
	// that the key does not exist. It returns the current entry if the status is
	// OK or Conflict.
	Swap(ctx context.Context, key string, expect uint64, value []byte) (Entry, Status)
	// Delete removes the key if its current revision is expect.
	Delete(ctx context.Context, key string, expect uint64) Status
	// Watch waits until the key's revision is higher than after. It returns OK
	// with the entry, NotFound if the wait ended without a change or the key was
	// deleted, or Unavailable.
	Watch(ctx context.Context, key string, after uint64) (Entry, Status)
	// List returns the keys that start with prefix, without values.
	List(ctx context.Context, prefix string) ([]Entry, Status)
	// Grant creates a lease with a time to live in milliseconds.
	Grant(ctx context.Context, ttlMS int64) (Lease, Status)
	// SwapLeased is like Swap, but the key is deleted when the lease expires. It
	// returns NotFound if the lease has already expired.
	SwapLeased(ctx context.Context, key string, expect uint64, value []byte, l Lease) (Entry, Status)
	// KeepAlive renews a lease. It returns NotFound if the lease has expired.
	KeepAlive(ctx context.Context, l Lease) Status
}
