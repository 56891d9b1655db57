// Package rumor spreads small facts to all nodes: the drain of a searcher, a
// quarantine.
//
// A Set holds at most one rumor for each kind and key, the one with the highest
// sequence, until it expires. It hands each rumor to heartbeats a bounded
// number of times, which grows with the logarithm of the number of nodes; that
// is enough to reach all of them. Size and number are bounded.
//
// Ages and expiries travel as durations, as the clocks of VMs differ.
//
// # Usage
//
//	drains := rumor.NewTopic[Drain](set, rumor.SearcherDrain)
//	drains.Subscribe(func(f rumor.Fact[Drain]) { ... })
//	drains.Publish("s-17", Drain{...}, time.Minute)
package rumor
