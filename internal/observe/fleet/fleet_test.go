package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/fleet"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
)

const key = "0123456789abcdef"

// node is one member of a fleet on loopback.
type node struct {
	fleet    *fleet.Fleet
	log      *event.Log
	server   *rpc.Server
	dialer   *rpc.Dialer
	revision uint64
}

// start runs n nodes whose wall clocks differ by an hour each.
func start(t *testing.T, n int) []*node {
	t.Helper()
	var peers []health.Peer
	nodes := make([]*node, n)
	for i := range nodes {
		id := fmt.Sprint("n", i)
		c := clock.New(clock.Config{Now: func() time.Time { return time.Now().Add(-time.Duration(i) * time.Hour) }})
		x := &node{log: event.New(event.Config{Node: id, Stamp: c.Stamp, Size: 10}), dialer: rpc.NewDialer(rpc.DialerConfig{SharedKey: key})}
		s, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", SharedKey: key})
		if err != nil {
			t.Fatal(err)
		}
		x.server = s
		x.fleet = fleet.New(fleet.Config{Node: id, Domain: "d", Clock: c, Log: x.log, Dial: x.dialer.Conn,
			Health: func() health.Report {
				half := coverage.New(1, keyrange.Split(2)[:1], nil)
				return health.Report{Node: id, Domain: "d", ConfigAgeMS: -1, States: []health.State{
					{Search: "s", Verdict: health.Degraded, AgeMS: 70, Since: time.Now().Add(-time.Minute), Missing: half.Missing, Reason: outcome.NoReplica, WritesRefused: true}}}
			},
			Revision: func() uint64 { return x.revision },
			Peers:    func() []health.Peer { return append(peers[:i:i], peers[i+1:]...) }})
		if err := x.fleet.Register(s.Mux()); err != nil {
			t.Fatal(err)
		}
		s.Serve()
		peers = append(peers, health.Peer{ID: id, Domain: "d", Addr: s.Addr()})
		nodes[i] = x
	}
	t.Cleanup(func() {
		for _, x := range nodes {
			x.dialer.Close()
			x.server.Close()
		}
		goleak.VerifyNone(t)
	})
	return nodes
}

func TestFleet(t *testing.T) {
	ns := start(t, 3)
	ns[0].log.Emit(event.PeerJoined, "x", "")
	ns[2].log.Emit(event.PeerLeft, "y", "bad \xff text")
	ns[0].revision, ns[1].revision, ns[2].revision = 5, 5, 4

	// Reading the rings shows n0's clock to n2, which is two hours behind.
	l := ns[0].fleet.Timeline(t.Context(), event.Stamp{}, 10)
	if len(l.Events) != 2 || l.Events[0].Node != "n2" || l.Events[0].Detail != "bad ? text" || len(l.Nodes) != 3 {
		t.Fatalf("%+v", l)
	}
	r, err := ns[0].fleet.Fetch(t.Context(), peer(ns, 1))
	if err != nil || r.Node != "n1" || len(r.States) != 1 {
		t.Fatal(r, err)
	}
	s := r.States[0]
	since := time.Since(s.Since)
	if s.Verdict != health.Degraded || s.AgeMS != 70 || since < time.Minute || since > 2*time.Minute || len(s.Missing) != 1 || s.Missing[0].Reason != outcome.NoReplica || !s.WritesRefused {
		t.Errorf("%+v", s)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if behind := ns[0].fleet.Wait(ctx, 5); len(behind) != 1 || behind[0].Node != "n2" || behind[0].Revision != 4 || !behind[0].Reached {
		t.Errorf("%+v", behind)
	}
	ns[2].revision = 6
	if behind := ns[0].fleet.Wait(t.Context(), 5); behind != nil {
		t.Errorf("%+v", behind)
	}
	ns[1].server.Close()
	for _, s := range ns[0].fleet.Status(t.Context()) {
		if s.Reached == (s.Node == "n1") {
			t.Errorf("%+v", s)
		}
	}
	if l := ns[0].fleet.Timeline(t.Context(), event.Stamp{}, 10); len(l.Nodes) != 3 || l.Nodes[1].Reached {
		t.Errorf("%+v", l.Nodes)
	}
}

func peer(ns []*node, i int) health.Peer {
	return health.Peer{ID: fmt.Sprint("n", i), Domain: "d", Addr: ns[i].server.Addr()}
}

// TestForged holds that no reply of a peer makes a search ok without a fresh
// ok of its own.
func TestForged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := health.State{Search: "s", Verdict: health.Verdict(rapid.String().Draw(t, "verdict")), AgeMS: rapid.Int64().Draw(t, "age")}
		m := health.Merge([]health.State{s}, nil, 4*time.Second)
		if m.Verdict == health.OK && (s.Verdict != health.OK || s.AgeMS < 0 || s.AgeMS >= 4000) {
			t.Fatalf("%+v of %+v", m, s)
		}
	})
}
