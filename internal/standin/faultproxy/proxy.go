package faultproxy

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// Config holds the settings of a proxy.
type Config struct {
	// Target is the TCP address to which connections are forwarded.
	Target string
	// Addr is the address to listen on; empty means a free port on 127.0.0.1.
	Addr string
}

// Proxy forwards TCP connections to a target.
type Proxy struct {
	c        Config
	listener *net.TCPListener

	mu     sync.Mutex
	fault  Fault
	pairs  map[*pair]struct{}
	total  int
	closed bool

	wg sync.WaitGroup
}

// New starts a proxy without faults.
func New(c Config) (*Proxy, error) {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{c: c, listener: l.(*net.TCPListener), pairs: map[*pair]struct{}{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr returns the IP and port of the listener.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetFault replaces the fault of the connections in a scope.
func (p *Proxy) SetFault(s Scope, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != ScopeOpen {
		p.fault = f
	}
	if s != ScopeNew {
		for c := range p.pairs {
			c.setFault(f)
		}
	}
}

// ClearFaults removes all faults.
func (p *Proxy) ClearFaults() { p.SetFault(ScopeAll, Fault{}) }

// CloseConnections closes all open connections.
func (p *Proxy) CloseConnections() { p.forEachPair((*pair).closeBoth) }

// ResetConnections closes all open connections with a TCP reset.
func (p *Proxy) ResetConnections() { p.forEachPair((*pair).reset) }

// HalfOpenConnections resets the target side of all open connections and
// leaves the client side open.
func (p *Proxy) HalfOpenConnections() { p.forEachPair((*pair).closeTarget) }

// Connections returns the number of open connections and of all connections
// so far, without refused ones.
func (p *Proxy) Connections() (open, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs), p.total
}

// Close resets all connections and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.forEachPair((*pair).reset)
	p.wg.Wait()
}

func (p *Proxy) forEachPair(f func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		f(c)
	}
}

func (p *Proxy) accept() {
	for {
		t, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.handle(t) })
	}
}

// handle forwards one connection until it ends.
func (p *Proxy) handle(client *net.TCPConn) {
	c := p.add(client)
	if c == nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c.run(p.c.Target)
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// add registers a new connection, or returns nil if it is refused.
func (p *Proxy) add(client *net.TCPConn) *pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Refuse {
		return nil
	}
	c := newPair(client, p.fault)
	p.pairs[c] = struct{}{}
	p.total++
	return c
}
