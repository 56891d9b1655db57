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
	// haste is how many times as often as on the day of the design size
	// events happen here.
	haste = 60
	// day in seconds.
	day = 24 * 60 * 60
	// The events of a day of the design size.
	changesADay      = 4700
	failuresADay     = 47
	replacementsADay = 630
	// searches is how many searches the changes go around.
	searches = 50
)

// events makes what happens on a day, hastened.
type events struct {
	f    *peerfleet.Fleet
	seed uint64
	done int
}

// run makes events for a while: each kind at a fixed interval, and at least
// one of each.
func (e *events) run(ctx context.Context, d time.Duration) error {
	r := rand.New(rand.NewPCG(e.seed, 9))
	begin := time.Now()
	due := map[int]time.Time{}
	kinds := []struct {
		perDay float64
		do     func(context.Context, *rand.Rand) error
	}{
		{changesADay, e.change}, {failuresADay, e.fail}, {replacementsADay, e.replace},
	}
	for i, k := range kinds {
		due[i] = begin.Add(min(interval(k.perDay), d) / 2)
	}
	for {
		next := 0
		for i := range kinds {
			if due[i].Before(due[next]) {
				next = i
			}
		}
		if due[next].Sub(begin) > d {
			rest(ctx, time.Until(begin.Add(d)))
			return nil
		}
		rest(ctx, time.Until(due[next]))
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
		if err := kinds[next].do(ctx, r); err != nil {
			return err
		}
		due[next] = due[next].Add(interval(kinds[next].perDay))
	}
}

// interval is the time between two events here.
func interval(perDay float64) time.Duration {
	return time.Duration(day / (perDay * haste) * float64(time.Second))
}

func (e *events) any(r *rand.Rand) *peerfleet.Node {
	ns := e.f.Nodes()
	return ns[r.IntN(len(ns))]
}

// change changes one search.
func (e *events) change(ctx context.Context, r *rand.Rand) error {
	e.done++
	res := e.any(r).Manager.Apply(ctx, config.Change{ID: fmt.Sprint("change-", e.done), Author: "bench", Put: []search.Definition{{
		Name: fmt.Sprint("search-", e.done%searches), Service: "claims_desk", MaxLimit: e.done,
	}}})
	if res.Verdict != config.Accepted {
		return errors.Errorf("change: %+v", res)
	}
	return nil
}

// fail takes a node away without a word and starts another.
func (e *events) fail(ctx context.Context, r *rand.Rand) error {
	e.f.Remove(ctx, false, e.any(r))
	_, err := e.f.Add()
	return err
}

// replace has a node leave and starts another.
func (e *events) replace(ctx context.Context, r *rand.Rand) error {
	e.f.Remove(ctx, true, e.any(r))
	_, err := e.f.Add()
	return err
}
