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

// TestSockets checks that nodes discover each other and all apply a
// configuration change over real sockets.
func TestSockets(t *testing.T) {
	f, err := peerfleet.New(peerfleet.Config{Nodes: 9, Domains: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := f.WaitConverged(ctx); err != nil {
		t.Fatal(err)
	}
	n := f.Nodes()[0]
	r := n.Manager.Apply(ctx, config.Change{ID: "c", Put: []search.Definition{{Name: "s"}}})
	if ns, ok := n.ConfigSync.WaitForRevision(ctx, r.Revision); !ok || len(ns) != 9 {
		t.Errorf("change %+v: in force everywhere %v, on %d of 9 nodes", r, ok, len(ns))
	}
}
