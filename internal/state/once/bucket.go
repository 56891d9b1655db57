package once

import (
	"bytes"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"egrethaven/internal/peer/claimrpc"
)

const (
	// idLength is the length of keys and attempt ids, in bytes.
	idLength = 16
	// maxDetail bounds the words kept with an outcome, in bytes.
	maxDetail = 256
	// entryOverhead is what the list of a bucket adds to an entry, in bytes.
	entryOverhead = 4
	// countRoom is what the count of a bucket takes, in bytes.
	countRoom = 6
	// outcomeRoom is kept free for the outcome of each claim, in bytes.
	outcomeRoom = 64
)

// bucket is the content of one value. Entries are never changed, only
// replaced, so a copy may share them.
type bucket struct {
	entries map[key]*claimrpc.Entry
	// size is an upper bound of the encoded size, with room for outcomes.
	size int
}

// clone returns a copy that can be changed.
func (b bucket) clone() bucket {
	m := make(map[key]*claimrpc.Entry, len(b.entries)+1)
	for k, e := range b.entries {
		m[k] = e
	}
	return bucket{entries: m, size: b.size}
}

// room is what an entry counts for in the size of a bucket.
func room(e *claimrpc.Entry) int {
	n := proto.Size(e) + entryOverhead
	if e.State == claimrpc.State_CLAIMED {
		n += outcomeRoom
	}
	return n
}

// put sets the entry of a key.
func (b *bucket) put(k key, e *claimrpc.Entry) {
	if old := b.entries[k]; old != nil {
		b.size -= room(old)
	}
	b.entries[k] = e
	b.size += room(e)
}

// fits tells whether the entry of a key may be set under a limit.
func (b *bucket) fits(k key, e *claimrpc.Entry, limit int) bool {
	n := b.size + countRoom + room(e)
	if old := b.entries[k]; old != nil {
		n -= room(old)
	}
	return n <= limit
}

// effect tells what an op did to a bucket.
type effect int

const (
	// settled: no change, and the verdict holds whatever came since the
	// bucket was read.
	settled effect = iota
	// current: no change, and the verdict holds only if the bucket is what
	// the service has now.
	current
	// changed: the verdict holds once the bucket is written.
	changed
)

// apply carries out one op. Applying it again to the result is settled with
// the same verdict.
func (b *bucket) apply(o *claimrpc.Op, limit int) (*claimrpc.Result, effect) {
	k := key(o.Entry.Key)
	old := b.entries[k]
	if o.Action == claimrpc.Action_CLAIM {
		v, f := b.claim(k, old, o.Entry, limit)
		r := &claimrpc.Result{Verdict: v}
		if v == claimrpc.Verdict_REPEATED {
			r.Entry = old
		}
		return r, f
	}
	r := &claimrpc.Result{Verdict: claimrpc.Verdict_STORED}
	if o.Action == claimrpc.Action_RECORD {
		return r, b.record(k, old, o.Entry, limit)
	}
	return r, b.abandon(k, old, o.Entry, limit)
}

// claim gives the key to an attempt if no other holds it.
func (b *bucket) claim(k key, old, e *claimrpc.Entry, limit int) (claimrpc.Verdict, effect) {
	free := old == nil || old.State == claimrpc.State_ABANDONED
	switch {
	case mine(old, e) && old.State == claimrpc.State_CLAIMED:
		return claimrpc.Verdict_GRANTED, settled
	case mine(old, e) && old.State == claimrpc.State_ABANDONED:
		// Its claimer gave up before this op arrived.
		return claimrpc.Verdict_STORE_DOWN, settled
	case free && !b.fits(k, e, limit):
		return claimrpc.Verdict_FULL, settled
	case free:
		b.put(k, e)
		return claimrpc.Verdict_GRANTED, changed
	case old.Fingerprint != e.Fingerprint:
		return claimrpc.Verdict_REUSED, current
	case old.State == claimrpc.State_DONE:
		return claimrpc.Verdict_REPEATED, settled
	default:
		return claimrpc.Verdict_TAKEN, current
	}
}

// record sets the outcome of a claim; its words are dropped if they don't fit.
func (b *bucket) record(k key, old, e *claimrpc.Entry, limit int) effect {
	if !mine(old, e) {
		return current
	}
	if old.State != claimrpc.State_CLAIMED {
		return settled
	}
	if !b.fits(k, e, limit) {
		e = proto.CloneOf(e)
		e.Detail = ""
	}
	b.put(k, e)
	return changed
}

// abandon frees the key. Where the claim has not arrived so far, the mark
// keeps it from taking the key when it does.
func (b *bucket) abandon(k key, old, e *claimrpc.Entry, limit int) effect {
	switch {
	case old == nil && b.fits(k, e, limit), mine(old, e) && old.State == claimrpc.State_CLAIMED:
		b.put(k, e)
		return changed
	case mine(old, e):
		return settled
	default:
		return current
	}
}

// mine tells whether two entries belong to one attempt.
func mine(old, e *claimrpc.Entry) bool {
	return old != nil && bytes.Equal(old.Attempt, e.Attempt)
}

// encode returns the bucket's value.
func (b bucket) encode() ([]byte, error) {
	m := &claimrpc.Bucket{Entries: make([]*claimrpc.Entry, 0, len(b.entries)), Count: uint32(len(b.entries))}
	for _, e := range b.entries {
		m.Entries = append(m.Entries, e)
	}
	v, err := proto.Marshal(m)
	return v, errors.Trace(err)
}

// decode reads a bucket's value.
func decode(v []byte) (bucket, error) {
	var m claimrpc.Bucket
	if err := proto.Unmarshal(v, &m); err != nil {
		return bucket{}, errors.Annotate(err, "bucket")
	}
	// No bucket is written without entries, so an empty value is no bucket.
	if len(m.Entries) == 0 || int(m.Count) != len(m.Entries) {
		return bucket{}, errors.NotValidf("bucket of %d entries with a count of %d", len(m.Entries), m.Count)
	}
	b := bucket{entries: make(map[key]*claimrpc.Entry, len(m.Entries))}
	for _, e := range m.Entries {
		if err := check(e); err != nil {
			return bucket{}, errors.Annotate(err, "bucket")
		}
		if b.entries[key(e.Key)] != nil {
			return bucket{}, errors.NotValidf("bucket with a key twice")
		}
		b.put(key(e.Key), e)
	}
	return b, nil
}

// check tells what is wrong with an entry.
func check(e *claimrpc.Entry) error {
	if e == nil || len(e.Key) != idLength || len(e.Attempt) != idLength {
		return errors.NotValidf("entry without a key and an attempt")
	}
	if e.State < claimrpc.State_CLAIMED || e.State > claimrpc.State_DONE {
		return errors.NotValidf("entry in state %d", e.State)
	}
	if len(e.Detail) > maxDetail {
		return errors.NotValidf("entry with %d bytes of detail", len(e.Detail))
	}
	return nil
}
