package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/node/entry"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/standin/searcher"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/settings"
)

// waitTimeout limits each wait for a condition.
const waitTimeout = 30 * time.Second

// eventually polls until condition returns true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for: %s", what)
		}
	}
}

// nodeSettings returns the settings of entry VM number i.
func nodeSettings(i int, p *platform.Platform) settings.Settings {
	s, _ := settings.Parse("test.ini", fmt.Appendf(nil, "[node]\nid = e%d\nfailure_domain = local\n[listen]\ncaller = 127.0.0.1:1\noperator = 127.0.0.1:1\npeer = 127.0.0.1:1\n[platform]\naddr = %s\n[limits]\nbalancer_lag = 0s\n", i, p.Addr()))
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	return s
}

// TestTwoLevelFanOut runs more nodes than a searcher accepts connections from. Each
// node then only calls the searchers of its group, and still returns complete
// answers.
func TestTwoLevelFanOut(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	p, d := startServices(t, 16, 2, searcher.Config{Slots: 4, MaxConnections: 5})
	nodes := startNodes(t, p, d.VMs(), 6)
	r := nodes[0].Apply(context.Background(), config.Change{ID: "c1", Author: "test", Put: []search.Definition{def}})
	if r.Verdict != config.Accepted {
		t.Fatalf("change not accepted: %+v", r)
	}
	for _, n := range nodes {
		eventually(t, "node ready", func() bool { return n.RevisionUnreadyReason(r.Revision) == "" })
		eventually(t, "more than one group", func() bool { return n.GroupCount() > 1 })
	}
	parts := 0
	for i, n := range nodes {
		var a ask.Query
		var got ask.Answer
		eventually(t, "complete answer", func() bool {
			a = ask.Query{QueryID: fmt.Sprintf("q%d-%d", i, time.Now().UnixNano()), Search: "s", Limit: 1000, Explain: true}
			got = n.Ask(context.Background(), a)
			return got.Outcome.OK()
		})
		for _, f := range d.Truth.CheckAnswer(a, def, got) {
			t.Errorf("answer of node %d: %v", i, f)
		}
		for _, s := range got.Steps {
			if s.What == "part" {
				parts++
			}
		}
	}
	if parts == 0 {
		t.Error("no part was requested from another node")
	}
}

// def is the search of the tests.
var def = search.Definition{Name: "s", Service: "svc", SchemaVersions: []int{1}, Reconcile: search.ReconcileNewestRevision,
	Prefer: search.PreferCoverage, Deadline: 5 * time.Second, ExtraLoad: 0.05, MaxLimit: 1000}

// startServices starts a platform and searchers and stops them when the test ends.
func startServices(t *testing.T, shards, replicas int, c searcher.Config) (*platform.Platform, *deployment.Deployment) {
	t.Helper()
	p, err := platform.New(platform.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	c.ServiceTime.Median = time.Millisecond
	d, err := deployment.New(deployment.Config{Service: "svc", Shards: shards, Replicas: replicas, Records: dataset.Synthetic(400, 20), Searcher: c})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return p, d
}

// startNodes starts n entry VMs, with configurations changed by configure, and stops them when the
// test ends.
func startNodes(t *testing.T, p *platform.Platform, searchers []vm.VM, n int, configure ...func(*entry.Config)) []*entry.Node {
	t.Helper()
	var nodes []*entry.Node
	vms := searchers
	for i := range n {
		c := entry.Config{Settings: nodeSettings(i, p), Seed: uint64(i) + 1}
		for _, f := range configure {
			f(&c)
		}
		e, err := entry.New(c)
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, e)
		vms = append(vms, e.VM())
	}
	p.SetVMs(vms)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, n)
	for _, e := range nodes {
		go func() { ended <- e.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range nodes {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
	return nodes
}
