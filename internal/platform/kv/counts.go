package kv

import "sync/atomic"

// Counts holds the numbers of calls of one client. Each attempt counts as a call, and
// so does a watch, however long it waits.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Waiting is the current number of waiting watches.
	Waiting int64 `json:"waiting"`
	// Unknown is the number of calls whose answer was lost.
	Unknown int64 `json:"unknown"`
	// Down is the number of calls that were refused or did not reach the service.
	Down int64 `json:"down"`
	// Throttled is the number of calls in Down that were refused because of the
	// service's rate limit.
	Throttled int64 `json:"throttled"`
	// OverBudget is the number of calls that were not sent because of the budget.
	OverBudget int64 `json:"over_budget"`
}

// counters holds the values of Counts.
type counters struct {
	reads, writes, watches, unknown, down, throttled, overBudget atomic.Int64
}

// Counts returns the numbers of calls since the start of the client.
func (c *Client) Counts() Counts {
	return Counts{
		Reads:      c.counts.reads.Load(),
		Writes:     c.counts.writes.Load(),
		Watches:    c.counts.watches.Load(),
		Waiting:    c.budget.watches.inUse.Load(),
		Unknown:    c.counts.unknown.Load(),
		Down:       c.counts.down.Load(),
		Throttled:  c.counts.throttled.Load(),
		OverBudget: c.counts.overBudget.Load(),
	}
}
