package kv

import "sync/atomic"

// Counts are the calls of one client so far. Each send is one call, and a
// waiting watch is one.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Waiting is the number of watches that wait now.
	Waiting int64 `json:"waiting"`
	// Unknown is the number of calls whose answer was lost.
	Unknown int64 `json:"unknown"`
	// Down is the number of calls that were refused or not sent.
	Down int64 `json:"down"`
	// Throttled is the part of Down that the service refused for its rate.
	Throttled int64 `json:"throttled"`
	// OverBudget is the number of calls not sent to keep to the budget.
	OverBudget int64 `json:"over_budget"`
}

type counters struct {
	reads, writes, watches, unknown, down, throttled, overBudget atomic.Int64
}

// Counts returns the counts so far.
func (c *Client) Counts() Counts {
	return Counts{
		Reads:      c.counts.reads.Load(),
		Writes:     c.counts.writes.Load(),
		Watches:    c.counts.watches.Load(),
		Waiting:    c.budget.watches.used.Load(),
		Unknown:    c.counts.unknown.Load(),
		Down:       c.counts.down.Load(),
		Throttled:  c.counts.throttled.Load(),
		OverBudget: c.counts.overBudget.Load(),
	}
}
