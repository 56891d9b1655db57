// Package fakenet provides an in-memory network between entry VMs for tests.
// Calls go directly from one node to the service of another, so that a test can
// use a fake clock and cut any link.
//
// # Usage
//
//	n := fakenet.New(time.Millisecond)
//	e := n.Endpoint("10.0.0.1:1")
//	err := members.Register(e)
//	n.CutLinks(func(from, to string) bool { return from == "10.0.0.1:1" })
package fakenet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
)

// Network connects endpoints by their addresses.
type Network struct {
	delay     time.Duration
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	cut       func(from, to string) bool
	// Calls is the number of completed calls, and Bytes the encoded size of
	// their requests and replies, without framing.
	Calls, Bytes atomic.Int64
}

// New returns a network without endpoints. delay is the one-way latency.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, endpoints: map[string]*Endpoint{}, cut: func(string, string) bool { return false }}
}

// CutLinks replaces the function that reports whether a link is cut. Calls over
// a link that is cut in either direction get no answer.
func (n *Network) CutLinks(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

// Remove removes an endpoint. Calls to it fail immediately.
func (n *Network) Remove(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.endpoints, addr)
}

// Endpoint adds an endpoint at addr, or replaces the one there.
func (n *Network) Endpoint(addr string) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &Endpoint{network: n, addr: addr, methods: map[string]method{}}
	n.endpoints[addr] = e
	return e
}

// lookup returns the method rpc of the endpoint to, empty if there is none, and
// whether the link from from to to is cut in either direction.
func (n *Network) lookup(from, to, rpc string) (m method, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e, ok := n.endpoints[to]; ok {
		m = e.methods[rpc]
	}
	return m, n.cut(from, to) || n.cut(to, from)
}

// method is one method of a registered service.
type method struct {
	server   any
	receiver drpc.Receiver
}

// Endpoint is one node on the network. It serves as the node's drpc.Mux and as
// its dialer.
type Endpoint struct {
	network *Network
	addr    string
	methods map[string]method
}

// Register registers the methods of a service.
func (e *Endpoint) Register(srv any, desc drpc.Description) error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	for i := range desc.NumMethods() {
		name, _, receiver, _, ok := desc.Method(i)
		if !ok {
			return errors.NotValidf("method %d", i)
		}
		e.methods[name] = method{server: srv, receiver: receiver}
	}
	return nil
}

// Conn returns a connection to addr. It never fails; calls on it may.
func (e *Endpoint) Conn(_ context.Context, addr string) (drpc.Conn, error) {
	return &conn{from: e, to: addr}, nil
}

// conn is a connection that supports unary calls only.
type conn struct {
	drpc.Conn
	from *Endpoint
	to   string
}

// Invoke runs a unary call.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	n := c.from.network
	time.Sleep(n.delay)
	m, cut := n.lookup(c.from.addr, c.to, rpc)
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if m.receiver == nil {
		return errors.NotFoundf("method %s at %s", rpc, c.to)
	}
	reply, err := m.receiver(m.server, ctx, in, nil)
	if err != nil {
		return err
	}
	time.Sleep(n.delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return c.transfer(enc, in, reply, out)
}

// transfer encodes in and answer to count one call and its bytes, and decodes the
// encoded answer into out.
func (c *conn) transfer(enc drpc.Encoding, in, answer, out drpc.Message) error {
	request, err := enc.Marshal(in)
	if err != nil {
		return err
	}
	reply, err := enc.Marshal(answer)
	if err != nil {
		return err
	}
	c.from.network.Calls.Add(1)
	c.from.network.Bytes.Add(int64(len(request) + len(reply)))
	return enc.Unmarshal(reply, out)
}
