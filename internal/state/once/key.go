package once

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
)

// keyLength is the length of a key in its text form.
const keyLength = 36

// key is an idempotency key.
type key uuid.UUID

// parseKey reads a UUIDv7 in its usual text form.
func parseKey(s string) (key, error) {
	if len(s) != keyLength {
		return key{}, errors.NotValidf("idempotency key of %d characters", len(s))
	}
	u, err := uuid.Parse(s)
	if err != nil {
		return key{}, errors.NotValidf("idempotency key")
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return key{}, errors.NotValidf("idempotency key that is no UUIDv7")
	}
	return key(u), nil
}

// made is the time within the key.
func (k key) made() time.Time {
	ms := int64(0)
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// place identifies a bucket.
type place struct {
	// slice is the number of the slice of time since 1970.
	slice int64
	hash  uint32
}

// locate tells which bucket holds k.
func locate(k key, slice time.Duration, hashes int) place {
	return place{
		slice: k.made().UnixMilli() / slice.Milliseconds(),
		hash:  uint32(xxhash.Sum64(k[:]) % uint64(hashes)),
	}
}

// hour is the number of the hour since 1970 in which p begins.
func (p place) hour(slice time.Duration) int64 {
	return p.slice * slice.Milliseconds() / time.Hour.Milliseconds()
}

// prefix begins the names of all buckets of an hour.
func prefix(hour int64) string { return fmt.Sprintf("once/%08d/", hour) }

// name is the bucket's key in the service.
func (p place) name(slice time.Duration) string {
	return fmt.Sprintf("%s%012d-%04d", prefix(p.hour(slice)), p.slice, p.hash)
}

// rank orders candidates for the ownership of name: the highest wins.
func rank(member, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{math.MaxUint8})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
