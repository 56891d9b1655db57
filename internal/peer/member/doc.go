// Package member maintains the membership of the entry VMs with a gossip
// protocol similar to SWIM.
//
// Each second a node sends one heartbeat to the next member of its own failure
// domain, in an order reshuffled after each pass, and with some probability one
// to a member of another domain, so its cost does not depend on the size of the
// fleet. A member that does not answer is probed indirectly through others; if
// that fails too it is suspected, and declared dead unless it refutes the
// suspicion with a higher incarnation. Heartbeats carry a bounded number of
// bytes of gossip: state changes of members and rumors. A hash over the live
// members detects tables that differ, which are then compared by buckets. A new
// VM reads the whole table of a peer once, in pages.
//
// Urgent updates, such as a new configuration or a drain, are pushed: each node
// that receives one for the first time sends a few heartbeats immediately.
//
// The platform's list of VMs is a hint that lags: listed VMs that are not known
// to be live are tried, but the list alone makes no member live or dead.
//
// # Usage
//
//	m := member.New(member.Config{Self: self, VMs: list, Dialer: d, Rumors: set, Events: sink})
//	err := m.Register(server.Mux())
//	m.Start()
//	defer m.Close()
//	for _, v := range m.Live("sapporo") { ... }
package member
