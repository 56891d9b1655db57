// Package faultproxy is a TCP proxy for tests that injects faults: delay,
// jitter, slow bytes, silence in one or both directions, half-open
// connections, cuts, resets and refusals. A fault applies to the connections
// that are open, to new ones, or to all.
//
// # Usage
//
//	p, err := faultproxy.New(faultproxy.Config{Target: addr})
//	defer p.Close()
//	p.Set(faultproxy.Open, faultproxy.Fault{Down: faultproxy.Way{Silent: true}})
//
// The same by HTTP through Handler: POST /fault with a Request, POST /cut,
// POST /reset, POST /half_open.
package faultproxy
