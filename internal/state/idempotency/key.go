package idempotency

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
)

// keyTextLength is the length of a key in its text form, in characters.
const keyTextLength = 36

// key is an idempotency key.
type key uuid.UUID

// parseKey parses a UUIDv7 in its usual text form.
func parseKey(s string) (key, error) {
	if len(s) != keyTextLength {
		return key{}, errors.NotValidf("idempotency key of %d characters", len(s))
	}
	u, err := uuid.Parse(s)
	if err != nil {
		return key{}, errors.NotValidf("idempotency key")
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return key{}, errors.NotValidf("idempotency key that is not a UUIDv7")
	}
	return key(u), nil
}

// timestamp returns the time encoded in the key.
func (k key) timestamp() time.Time {
	ms := int64(0)
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// bucketID identifies a bucket.
type bucketID struct {
	// slice is the number of the time slice, counted from 1970.
	slice int64
	hash  uint32
}

// bucketOf returns the bucket that holds k.
func bucketOf(k key, slice time.Duration, hashes int) bucketID {
	return bucketID{
		slice: k.timestamp().UnixMilli() / slice.Milliseconds(),
		hash:  uint32(xxhash.Sum64(k[:]) % uint64(hashes)),
	}
}

// hour returns the hour, counted from 1970, in which the time slice begins.
func (id bucketID) hour(slice time.Duration) int64 {
	return id.slice * slice.Milliseconds() / time.Hour.Milliseconds()
}

// hourPrefix returns the common prefix of the store keys of an hour's buckets.
func hourPrefix(hour int64) string { return fmt.Sprintf("once/%08d/", hour) }

// storeKey returns the bucket's key in the key-value service.
func (id bucketID) storeKey(slice time.Duration) string {
	return fmt.Sprintf("%s%012d-%04d", hourPrefix(id.hour(slice)), id.slice, id.hash)
}

// rendezvousScore returns the rendezvous-hashing score of a member for a store
// key or prefix. The member with the highest score owns it.
func rendezvousScore(member, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{math.MaxUint8})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
