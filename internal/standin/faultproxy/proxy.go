package faultproxy

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// Config describes a proxy.
type Config struct {
	// Target is where connections are passed on to.
	Target string
	// Addr to listen on; empty is a free port of 127.0.0.1.
	Addr string
}

// Proxy passes TCP connections on to a target.
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

// Addr returns where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetFault puts a fault on the connections of a scope, in place of the one that
// they had.
func (p *Proxy) SetFault(s Scope, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != ScopeOpen {
		p.fault = f
	}
	if s != ScopeNew {
		for c := range p.pairs {
			c.set(f)
		}
	}
}

// ClearFaults ends all faults.
func (p *Proxy) ClearFaults() { p.SetFault(ScopeAll, Fault{}) }

// CloseConnections closes all open connections.
func (p *Proxy) CloseConnections() { p.each((*pair).cut) }

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() { p.each((*pair).reset) }

// HalfOpenConnections closes the target's side of all open connections and leaves the
// caller's side open.
func (p *Proxy) HalfOpenConnections() { p.each((*pair).halfOpen) }

// Connections returns how many connections are open, and how many there were.
func (p *Proxy) Connections() (open, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs), p.total
}

// Close ends all connections and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.each((*pair).reset)
	p.wg.Wait()
}

func (p *Proxy) each(f func(*pair)) {
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

// handle passes one connection on until it ends.
func (p *Proxy) handle(caller *net.TCPConn) {
	c := p.add(caller)
	if c == nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	c.run(p.c.Target)
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// add notes a new connection, or returns nil when it is refused.
func (p *Proxy) add(caller *net.TCPConn) *pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Refuse {
		return nil
	}
	c := newPair(caller, p.fault)
	p.pairs[c] = struct{}{}
	p.total++
	return c
}
