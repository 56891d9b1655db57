// Package rumor gossips small messages to all nodes, such as the drain of a
// searcher or a quarantine.
//
// A Set holds at most one rumor for each kind and key, the one with the highest
// sequence number, until its TTL expires. Heartbeats send each rumor a bounded
// number of times, which grows with the logarithm of the number of nodes; that
// is enough to reach all of them. The number of rumors and their sizes are
// bounded.
//
// Expiry times are sent as remaining durations, as the clocks of VMs differ.
//
// # Usage
//
//	drains := rumor.NewTopic[Drain](set, rumor.SearcherDrain)
//	drains.Subscribe(func(m rumor.Message[Drain]) { ... })
//	drains.Publish("s-17", Drain{...}, time.Minute)
package rumor
