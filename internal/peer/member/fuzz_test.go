package member

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"egrethaven/internal/peer/memberrpc"
	"egrethaven/internal/peer/rumor"
)

// FuzzHeartbeat merges arbitrary decoded heartbeats: members and rumors must be
// valid, and the next heartbeat must stay within its size limit.
func FuzzHeartbeat(f *testing.F) {
	b, err := proto.Marshal(&memberrpc.Heartbeat{
		From:    toUpdate(Update{VM: testVM(2), Incarnation: 1}),
		Updates: []*memberrpc.Update{toUpdate(Update{VM: testVM(3), Incarnation: 2, State: Suspect})},
		Rumors:  []*memberrpc.Rumor{{Kind: 1, Key: "s", Sequence: 1, TtlMs: 1000, Payload: []byte("{}")}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var h memberrpc.Heartbeat
		if proto.Unmarshal(b, &h) != nil {
			return
		}
		m := New(Config{Self: testVM(1), Rumors: rumor.New(rumor.Config{Node: "e-1"})})
		defer m.Close()
		m.receive(&h)
		for _, x := range m.Members() {
			if (Update{VM: x.VM, State: x.State}).Validate() != nil {
				t.Errorf("invalid member %+v was accepted", x)
			}
		}
		for _, r := range m.c.Rumors.All() {
			if r.Validate() != nil {
				t.Errorf("invalid rumor %+v was accepted", r)
			}
		}
		if n := proto.Size(m.heartbeat("e-2", m.takeRumors(0))); n > maxGossipBytes+200 {
			t.Errorf("the next heartbeat has %d bytes, want at most %d", n, maxGossipBytes+200)
		}
	})
}
