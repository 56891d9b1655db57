// Package readiness implements the readiness and liveness checks that the
// platform's load balancer polls, and limits and counts the requests in flight, so
// that a graceful shutdown interrupts none.
//
// A shutdown takes these steps:
//  1. /ready fails while new requests are still served, for the time that the
//     load balancer needs to notice.
//  2. New requests are rejected as not run.
//  3. Requests in flight get up to the drain limit to complete.
//
// The caller of Shutdown then closes listeners and connections.
//
// # Usage
//
//	g := readiness.New(readiness.Config{MaxInFlight: 1024, Events: log})
//	g.SetReady()
//	release, o := g.Acquire()
//	if !o.OK() { ... }
//	defer release()
//	left := g.Shutdown(ctx, 5*time.Second, 30*time.Second)
package readiness

import (
	"context"
	"net/http"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// state determines how new requests are handled.
type state int

const (
	notReady state = iota
	ready
	draining
	stopped
)

// Config configures a Gate.
type Config struct {
	// MaxInFlight is the maximum number of requests in flight.
	MaxInFlight int
	Events      event.Sink
}

// Gate admits requests while the node is ready or draining, up to MaxInFlight at a
// time. It is safe for concurrent use.
type Gate struct {
	c     Config
	mu    sync.Mutex
	state state
	// reason is why the node is not ready, or empty.
	reason   string
	inFlight int
	// drained is closed when the gate is stopped and no request is in flight.
	drained chan struct{}
}

// New returns a gate that is not ready.
func New(c Config) *Gate {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Gate{c: c, reason: "starting", drained: make(chan struct{})}
}

// SetReady starts admitting requests. It has no effect during a shutdown.
func (g *Gate) SetReady() {
	if g.set(ready, "") {
		g.c.Events.Emit(event.NodeReady, "", "")
	}
}

// SetNotReady starts rejecting requests. It has no effect during a shutdown.
func (g *Gate) SetNotReady(reason string) {
	if g.set(notReady, reason) {
		g.c.Events.Emit(event.NodeNotReady, "", reason)
	}
}

// set changes state and reason and reports whether they changed. It has no effect
// during a shutdown.
func (g *Gate) set(s state, reason string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state >= draining || g.state == s && g.reason == reason {
		return false
	}
	g.state, g.reason = s, reason
	return true
}

// Ready reports whether the node is ready, and the reason if it is not.
func (g *Gate) Ready() (ok bool, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state == ready, g.reason
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Acquire admits one request. If the outcome is ok, release must be called once
// when the request ends. Otherwise the request must be rejected with the outcome.
func (g *Gate) Acquire() (release func(), o outcome.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.decide(); !o.OK() {
		return nil, o
	}
	g.inFlight++
	return g.release, outcome.OK()
}

// Check returns the outcome that Acquire would return, without admitting a request.
func (g *Gate) Check() outcome.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decide()
}

// decide returns ok if one more request may be admitted. g.mu must be held.
func (g *Gate) decide() outcome.Outcome {
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

// release ends one request.
func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.state == stopped && g.inFlight == 0 {
		close(g.drained)
	}
}

// Shutdown drains the node as described in the package comment and returns the
// number of requests still in flight. A node that was not ready skips the wait of
// balancerLag. When ctx is done, both waits end early. Shutdown must be called
// only once.
func (g *Gate) Shutdown(ctx context.Context, balancerLag, drainLimit time.Duration) int {
	g.mu.Lock()
	wasReady := g.state == ready
	g.state, g.reason = draining, "draining"
	g.mu.Unlock()
	g.c.Events.Emit(event.NodeDraining, "", "")
	if wasReady {
		wait(ctx, balancerLag, nil)
	}
	g.stop()
	wait(ctx, drainLimit, g.drained)
	return g.InFlight()
}

// stop starts rejecting new requests.
func (g *Gate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = stopped
	if g.inFlight == 0 {
		close(g.drained)
	}
}

// wait returns after d, when ctx is done, or when done is closed.
func wait(ctx context.Context, d time.Duration, done <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-done:
	}
}

// ServeReady serves /ready: 200 if ready, else 503 with the reason.
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

// ServeLive serves /live: always 200.
func (g *Gate) ServeLive(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("live\n"))
}
