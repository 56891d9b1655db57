// Package faultproxy is a TCP proxy for tests that injects faults: delay,
// jitter, limited throughput, dropped data in one or both directions,
// half-open connections, closed, reset and refused connections. A fault
// applies to open connections, to new ones, or to all.
//
// # Usage
//
//	p, err := faultproxy.New(faultproxy.Config{Target: addr})
//	defer p.Close()
//	p.SetFault(faultproxy.ScopeOpen, faultproxy.Fault{Downstream: faultproxy.Direction{Silent: true}})
//
// Handler offers the same over HTTP: POST /fault with a FaultRequest, POST
// /cut, POST /reset, POST /half_open.
package faultproxy
