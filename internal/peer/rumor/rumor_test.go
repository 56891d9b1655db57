package rumor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/peer/rumor"
)

// drain is the payload of the test rumors.
type drain struct{ Reason string }

// TestReachesAllNodes exchanges rumors between random pairs of nodes and checks
// that the bounded number of transmissions reaches every node.
func TestReachesAllNodes(t *testing.T) {
	const nodes, rounds = 300, 40
	r := rand.New(rand.NewPCG(1, 1))
	var sets []*rumor.Set
	delivered := 0
	for i := range nodes {
		s := rumor.New(rumor.Config{Node: fmt.Sprint(i)})
		rumor.NewTopic[drain](s, rumor.SearcherDrain).Subscribe(func(rumor.Message[drain]) { delivered++ })
		sets = append(sets, s)
	}
	for i := range 20 {
		topic := rumor.NewTopic[drain](sets[i], rumor.SearcherDrain)
		if err := topic.Publish(fmt.Sprint("s-", i), drain{"header"}, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	for range rounds {
		for i := range nodes {
			j := r.IntN(nodes)
			sets[j].Merge(sets[i].Take(300, rumor.Transmissions(nodes)))
			sets[i].Merge(sets[j].Take(300, rumor.Transmissions(nodes)))
		}
	}
	if delivered != nodes*20 {
		t.Errorf("%d of %d deliveries", delivered, nodes*20)
	}
	if sets[0].HasPending() {
		t.Error("rumors are still pending after all rounds")
	}
}

func TestExpiryAndOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := rumor.New(rumor.Config{Node: "a"}), rumor.New(rumor.Config{Node: "b"})
		ta, tb := rumor.NewTopic[drain](a, 1), rumor.NewTopic[drain](b, 1)
		_ = ta.Publish("s", drain{"first"}, time.Minute)
		old := a.All()
		b.Merge(old)
		_ = tb.Publish("s", drain{"second"}, time.Minute)
		b.Merge(old)
		a.Merge(b.All())
		if f := ta.Messages(); len(f) != 1 || f[0].Value.Reason != "second" || f[0].Origin != "b" {
			t.Errorf("messages are %+v, want the second one, by b", f)
		}
		time.Sleep(30 * time.Second)
		if r := a.All(); r[0].TTL > 30*time.Second {
			t.Errorf("TTL is %v after 30 s of a minute", r[0].TTL)
		}
		time.Sleep(31 * time.Second)
		if len(a.All()) != 0 || len(a.Take(1000, rumor.Transmissions(10))) != 0 {
			t.Error("a rumor outlived its TTL")
		}
	})
}

// TestLimits checks that the number of rumors held and the bytes of a message
// stay within their limits.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rumor.New(rumor.Config{MaxRumors: 5})
		for i := range rapid.IntRange(0, 40).Draw(t, "rumors") {
			s.Merge([]rumor.Rumor{{
				Kind: 1, Key: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key")), Sequence: uint64(i),
				TTL:     time.Duration(rapid.Int64Range(-1, int64(2*rumor.MaxTTL)).Draw(t, "ttl")),
				Payload: make([]byte, rapid.IntRange(0, 2*rumor.MaxPayloadBytes).Draw(t, "payload")),
			}})
			maxBytes := rapid.IntRange(0, 3000).Draw(t, "budget")
			n := 0
			for _, r := range s.Take(maxBytes, rumor.Transmissions(10)) {
				n += r.Size()
			}
			if n > maxBytes || len(s.All()) > 5 {
				t.Fatalf("took %d of %d bytes, holding %d rumors of at most 5", n, maxBytes, len(s.All()))
			}
		}
	})
}
