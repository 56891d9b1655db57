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
	// changeInterval is the time between two changes.
	changeInterval = 250 * time.Millisecond
	// lastChangeTimeout is the timeout for the last change to reach all nodes.
	lastChangeTimeout = 10 * time.Second
	// maxRecorded is the upper bound of the histogram.
	maxRecorded       = time.Minute
	significantDigits = 3
)

// recorder records when each node puts which revision in force.
type recorder struct {
	f  *peerfleet.Fleet
	mu sync.Mutex
	// firstInForce is the time of the first adoption of each revision, on the node
	// whose swap was confirmed or on one whose watch was as fast.
	firstInForce map[uint64]time.Time
	// adoptions is by VM ID, in order of time.
	adoptions map[string][]adoption
	// reverts counts adoptions of a revision not higher than the previous one.
	reverts int
	changes int
}

// adoption is the time when a node put a revision in force.
type adoption struct {
	revision uint64
	at       time.Time
}

func newRecorder(f *peerfleet.Fleet) *recorder {
	rec := &recorder{f: f, firstInForce: map[uint64]time.Time{}, adoptions: map[string][]adoption{}}
	for _, n := range f.Nodes() {
		n.Manager.Subscribe(func(s *config.Snapshot, _ config.Source) { rec.record(n.VM.ID, s.Revision) })
	}
	return rec
}

// record adds an adoption by the node with the given VM ID.
func (rec *recorder) record(id string, revision uint64) {
	now := time.Now()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if _, ok := rec.firstInForce[revision]; !ok {
		rec.firstInForce[revision] = now
	}
	as := rec.adoptions[id]
	if len(as) > 0 && as[len(as)-1].revision >= revision {
		rec.reverts++
	}
	rec.adoptions[id] = append(as, adoption{revision, now})
}

// measureChanges applies changes through different nodes for the duration d. It
// returns an error if none is accepted.
func (rec *recorder) measureChanges(ctx context.Context, name string, n int, d time.Duration) (scenario.Arm, error) {
	ns := rec.f.Nodes()
	start, callsBefore := time.Now(), rec.f.PlatformCalls()
	var revisions []uint64
	notAccepted := 0
	for i := 0; time.Since(start) < d && ctx.Err() == nil; i++ {
		// Skip the nodes of the failure domain that may be cut off.
		target := ns[(i*7)%len(ns)]
		if target.VM.Domain == peerfleet.DomainName(1) {
			target = ns[0]
		}
		rec.changes++
		id := fmt.Sprintf("change-%d", rec.changes)
		r := target.Manager.Apply(ctx, config.Change{ID: id, Author: "bench", Put: []search.Definition{{
			Name: fmt.Sprint("search-", rec.changes%20), Service: "claims_desk", MaxLimit: rec.changes,
		}}})
		if r.Verdict == config.Accepted {
			revisions = append(revisions, r.Revision)
		} else {
			notAccepted++
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * changeInterval)))
	}
	if len(revisions) == 0 {
		return scenario.Arm{}, errors.Errorf("none of %d configuration changes was accepted", notAccepted)
	}
	callRate := float64(rec.f.PlatformCalls()-callsBefore) / time.Since(start).Seconds()
	waitCtx, cancel := context.WithTimeout(ctx, lastChangeTimeout)
	defer cancel()
	missing := rec.waitForRevision(waitCtx, revisions[len(revisions)-1])
	a := rec.figures(revisions)
	a.Name = fmt.Sprintf("%s_%d_nodes", name, n)
	a.Figures = append(a.Figures,
		figure.AtMost("changes_not_accepted", float64(notAccepted), 0),
		figure.AtMost("nodes_without_last_change", float64(missing), 0),
		figure.Of("kv_calls_per_second_with_4_changes_per_second", callRate))
	return a, nil
}

// waitForRevision waits until all nodes have at least the given revision, and
// returns the number of nodes that don't when ctx is done.
func (rec *recorder) waitForRevision(ctx context.Context, revision uint64) int {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		missing := 0
		for _, n := range rec.f.Nodes() {
			if n.Manager.Current().Revision < revision {
				missing++
			}
		}
		if missing == 0 || ctx.Err() != nil {
			return missing
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// figures returns the propagation times of the revisions. A node that skips a
// revision counts as having it when it adopts a later one.
func (rec *recorder) figures(revisions []uint64) scenario.Arm {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	h := hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
	for _, r := range revisions {
		for _, as := range rec.adoptions {
			for _, a := range as {
				if a.revision >= r {
					recordClamped(h, a.at.Sub(rec.firstInForce[r]))
					break
				}
			}
		}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	a := scenario.Arm{Wrong: scenario.WrongAnswers{Reverts: rec.reverts}}
	a.Figures = []scenario.Figure{
		figure.Of("changes", float64(len(revisions))), figure.Of("in_force", float64(h.TotalCount())),
		figure.Of("p50_ms", ms(50)), figure.AtMost("p99_ms", ms(99), targetMS),
		figure.AtMost("max_ms", float64(h.Max())/1000, targetMS),
		figure.AtMost("reverts", float64(rec.reverts), 0),
	}
	for _, b := range h.CumulativeDistribution() {
		a.LatencyMS = append(a.LatencyMS, scenario.Point{X: b.Quantile, Y: float64(b.ValueAt) / 1000})
	}
	return a
}

// recordClamped adds d, clamped to the bounds of the histogram.
func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	if err := h.RecordValue(min(max(1, d.Microseconds()), maxRecorded.Microseconds())); err != nil {
		panic(err)
	}
}
