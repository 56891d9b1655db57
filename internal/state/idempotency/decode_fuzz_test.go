package idempotency

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"egrethaven/internal/peer/claimrpc"
)

// FuzzBucket checks that a decoded bucket encodes to an equal one within its
// computed size, and that no op panics on it.
func FuzzBucket(f *testing.F) {
	e := &claimrpc.Entry{Key: make([]byte, idBytes), Attempt: make([]byte, idBytes), State: claimrpc.State_CLAIMED}
	v, err := bucket{entries: map[key]*claimrpc.Entry{{}: e}}.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(v)
	f.Add(v[:len(v)-2])
	f.Add([]byte("no bucket"))
	f.Fuzz(func(t *testing.T, v []byte) {
		b, err := decode(v)
		if err != nil {
			return
		}
		w, err := b.encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(w) > b.size+countFieldBytes {
			t.Fatalf("encoded size is %d bytes, computed size %d", len(w), b.size)
		}
		c, err := decode(w)
		if err != nil || len(c.entries) != len(b.entries) {
			t.Fatalf("%d entries encoded and decoded to %d: %v", len(b.entries), len(c.entries), err)
		}
		for _, a := range []claimrpc.Action{claimrpc.Action_CLAIM, claimrpc.Action_RECORD, claimrpc.Action_ABANDON} {
			n := c.clone()
			n.apply(&claimrpc.Op{Action: a, Entry: proto.CloneOf(e)}, DefaultMaxBucketBytes)
		}
	})
}

// FuzzBatch checks that validateBatch does not panic on any message, and that a
// valid batch holds only keys of its own bucket.
func FuzzBatch(f *testing.F) {
	f.Add([]byte("no batch"))
	s := &Store{config: Config{}.withDefaults()}
	f.Fuzz(func(t *testing.T, v []byte) {
		var b claimrpc.Batch
		if proto.Unmarshal(v, &b) != nil || s.validateBatch(&b) != nil {
			return
		}
		for _, o := range b.Ops {
			if bucketOf(key(o.Entry.Key), DefaultSliceDuration, DefaultBucketsPerSlice) != (bucketID{slice: b.Slice, hash: b.Hash}) {
				t.Fatal("valid batch has a key of another bucket")
			}
		}
	})
}
