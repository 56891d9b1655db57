package idempotency

import (
	"bytes"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"egrethaven/internal/peer/claimrpc"
)

const (
	// idBytes is the length of keys and attempt IDs.
	idBytes = 16
	// maxDetailBytes bounds the detail text stored with an outcome.
	maxDetailBytes = 256
	// entryOverheadBytes is the list overhead of an entry in an encoded bucket.
	entryOverheadBytes = 4
	// countFieldBytes is the size of the count field of an encoded bucket.
	countFieldBytes = 6
	// outcomeReserveBytes is reserved for the outcome of each claim.
	outcomeReserveBytes = 64
)

// bucket is the decoded value of one store key. Entries are replaced but never
// modified, so clones may share them.
type bucket struct {
	entries map[key]*claimrpc.Entry
	// size is an upper bound of the encoded size with the space reserved for
	// outcomes, in bytes.
	size int
}

// clone returns a copy whose map can be modified.
func (b bucket) clone() bucket {
	m := make(map[key]*claimrpc.Entry, len(b.entries)+1)
	for k, e := range b.entries {
		m[k] = e
	}
	return bucket{entries: m, size: b.size}
}

// entrySize returns what an entry adds to the size of a bucket, in bytes.
func entrySize(e *claimrpc.Entry) int {
	n := proto.Size(e) + entryOverheadBytes
	if e.State == claimrpc.State_CLAIMED {
		n += outcomeReserveBytes
	}
	return n
}

// put sets the entry of a key.
func (b *bucket) put(k key, e *claimrpc.Entry) {
	if old := b.entries[k]; old != nil {
		b.size -= entrySize(old)
	}
	b.entries[k] = e
	b.size += entrySize(e)
}

// fits reports whether the bucket stays within maxBytes if the entry of k is
// set to e.
func (b *bucket) fits(k key, e *claimrpc.Entry, maxBytes int) bool {
	n := b.size + countFieldBytes + entrySize(e)
	if old := b.entries[k]; old != nil {
		n -= entrySize(old)
	}
	return n <= maxBytes
}

// validity is the condition under which the verdict on an op holds. A higher
// value is a stronger condition.
type validity int

const (
	// alwaysValid: no change, and the verdict holds even if the stored bucket
	// has changed since it was read.
	alwaysValid validity = iota
	// validIfCurrent: no change, and the verdict holds only if the stored bucket
	// has not changed since it was read.
	validIfCurrent
	// validIfWritten: the verdict holds once the changed bucket is written.
	validIfWritten
)

// apply applies one op to the bucket. Applying it again gives the same verdict,
// with alwaysValid.
func (b *bucket) apply(o *claimrpc.Op, maxBytes int) (*claimrpc.Result, validity) {
	k := key(o.Entry.Key)
	old := b.entries[k]
	if o.Action == claimrpc.Action_CLAIM {
		v, f := b.claim(k, old, o.Entry, maxBytes)
		r := &claimrpc.Result{Verdict: v}
		if v == claimrpc.Verdict_REPEATED {
			r.Entry = old
		}
		return r, f
	}
	r := &claimrpc.Result{Verdict: claimrpc.Verdict_STORED}
	if o.Action == claimrpc.Action_RECORD {
		return r, b.record(k, old, o.Entry, maxBytes)
	}
	return r, b.abandon(k, old, o.Entry, maxBytes)
}

// claim assigns the key to the attempt of e unless another attempt holds it.
func (b *bucket) claim(k key, old, e *claimrpc.Entry, maxBytes int) (claimrpc.Verdict, validity) {
	available := old == nil || old.State == claimrpc.State_ABANDONED
	switch {
	case sameAttempt(old, e) && old.State == claimrpc.State_CLAIMED:
		return claimrpc.Verdict_GRANTED, alwaysValid
	case sameAttempt(old, e) && old.State == claimrpc.State_ABANDONED:
		// The claimer gave up before this op arrived.
		return claimrpc.Verdict_STORE_DOWN, alwaysValid
	case available && !b.fits(k, e, maxBytes):
		return claimrpc.Verdict_FULL, alwaysValid
	case available:
		b.put(k, e)
		return claimrpc.Verdict_GRANTED, validIfWritten
	case old.Fingerprint != e.Fingerprint:
		return claimrpc.Verdict_REUSED, validIfCurrent
	case old.State == claimrpc.State_DONE:
		return claimrpc.Verdict_REPEATED, alwaysValid
	default:
		return claimrpc.Verdict_TAKEN, validIfCurrent
	}
}

// record sets the outcome of a claim. The detail text is dropped if it does
// not fit.
func (b *bucket) record(k key, old, e *claimrpc.Entry, maxBytes int) validity {
	if !sameAttempt(old, e) {
		return validIfCurrent
	}
	if old.State != claimrpc.State_CLAIMED {
		return alwaysValid
	}
	if !b.fits(k, e, maxBytes) {
		e = proto.CloneOf(e)
		e.Detail = ""
	}
	b.put(k, e)
	return validIfWritten
}

// abandon frees the key. If the claim has not arrived yet, the abandoned entry
// keeps it from being granted later.
func (b *bucket) abandon(k key, old, e *claimrpc.Entry, maxBytes int) validity {
	switch {
	case old == nil && b.fits(k, e, maxBytes), sameAttempt(old, e) && old.State == claimrpc.State_CLAIMED:
		b.put(k, e)
		return validIfWritten
	case sameAttempt(old, e):
		return alwaysValid
	default:
		return validIfCurrent
	}
}

// sameAttempt reports whether two entries belong to the same attempt.
func sameAttempt(old, e *claimrpc.Entry) bool {
	return old != nil && bytes.Equal(old.Attempt, e.Attempt)
}

// encode returns the bucket as stored in the key-value service.
func (b bucket) encode() ([]byte, error) {
	m := &claimrpc.Bucket{Entries: make([]*claimrpc.Entry, 0, len(b.entries)), Count: uint32(len(b.entries))}
	for _, e := range b.entries {
		m.Entries = append(m.Entries, e)
	}
	v, err := proto.Marshal(m)
	return v, errors.Trace(err)
}

// decode parses a stored bucket. It returns an error for a corrupt one.
func decode(v []byte) (bucket, error) {
	var m claimrpc.Bucket
	if err := proto.Unmarshal(v, &m); err != nil {
		return bucket{}, errors.Annotate(err, "decode bucket")
	}
	// A bucket is never written without entries, so an empty value is corrupt.
	if len(m.Entries) == 0 || int(m.Count) != len(m.Entries) {
		return bucket{}, errors.NotValidf("bucket of %d entries with a count of %d", len(m.Entries), m.Count)
	}
	b := bucket{entries: make(map[key]*claimrpc.Entry, len(m.Entries))}
	for _, e := range m.Entries {
		if err := validateEntry(e); err != nil {
			return bucket{}, errors.Annotate(err, "decode bucket")
		}
		if b.entries[key(e.Key)] != nil {
			return bucket{}, errors.NotValidf("bucket with a duplicate key")
		}
		b.put(key(e.Key), e)
	}
	return b, nil
}

// validateEntry returns an error if an entry is malformed.
func validateEntry(e *claimrpc.Entry) error {
	if e == nil || len(e.Key) != idBytes || len(e.Attempt) != idBytes {
		return errors.NotValidf("entry without a 16-byte key and attempt id")
	}
	if e.State < claimrpc.State_CLAIMED || e.State > claimrpc.State_DONE {
		return errors.NotValidf("entry in state %d", e.State)
	}
	if len(e.Detail) > maxDetailBytes {
		return errors.NotValidf("entry with %d bytes of detail", len(e.Detail))
	}
	return nil
}
