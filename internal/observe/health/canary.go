package health

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/state/search"
)

// run updates the verdicts and starts the due canary queries, at once and then every
// checkInterval until Close.
func (k *Collector) run() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		k.LocalReport()
		runsCanaries := k.runsCanaries()
		for name, d := range k.c.Definitions() {
			if runsCanaries && k.claimCanary(name, time.Now()) {
				k.wg.Go(func() { k.runCanary(name, d) })
			}
		}
		select {
		case <-k.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// runsCanaries reports whether this node runs canary queries. Only the canaryNodes
// nodes with the lowest hashes in a failure domain do, so that the number of canary
// queries doesn't grow with the number of nodes.
func (k *Collector) runsCanaries() bool {
	lower := 0
	own := nodeHash(k.c.Node)
	for _, p := range k.peers() {
		if p.Domain == k.c.Domain && nodeHash(p.ID) < own {
			lower++
		}
	}
	return lower < canaryNodes
}

// nodeHash returns the sort key of a node within its failure domain.
func nodeHash(id string) uint64 { return xxhash.Sum64String(id) }

// claimCanary reports whether a canary query is due for a search, and if so stores
// now as its start.
func (k *Collector) claimCanary(name string, now time.Time) bool {
	if k.c.RunCanary == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// Only complete answers postpone a canary query, so that an apparent failure
	// is checked again.
	if now.Sub(k.lastComplete[name]) < k.c.CanaryInterval {
		return false
	}
	last, ok := k.lastCanary[name]
	if ok && now.Sub(last) < k.c.CanaryInterval {
		return false
	}
	k.lastCanary[name] = now
	return true
}

// runCanary runs a canary query and adds its answer to the evidence.
func (k *Collector) runCanary(name string, d search.Definition) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(k.ctx, min(d.Deadline, canaryTimeout))
	defer cancel()
	deadline, _ := ctx.Deadline()
	a := k.c.RunCanary(ctx, ask.Query{QueryID: fmt.Sprintf("canary-%s-%d", k.c.Node, start.UnixNano()), Search: name,
		Caller: "canary", Text: d.CanaryText, Limit: 1, Deadline: deadline, Canary: true})
	if k.ctx.Err() != nil {
		return
	}
	k.add(name, a, time.Now())
	if !a.Outcome.OK() || !a.Coverage.Complete() {
		k.c.Events.Emit(event.CanaryFailed, name, fmt.Sprintf("%s, %d ranges missing", a.Outcome, len(a.Coverage.Missing)))
	}
}
