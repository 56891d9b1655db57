package writes

import (
	"context"
	"sync"
	"sync/atomic"

	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/platform/kv"
)

// gate simulates a pause of a node's process, which calls wait before each step.
type gate struct {
	mu sync.Mutex
	// resumed is closed while the node runs.
	resumed chan struct{}
	pauses  int
}

func newGate() *gate {
	g := &gate{resumed: make(chan struct{})}
	close(g.resumed)
	return g
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumed = make(chan struct{})
	g.pauses++
}

// unpausedSince reports whether no pause began since pauseCount returned count.
func (g *gate) unpausedSince(count int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pauses == count
}

// pauseCount returns the number of pauses so far, and whether the node runs.
func (g *gate) pauseCount() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.resumed:
		return g.pauses, true
	default:
		return g.pauses, false
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.resumed:
	default:
		close(g.resumed)
	}
}

// wait blocks while the node is paused, regardless of deadlines.
func (g *gate) wait() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	<-resumed
}

// gatedStore sends calls and returns answers only while the node runs.
type gatedStore struct {
	kv.Store
	gate *gate
	// swapBytes is the total size of the values sent in Swap calls.
	swapBytes *atomic.Int64
}

func (s gatedStore) Get(ctx context.Context, key string) (kv.Entry, kv.Status) {
	s.gate.wait()
	defer s.gate.wait()
	return s.Store.Get(ctx, key)
}

func (s gatedStore) Swap(ctx context.Context, key string, expect uint64, v []byte) (kv.Entry, kv.Status) {
	s.gate.wait()
	defer s.gate.wait()
	s.swapBytes.Add(int64(len(v)))
	return s.Store.Swap(ctx, key, expect, v)
}

// gatedServer handles claims of other nodes only while the node runs.
type gatedServer struct {
	claimrpc.DRPCClaimsServer
	gate *gate
}

func (s gatedServer) Apply(b *claimrpc.Batch, stream claimrpc.DRPCClaims_ApplyStream) error {
	s.gate.wait()
	return s.DRPCClaimsServer.Apply(b, gatedStream{DRPCClaims_ApplyStream: stream, gate: s.gate})
}

// gatedStream sends progress messages only while the node runs.
type gatedStream struct {
	claimrpc.DRPCClaims_ApplyStream
	gate *gate
}

func (s gatedStream) Send(p *claimrpc.Progress) error {
	s.gate.wait()
	return s.DRPCClaims_ApplyStream.Send(p)
}
