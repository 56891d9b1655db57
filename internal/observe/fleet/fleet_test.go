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

const sharedKey = "0123456789abcdef"

// node is one node of a fleet on the loopback interface.
type node struct {
	fleet    *fleet.Fleet
	log      *event.Log
	server   *rpc.Server
	dialer   *rpc.Dialer
	revision uint64
}

// startNodes runs n nodes. The wall clock of node i is i hours behind.
func startNodes(t *testing.T, n int) []*node {
	t.Helper()
	var peers []health.Peer
	nodes := make([]*node, n)
	for i := range nodes {
		id := fmt.Sprint("n", i)
		c := clock.New(clock.Config{Now: func() time.Time { return time.Now().Add(-time.Duration(i) * time.Hour) }})
		x := &node{log: event.New(event.Config{Node: id, Stamp: c.Stamp, Capacity: 10}), dialer: rpc.NewDialer(rpc.DialerConfig{SharedKey: sharedKey})}
		s, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", SharedKey: sharedKey})
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
	nodes := startNodes(t, 3)
	nodes[0].log.Emit(event.PeerJoined, "x", "")
	nodes[2].log.Emit(event.PeerLeft, "y", "bad \xff text")
	nodes[0].revision, nodes[1].revision, nodes[2].revision = 5, 5, 4

	// The call shows the clock of n0 to n2, whose wall clock is two hours behind.
	// The event of n2 is still the first, since it was stamped before the call.
	l := nodes[0].fleet.Timeline(t.Context(), event.Stamp{}, 10)
	if len(l.Events) != 2 || l.Events[0].Node != "n2" || l.Events[0].Detail != "bad ? text" || len(l.Nodes) != 3 {
		t.Fatalf("time line %+v", l)
	}
	r, err := nodes[0].fleet.FetchReport(t.Context(), peer(nodes, 1))
	if err != nil || r.Node != "n1" || len(r.States) != 1 {
		t.Fatal(r, err)
	}
	s := r.States[0]
	since := time.Since(s.Since)
	if s.Verdict != health.Degraded || s.AgeMS != 70 || since < time.Minute || since > 2*time.Minute || len(s.Missing) != 1 || s.Missing[0].Reason != outcome.NoReplica || !s.WritesRefused {
		t.Errorf("state %+v", s)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if behind := nodes[0].fleet.Wait(ctx, 5); len(behind) != 1 || behind[0].Node != "n2" || behind[0].Revision != 4 || !behind[0].Reached {
		t.Errorf("nodes behind %+v, want n2 at revision 4", behind)
	}
	nodes[2].revision = 6
	if behind := nodes[0].fleet.Wait(t.Context(), 5); behind != nil {
		t.Errorf("nodes behind %+v, want none", behind)
	}
	nodes[1].server.Close()
	for _, s := range nodes[0].fleet.Status(t.Context()) {
		if s.Reached == (s.Node == "n1") {
			t.Errorf("status %+v after the server of n1 was closed", s)
		}
	}
	if l := nodes[0].fleet.Timeline(t.Context(), event.Stamp{}, 10); len(l.Nodes) != 3 || l.Nodes[1].Reached {
		t.Errorf("n1 counts as reached after its server was closed: %+v", l.Nodes)
	}
}

func peer(nodes []*node, i int) health.Peer {
	return health.Peer{ID: fmt.Sprint("n", i), Domain: "d", Addr: nodes[i].server.Addr()}
}

// TestForgedReply checks that a search is ok only if a peer replies with the verdict
// ok and recent evidence, whatever else the reply contains.
func TestForgedReply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := health.State{Search: "s", Verdict: health.Verdict(rapid.String().Draw(t, "verdict")), AgeMS: rapid.Int64().Draw(t, "age")}
		m := health.Merge([]health.State{s}, nil, 4*time.Second)
		if m.Verdict == health.OK && (s.Verdict != health.OK || s.AgeMS < 0 || s.AgeMS >= 4000) {
			t.Fatalf("%+v of %+v", m, s)
		}
	})
}
