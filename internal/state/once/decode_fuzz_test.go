package once

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"egrethaven/internal/peer/claimrpc"
)

// FuzzBucket: what is decoded is encoded to the same bucket, and nothing that
// the service may hold makes an op panic.
func FuzzBucket(f *testing.F) {
	e := &claimrpc.Entry{Key: make([]byte, idLength), Attempt: make([]byte, idLength), State: claimrpc.State_CLAIMED}
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
		if len(w) > b.size+countRoom {
			t.Fatalf("%d bytes counted as %d", len(w), b.size)
		}
		c, err := decode(w)
		if err != nil || len(c.entries) != len(b.entries) {
			t.Fatalf("%d entries became %d: %v", len(b.entries), len(c.entries), err)
		}
		for _, a := range []claimrpc.Action{claimrpc.Action_CLAIM, claimrpc.Action_RECORD, claimrpc.Action_ABANDON} {
			n := c.clone()
			n.apply(&claimrpc.Op{Action: a, Entry: proto.CloneOf(e)}, DefaultMaxBucket)
		}
	})
}

// FuzzBatch: nothing that another node may send makes the check panic, and
// what passes it belongs to one bucket.
func FuzzBatch(f *testing.F) {
	f.Add([]byte("no batch"))
	s := &Store{config: Config{}.withDefaults()}
	f.Fuzz(func(t *testing.T, v []byte) {
		var b claimrpc.Batch
		if proto.Unmarshal(v, &b) != nil || s.checkBatch(&b) != nil {
			return
		}
		for _, o := range b.Ops {
			if locate(key(o.Entry.Key), DefaultSlice, DefaultHashes) != (place{slice: b.Slice, hash: b.Hash}) {
				t.Fatal("key of another bucket")
			}
		}
	})
}
