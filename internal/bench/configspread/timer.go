package configspread

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/peerfleet"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

const (
	// changeEvery is the time between two changes.
	changeEvery = 250 * time.Millisecond
	// grace is how long the last change is waited for.
	grace = 10 * time.Second
	// longest is the largest time that the histogram holds.
	longest = time.Minute
	// digits is the histogram's number of significant digits.
	digits = 3
)

// timer notes when each node puts which revision in force.
type timer struct {
	f  *peerfleet.Fleet
	mu sync.Mutex
	// accepted is when each revision was first in force anywhere: on the node
	// that had the swap confirmed, or on one whose watch was as fast.
	accepted map[uint64]time.Time
	// seen is when each node came to at least some revision.
	seen    map[string][]sight
	reverts int
	changes int
}

// sight is one adoption.
type sight struct {
	revision uint64
	at       time.Time
}

func newTimer(f *peerfleet.Fleet) *timer {
	t := &timer{f: f, accepted: map[uint64]time.Time{}, seen: map[string][]sight{}}
	for _, n := range f.Nodes() {
		n.Manager.Subscribe(func(s *config.Snapshot, _ config.Source) { t.note(n.VM.ID, s.Revision) })
	}
	return t
}

func (t *timer) note(id string, revision uint64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.accepted[revision]; !ok {
		t.accepted[revision] = now
	}
	ss := t.seen[id]
	if len(ss) > 0 && ss[len(ss)-1].revision >= revision {
		t.reverts++
	}
	t.seen[id] = append(ss, sight{revision, now})
}

// arm makes changes through nodes in turn and measures them.
func (t *timer) arm(ctx context.Context, name string, n int, d time.Duration) (scenario.Arm, error) {
	ns := t.f.Nodes()
	begin, calls := time.Now(), t.f.Calls()
	var revs []uint64
	failed := 0
	for i := 0; time.Since(begin) < d && ctx.Err() == nil; i++ {
		// The nodes of the domain that may be cut off are not asked.
		at := ns[(i*7)%len(ns)]
		if at.VM.Domain == peerfleet.DomainName(1) {
			at = ns[0]
		}
		t.changes++
		id := fmt.Sprintf("change-%d", t.changes)
		r := at.Manager.Apply(ctx, config.Change{ID: id, Author: "bench", Put: []search.Definition{{
			Name: fmt.Sprint("search-", t.changes%20), Service: "claims_desk", MaxLimit: t.changes,
		}}})
		if r.Verdict == config.Accepted {
			revs = append(revs, r.Revision)
		} else {
			failed++
		}
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * changeEvery)))
	}
	if len(revs) == 0 {
		return scenario.Arm{}, errors.Errorf("none of %d changes was accepted", failed)
	}
	rate := float64(t.f.Calls()-calls) / time.Since(begin).Seconds()
	c, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	late := t.wait(c, revs[len(revs)-1])
	a := t.figures(revs)
	a.Name = fmt.Sprintf("%s_%d_nodes", name, n)
	a.Figures = append(a.Figures,
		figure.AtMost("changes_not_accepted", float64(failed), 0),
		figure.AtMost("nodes_without_last_change", float64(late), 0),
		figure.Of("kv_calls_per_second_with_4_changes_per_second", rate))
	return a, nil
}

// wait returns once all nodes have a revision, or how many do not.
func (t *timer) wait(ctx context.Context, revision uint64) int {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		late := 0
		for _, n := range t.f.Nodes() {
			if n.Manager.Current().Revision < revision {
				late++
			}
		}
		if late == 0 || ctx.Err() != nil {
			return late
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// figures works out how long revisions took on all nodes. A node that went
// straight to a later revision had the earlier one in force by then.
func (t *timer) figures(revs []uint64) scenario.Arm {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := hdrhistogram.New(1, longest.Microseconds(), digits)
	for _, r := range revs {
		for _, ss := range t.seen {
			for _, s := range ss {
				if s.revision >= r {
					record(h, s.at.Sub(t.accepted[r]))
					break
				}
			}
		}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	a := scenario.Arm{Wrong: scenario.WrongAnswers{Reverts: t.reverts}}
	a.Figures = []scenario.Figure{
		figure.Of("changes", float64(len(revs))), figure.Of("in_force", float64(h.TotalCount())),
		figure.Of("p50_ms", ms(50)), figure.AtMost("p99_ms", ms(99), targetMS),
		figure.AtMost("max_ms", float64(h.Max())/1000, targetMS),
		figure.AtMost("reverts", float64(t.reverts), 0),
	}
	for _, b := range h.CumulativeDistribution() {
		a.LatencyMS = append(a.LatencyMS, scenario.Point{X: b.Quantile, Y: float64(b.ValueAt) / 1000})
	}
	return a
}

// record adds a time within the bounds of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	if err := h.RecordValue(min(max(1, d.Microseconds()), longest.Microseconds())); err != nil {
		panic(err)
	}
}
