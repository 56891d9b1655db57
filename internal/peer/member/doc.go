// Package member keeps the list of the entry VMs that run this system, by
// heartbeats among themselves.
//
// Each second a node sends one heartbeat to the next member of its own failure
// domain, in an order shuffled anew each round, and now and then one to a
// member of another domain, so its cost does not depend on the size of the
// fleet. A member that does not answer is tried through others; if that fails
// too it is suspected, and declared dead unless it refutes by a higher
// incarnation. Heartbeats carry a bounded number of bytes of news: changes of
// members and rumors. A hash over the live members finds tables that differ,
// which are then compared in buckets. A new VM reads the whole table once, in
// pages.
//
// News that should be everywhere at once, a new configuration or a drain, are
// pushed: each node that hears them first sends a few heartbeats without
// waiting for the next second.
//
// The platform's list of VMs is a hint that lags: VMs in it that are not known
// as live are tried, but none is believed live or dead because of it.
//
// # Usage
//
//	m := member.New(member.Config{Self: self, VMs: list, Dialer: d, Rumors: set, Events: sink})
//	err := m.Register(server.Mux())
//	m.Start()
//	defer m.Close()
//	for _, v := range m.Live("sapporo") { ... }
package member
