// Package fakenet is a network between entry VMs for tests: calls go straight
// from one node to the service of another, so that a test may use a fake clock
// and cut any link.
//
// # Usage
//
//	n := fakenet.New(time.Millisecond)
//	e := n.Endpoint("10.0.0.1:1")
//	err := members.Register(e)
//	n.Cut(func(from, to string) bool { return from == "10.0.0.1:1" })
package fakenet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
)

// Network joins endpoints.
type Network struct {
	delay time.Duration
	mu    sync.Mutex
	ends  map[string]*Endpoint
	cut   func(from, to string) bool
	// Calls and Bytes count all traffic, framing left out.
	Calls, Bytes atomic.Int64
}

// New returns a network with a delay one way.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, ends: map[string]*Endpoint{}, cut: func(string, string) bool { return false }}
}

// CutLinks sets which links are cut: calls over them get no answer.
func (n *Network) CutLinks(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

// Remove takes an endpoint away: calls to it are refused.
func (n *Network) Remove(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.ends, addr)
}

// Endpoint adds an endpoint.
func (n *Network) Endpoint(addr string) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &Endpoint{n: n, addr: addr, calls: map[string]call{}}
	n.ends[addr] = e
	return e
}

// find returns the method that from reaches at to.
func (n *Network) find(from, to, rpc string) (m call, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e, ok := n.ends[to]; ok {
		m = e.calls[rpc]
	}
	return m, n.cut(from, to) || n.cut(to, from)
}

// call is one method of a service.
type call struct {
	srv      any
	receiver drpc.Receiver
}

// Endpoint is one node: a drpc.Mux for what it serves and a dialer.
type Endpoint struct {
	n     *Network
	addr  string
	calls map[string]call
}

// Register adds a service.
func (e *Endpoint) Register(srv any, d drpc.Description) error {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	for i := range d.NumMethods() {
		name, _, r, _, ok := d.Method(i)
		if !ok {
			return errors.NotValidf("method %d", i)
		}
		e.calls[name] = call{srv: srv, receiver: r}
	}
	return nil
}

// Conn returns a connection.
func (e *Endpoint) Conn(_ context.Context, addr string) (drpc.Conn, error) {
	return &conn{from: e, to: addr}, nil
}

// conn is a connection that only carries unary calls.
type conn struct {
	drpc.Conn
	from *Endpoint
	to   string
}

// Invoke runs one call.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	n := c.from.n
	time.Sleep(n.delay)
	m, cut := n.find(c.from.addr, c.to, rpc)
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if m.receiver == nil {
		return errors.NotFoundf("call %s at %s", rpc, c.to)
	}
	answer, err := m.receiver(m.srv, ctx, in, nil)
	if err != nil {
		return err
	}
	time.Sleep(n.delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return c.copy(enc, in, answer, out)
}

// copy passes the answer on by its encoding, and counts.
func (c *conn) copy(enc drpc.Encoding, in, answer, out drpc.Message) error {
	a, err := enc.Marshal(in)
	if err != nil {
		return err
	}
	b, err := enc.Marshal(answer)
	if err != nil {
		return err
	}
	c.from.n.Calls.Add(1)
	c.from.n.Bytes.Add(int64(len(a) + len(b)))
	return enc.Unmarshal(b, out)
}
