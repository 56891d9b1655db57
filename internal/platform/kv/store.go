package kv

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"egrethaven/internal/state/follow"
)

// Status is how a call to the key-value service ended.
type Status int

// The statuses of a call.
const (
	// Done: the call took effect and its answer is here.
	Done Status = iota
	// Conflict: the expected revision was not the current one; no effect.
	Conflict
	// Absent: the key does not exist.
	Absent
	// Unknown: the answer was lost; a write may have taken effect.
	Unknown
	// Down: the service was not reached or refused the call; no effect.
	Down
	// TooLarge: the value is above MaxValue; no effect.
	TooLarge
)

// MaxValue is the largest value that the service holds, in bytes.
const MaxValue = 1 << 20

// Entry is a key with its value. Revision is the service-wide number of the
// write that set it; 0 means that the key does not exist.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Lease is a grant that lapses unless it is kept alive. A holder that was
// paused may believe in a lease that has lapsed, so nothing that would be
// wrong when done twice rests on one.
type Lease struct {
	ID string `json:"id"`
	// TTLMS is the time to live, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// number returns the lease as the store names it; 0 for none.
func (l Lease) number() (follow.Lease, error) {
	if l.ID == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(l.ID, 10, 64)
	return follow.Lease(n), errors.Annotatef(err, "lease %q", l.ID)
}

// Store is the platform's key-value service. Client implements it over HTTP;
// tests may put a small fake in its place.
type Store interface {
	// Get reads a key: Done, Absent or Down.
	Get(ctx context.Context, key string) (Entry, Status)
	// Swap writes value when the key's revision is expect (0: absent) and
	// returns the entry now current, where known.
	Swap(ctx context.Context, key string, expect uint64, value []byte) (Entry, Status)
	// Delete removes the key when its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) Status
	// Watch waits until the key's revision is above after. It returns Done
	// with the entry, Absent when the wait ended without a change, or Down.
	Watch(ctx context.Context, key string, after uint64) (Entry, Status)
	// List returns the keys that begin with prefix, without their values.
	List(ctx context.Context, prefix string) ([]Entry, Status)
	// Grant creates a lease.
	Grant(ctx context.Context, ttlMS int64) (Lease, Status)
	// SwapLeased is Swap of a key that vanishes when the lease lapses.
	SwapLeased(ctx context.Context, key string, expect uint64, value []byte, l Lease) (Entry, Status)
	// KeepAlive renews a lease: Done, Absent when it has lapsed, or Down.
	KeepAlive(ctx context.Context, l Lease) Status
}
