package peerfleet_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/bench/peerfleet"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSockets lets a few nodes find each other and agree on a change over real
// sockets.
func TestSockets(t *testing.T) {
	f, err := peerfleet.New(peerfleet.Config{Nodes: 9, Domains: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := f.Settle(ctx); err != nil {
		t.Fatal(err)
	}
	n := f.Nodes()[0]
	r := n.Manager.Apply(ctx, config.Change{ID: "c", Put: []search.Definition{{Name: "s"}}})
	if ns, ok := n.Spread.WaitForRevision(ctx, r.Revision); !ok || len(ns) != 9 {
		t.Errorf("%+v, %v of %d nodes", r, ok, len(ns))
	}
}
