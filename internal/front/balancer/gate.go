// Package balancer is what the platform's balancer sees of a node: whether it
// takes new requests, and whether it lives. It also counts the requests in
// progress, so that a graceful shutdown cuts none.
//
// A shutdown goes in this order. /ready fails, while new requests are still
// served, until the balancer has had its lag to notice. Then new requests are
// refused as not run. Then the requests in progress get up to the drain limit
// to end. After that the caller of Shutdown closes listeners and connections.
//
// # Usage
//
//	g := balancer.New(balancer.Config{MaxInFlight: 1024, Events: log})
//	g.SetReady()
//	release, o := g.Enter()
//	if !o.OK() { ... }
//	defer release()
//	left := g.Shutdown(ctx, 5*time.Second, 30*time.Second)
package balancer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// state is what the node does with new requests.
type state int

const (
	notReady state = iota
	ready
	draining
	stopped
)

// Config sets up a Gate.
type Config struct {
	// MaxInFlight is how many requests run at a time.
	MaxInFlight int
	Events      event.Sink
}

// Gate lets requests in. It begins not ready. It is safe for concurrent use.
type Gate struct {
	c  Config
	mu sync.Mutex
	// state and reason, in words, decide on new requests.
	state    state
	reason   string
	inFlight int
	// idle is closed when a stopped gate has no request in progress.
	idle chan struct{}
}

// New returns a gate that is not ready.
func New(c Config) *Gate {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Gate{c: c, reason: "starting", idle: make(chan struct{})}
}

// SetReady makes the node take requests, unless it shuts down.
func (g *Gate) SetReady() {
	if g.set(ready, "") {
		g.c.Events.Emit(event.NodeReady, "", "")
	}
}

// SetNotReady makes the node refuse requests, unless it shuts down.
func (g *Gate) SetNotReady(reason string) {
	if g.set(notReady, reason) {
		g.c.Events.Emit(event.NodeNotReady, "", reason)
	}
}

// set changes the state and tells whether that is news.
func (g *Gate) set(s state, reason string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state >= draining || g.state == s && g.reason == reason {
		return false
	}
	g.state, g.reason = s, reason
	return true
}

// Ready tells whether the node wants new requests, and if not, why.
func (g *Gate) Ready() (ok bool, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state == ready, g.reason
}

// InFlight is the number of requests in progress.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Enter lets one request in. Unless the outcome is ok, the request has to be
// refused with it; else release must be called once at its end.
func (g *Gate) Enter() (release func(), o outcome.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.judge(); !o.OK() {
		return nil, o
	}
	g.inFlight++
	return g.leave, outcome.OK()
}

// Check returns what Enter would, without letting a request in.
func (g *Gate) Check() outcome.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.judge()
}

// judge decides on one more request. The lock is held.
func (g *Gate) judge() outcome.Outcome {
	switch {
	case g.state == notReady:
		return outcome.NotRun(outcome.NotReady)
	case g.state == stopped:
		return outcome.NotRun(outcome.ShuttingDown)
	case g.inFlight >= g.c.MaxInFlight:
		return outcome.NotRun(outcome.Shed)
	}
	return outcome.OK()
}

// leave ends one request.
func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.state == stopped && g.inFlight == 0 {
		close(g.idle)
	}
}

// Shutdown drains the node as the package comment says and returns how many
// requests are still in progress. The end of ctx cuts both waits short. It
// must be called only once.
func (g *Gate) Shutdown(ctx context.Context, lag, limit time.Duration) int {
	g.mu.Lock()
	wasReady := g.state == ready
	g.state, g.reason = draining, "draining"
	g.mu.Unlock()
	g.c.Events.Emit(event.NodeDraining, "", "")
	if wasReady {
		wait(ctx, lag, nil)
	}
	g.stop()
	wait(ctx, limit, g.idle)
	return g.InFlight()
}

// stop refuses new requests.
func (g *Gate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = stopped
	if g.inFlight == 0 {
		close(g.idle)
	}
}

// wait returns after d, at the end of ctx, or when done is closed.
func wait(ctx context.Context, d time.Duration, done <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-done:
	}
}

// ServeReady answers /ready: 200, or 503 with the reason.
func (g *Gate) ServeReady(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	ok, reason := g.Ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready: " + reason + "\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// ServeLive answers /live: 200 as long as the process can answer.
func (g *Gate) ServeLive(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("live\n"))
}
