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
	// pauseTime is the duration of one node pause.
	pauseTime = 1500 * time.Millisecond
	// pauseGap is the time between the end of one pause and the start of the next.
	pauseGap = 300 * time.Millisecond
)

// claimStore ensures that a request runs at most once.
type claimStore interface {
	Claim(ctx context.Context, r idempotency.Request) idempotency.Claim
	Record(c idempotency.Claim, r idempotency.Record)
	Close() error
}

// node holds the parts of an entry VM that handle non-idempotent requests.
type node struct {
	vm     vm.VM
	gate   *gate
	server *rpc.Server
	dialer *rpc.Dialer
	client *kv.Client
	claims claimStore
}

type fleetConfig struct {
	nodes int
	naive bool
	seed  uint64
}

// fleet is a set of connected nodes and their stand-in platform.
type fleet struct {
	platform *platform.Platform
	nodes    []*node
	vms      []vm.VM
	// swapBytes is the total size of the values sent in Swap calls.
	swapBytes atomic.Int64
}

// Live returns all nodes, including paused nodes.
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

// start creates the clients and the claim store of node i and starts its server.
func (f *fleet) start(n *node, c fleetConfig, i uint64) error {
	n.dialer = rpc.NewDialer(rpc.DialerConfig{SharedKey: sharedKey})
	n.client = kv.New(kv.Config{Transport: store.New(store.Config{Addr: f.platform.Addr()}), Seed: c.seed + i})
	store := gatedStore{Store: n.client, gate: n.gate, swapBytes: &f.swapBytes}
	if c.naive {
		n.claims = newNaiveStore(store)
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
		n.gate.resume()
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

// counts returns the sum of all counters; the baseline has none.
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

// injectFaults starts the faults of the plan. The returned function ends them and
// waits.
func (f *fleet) injectFaults(ctx context.Context, p plan, d time.Duration, r *rand.Rand) func() {
	ctx, cancel := context.WithCancel(ctx)
	pausesDone := make(chan struct{})
	go func() {
		defer close(pausesDone)
		if p.pauses {
			f.pauseNodes(ctx, r)
		}
	}()
	outageDone := make(chan struct{})
	go func() {
		defer close(outageDone)
		if p.outage && pause.Sleep(ctx, d/3) {
			down := p.faults
			down.Down = true
			f.platform.SetFaults(down)
			pause.Sleep(ctx, d/3)
			f.platform.SetFaults(p.faults)
		}
	}()
	return func() { cancel(); <-pausesDone; <-outageDone }
}

// pauseNodes pauses one random node at a time until ctx is done.
func (f *fleet) pauseNodes(ctx context.Context, r *rand.Rand) {
	for pause.Sleep(ctx, pauseGap) {
		n := f.nodes[r.IntN(len(f.nodes))]
		n.gate.pause()
		pause.Sleep(ctx, pauseTime)
		n.gate.resume()
	}
}
