package writes

import (
	"context"
	"sync"
	"sync/atomic"

	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/platform/kv"
)

// gate holds up a node as a pause of its process would: at its next step.
type gate struct {
	mu sync.Mutex
	ch chan struct{}
	// shuts is the number of pauses so far.
	shuts int
}

func newGate() *gate {
	g := &gate{ch: make(chan struct{})}
	close(g.ch)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ch = make(chan struct{})
	g.shuts++
}

// ran tells whether there was no pause since the number of pauses was taken.
func (g *gate) ran(since int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shuts == since
}

// pauses is the number of pauses so far; it is false during one.
func (g *gate) pauses() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.ch:
		return g.shuts, true
	default:
		return g.shuts, false
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.ch:
	default:
		close(g.ch)
	}
}

// pass waits while the node is paused, whatever its deadlines say.
func (g *gate) pass() {
	g.mu.Lock()
	ch := g.ch
	g.mu.Unlock()
	<-ch
}

// gatedStore is a node's way to the key-value service: its calls leave and
// its answers are seen only while the node runs.
type gatedStore struct {
	kv.Store
	gate *gate
	// bytes counts what swaps carry.
	bytes *atomic.Int64
}

func (s gatedStore) Get(ctx context.Context, key string) (kv.Entry, kv.Status) {
	s.gate.pass()
	defer s.gate.pass()
	return s.Store.Get(ctx, key)
}

func (s gatedStore) Swap(ctx context.Context, key string, expect uint64, v []byte) (kv.Entry, kv.Status) {
	s.gate.pass()
	defer s.gate.pass()
	s.bytes.Add(int64(len(v)))
	return s.Store.Swap(ctx, key, expect, v)
}

// gatedServer answers other nodes only while the node runs.
type gatedServer struct {
	claimrpc.DRPCClaimsServer
	gate *gate
}

func (s gatedServer) Apply(b *claimrpc.Batch, stream claimrpc.DRPCClaims_ApplyStream) error {
	s.gate.pass()
	return s.DRPCClaimsServer.Apply(b, gatedStream{DRPCClaims_ApplyStream: stream, gate: s.gate})
}

// gatedStream sends only while the node runs.
type gatedStream struct {
	claimrpc.DRPCClaims_ApplyStream
	gate *gate
}

func (s gatedStream) Send(p *claimrpc.Progress) error {
	s.gate.pass()
	return s.DRPCClaims_ApplyStream.Send(p)
}
