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

// run follows verdicts and asks canaries until Close.
func (k *Collector) run() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		k.Local()
		duty := k.duty()
		for name, d := range k.c.Searches() {
			if duty && k.due(name, time.Now()) {
				k.wg.Go(func() { k.canary(name, d) })
			}
		}
		select {
		case <-k.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// duty tells whether this node asks canaries: the first few of a failure
// domain by a hash of their names, so that canaries don't grow with the fleet.
func (k *Collector) duty() bool {
	before := 0
	own := order(k.c.Node)
	for _, p := range k.peers() {
		if p.Domain == k.c.Domain && order(p.ID) < own {
			before++
		}
	}
	return before < onDuty
}

// order is the place of a node among those of its failure domain.
func order(id string) uint64 { return xxhash.Sum64String(id) }

// due tells whether a search wants a canary now, and if so marks it asked.
func (k *Collector) due(name string, now time.Time) bool {
	if k.c.Ask == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// Only complete answers hold a canary off: a search that seems to fail
	// wants a second look.
	if now.Sub(k.complete[name]) < k.c.CanaryInterval {
		return false
	}
	last, before := k.asked[name]
	if before && now.Sub(last) < k.c.CanaryInterval {
		return false
	}
	k.asked[name] = now
	return true
}

// canary asks one query of the tier's own and takes its answer as evidence.
func (k *Collector) canary(name string, d search.Definition) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(k.ctx, min(d.Deadline, maxCanary))
	defer cancel()
	deadline, _ := ctx.Deadline()
	a := k.c.Ask(ctx, ask.Query{QueryID: fmt.Sprintf("canary-%s-%d", k.c.Node, begin.UnixNano()), Search: name,
		Caller: "canary", Text: d.CanaryText, Limit: 1, Deadline: deadline, Canary: true})
	if k.ctx.Err() != nil {
		return
	}
	k.add(name, a, time.Now())
	if !a.Outcome.OK() || !a.Coverage.Complete() {
		k.c.Events.Emit(event.CanaryFailed, name, fmt.Sprintf("%s, %d ranges missing", a.Outcome, len(a.Coverage.Missing)))
	}
}
