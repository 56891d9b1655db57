package writes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/state/idempotency"
	"egrethaven/platform/store"
)

const (
	sharedKey = "writes"
	// pauseTime is how long a node is paused.
	pauseTime = 1500 * time.Millisecond
	// pauseGap is the time between two pauses.
	pauseGap = 300 * time.Millisecond
)

// claims is what a node uses to run a request at most once.
type claims interface {
	Claim(ctx context.Context, r idempotency.Request) idempotency.Claim
	Record(c idempotency.Claim, r idempotency.Record)
	Close() error
}

// node is one entry VM, as far as writes go.
type node struct {
	vm     vm.VM
	gate   *gate
	server *rpc.Server
	dialer *rpc.Dialer
	client *kv.Client
	claims claims
}

type fleetConfig struct {
	nodes int
	naive bool
	seed  uint64
}

// fleet is a stand-in platform and nodes that know each other.
type fleet struct {
	platform *platform.Platform
	nodes    []*node
	vms      []vm.VM
	// bytes counts what swaps carried.
	bytes atomic.Int64
}

// Live returns all nodes: a paused one is still listed.
func (f *fleet) Live() []vm.VM { return f.vms }

func newFleet(c fleetConfig) (*fleet, error) {
	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: c.seed})
	if err != nil {
		return nil, errors.Trace(err)
	}
	f := &fleet{platform: p}
	for i := range c.nodes {
		s, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", SharedKey: sharedKey})
		if err != nil {
			f.close()
			return nil, errors.Trace(err)
		}
		v := vm.VM{ID: fmt.Sprintf("e-%d", i+1), Role: vm.Entry, Addr: s.Addr(), State: vm.Live}
		f.vms = append(f.vms, v)
		f.nodes = append(f.nodes, &node{vm: v, gate: newGate(), server: s})
	}
	for i, n := range f.nodes {
		if err := f.start(n, c, uint64(i)); err != nil {
			f.close()
			return nil, errors.Trace(err)
		}
	}
	return f, nil
}

// start builds what a node claims with.
func (f *fleet) start(n *node, c fleetConfig, i uint64) error {
	n.dialer = rpc.NewDialer(rpc.DialerConfig{SharedKey: sharedKey})
	n.client = kv.New(kv.Config{Transport: store.New(store.Config{Addr: f.platform.Addr()}), Seed: c.seed + i})
	store := gatedStore{Store: n.client, gate: n.gate, bytes: &f.bytes}
	if c.naive {
		n.claims = newSingle(store)
		n.server.Serve()
		return nil
	}
	s := idempotency.New(idempotency.Config{Store: store, Self: n.vm.ID, Members: f, Dialer: n.dialer, Seed: c.seed + i})
	n.claims = s
	if err := claimrpc.DRPCRegisterClaims(n.server.Mux(), gatedServer{DRPCClaimsServer: s, gate: n.gate}); err != nil {
		return errors.Trace(err)
	}
	n.server.Serve()
	return nil
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.gate.open()
		if n.claims != nil {
			_ = n.claims.Close()
		}
		_ = n.server.Close()
		if n.dialer != nil {
			_ = n.dialer.Close()
			_ = n.client.Close()
		}
	}
	_ = f.platform.Close()
}

// counts adds up what the claim stores did; the baseline counts nothing.
func (f *fleet) counts() idempotency.Counts {
	var sum idempotency.Counts
	for _, n := range f.nodes {
		s, ok := n.claims.(*idempotency.Store)
		if !ok {
			continue
		}
		c := s.Counts()
		sum.Forwards += c.Forwards
		sum.ForwardFailures += c.ForwardFailures
		sum.Conflicts += c.Conflicts
		sum.Unresolved += c.Unresolved
	}
	return sum
}

// disturb lets the plan's faults come and go until the returned function is
// called; that one waits.
func (f *fleet) disturb(ctx context.Context, p plan, d time.Duration, r *rand.Rand) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if p.pauses {
			f.pauses(ctx, r)
		}
	}()
	out := make(chan struct{})
	go func() {
		defer close(out)
		if p.outage && pause.Sleep(ctx, d/3) {
			g := p.faults
			g.Down = true
			f.platform.SetFaults(g)
			pause.Sleep(ctx, d/3)
			f.platform.SetFaults(p.faults)
		}
	}()
	return func() { cancel(); <-done; <-out }
}

// pauses stops one random node after the other.
func (f *fleet) pauses(ctx context.Context, r *rand.Rand) {
	for pause.Sleep(ctx, pauseGap) {
		n := f.nodes[r.IntN(len(f.nodes))]
		n.gate.shut()
		pause.Sleep(ctx, pauseTime)
		n.gate.open()
	}
}
