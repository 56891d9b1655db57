package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/bench/peerfleet"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

const (
	// speedup is the factor by which events are more frequent here than in a
	// fleet of designNodes.
	speedup       = 60
	secondsPerDay = 24 * 60 * 60
	// Events per day in a fleet of designNodes.
	changesPerDay      = 4700
	failuresPerDay     = 47
	replacementsPerDay = 630
	// searchCount is the number of searches that are changed in turn.
	searchCount = 50
)

// eventGenerator makes the events of a fleet of designNodes, speedup times as often.
type eventGenerator struct {
	f       *peerfleet.Fleet
	seed    uint64
	changes int
}

// run makes events for the duration d: each kind at a fixed interval, and at
// least one event of each kind.
func (g *eventGenerator) run(ctx context.Context, d time.Duration) error {
	r := rand.New(rand.NewPCG(g.seed, 9))
	start := time.Now()
	due := map[int]time.Time{}
	kinds := []struct {
		perDay float64
		do     func(context.Context, *rand.Rand) error
	}{
		{changesPerDay, g.changeConfig}, {failuresPerDay, g.fail}, {replacementsPerDay, g.replace},
	}
	for i, k := range kinds {
		due[i] = start.Add(min(interval(k.perDay), d) / 2)
	}
	for {
		next := 0
		for i := range kinds {
			if due[i].Before(due[next]) {
				next = i
			}
		}
		if due[next].Sub(start) > d {
			sleep(ctx, time.Until(start.Add(d)))
			return nil
		}
		sleep(ctx, time.Until(due[next]))
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
		if err := kinds[next].do(ctx, r); err != nil {
			return err
		}
		due[next] = due[next].Add(interval(kinds[next].perDay))
	}
}

// interval returns the time between two events, given their number per day.
func interval(perDay float64) time.Duration {
	return time.Duration(secondsPerDay / (perDay * speedup) * float64(time.Second))
}

func (g *eventGenerator) randomNode(r *rand.Rand) *peerfleet.Node {
	ns := g.f.Nodes()
	return ns[r.IntN(len(ns))]
}

// changeConfig applies a configuration change of one search on a random node.
func (g *eventGenerator) changeConfig(ctx context.Context, r *rand.Rand) error {
	g.changes++
	res := g.randomNode(r).Manager.Apply(ctx, config.Change{ID: fmt.Sprint("change-", g.changes), Author: "bench", Put: []search.Definition{{
		Name: fmt.Sprint("search-", g.changes%searchCount), Service: "claims_desk", MaxLimit: g.changes,
	}}})
	if res.Verdict != config.Accepted {
		return errors.Errorf("configuration change was not accepted: %+v", res)
	}
	return nil
}

// fail removes a random node without notice to its peers and starts another.
func (g *eventGenerator) fail(ctx context.Context, r *rand.Rand) error {
	g.f.Remove(ctx, false, g.randomNode(r))
	_, err := g.f.Add()
	return err
}

// replace removes a random node, which announces it to its peers, and starts
// another.
func (g *eventGenerator) replace(ctx context.Context, r *rand.Rand) error {
	g.f.Remove(ctx, true, g.randomNode(r))
	_, err := g.f.Add()
	return err
}
