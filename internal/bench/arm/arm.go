// Package arm holds the arms of an experiment on one testbed: the current
// policy and, on request, a baseline policy to compare it with.
//
// # Usage
//
//	as, err := arm.Start(ctx, testbed, options, "")
//	as.WarmUp(ctx, c)
//	as.RunBySlice(ctx, c)
//	report.Arms = as.Report()
package arm

import (
	"context"
	"time"

	"egrethaven/internal/bench/interleave"
	"egrethaven/internal/bench/sample"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/query/scatter"

	"github.com/juju/errors"
)

// Arm is a node with a policy, and samples of its answers.
type Arm struct {
	Name string
	// Node runs the policy; nil for an arm added by AddQuerier.
	Node    *testbed.Node
	Querier testbed.Querier
	Samples *sample.Set
	// AcceptPartial is set if the callers of this arm accept partial answers.
	AcceptPartial bool
}

// Arms are the arms of one experiment. The first runs the current policy.
type Arms struct {
	testbed *testbed.Testbed
	suffix  string
	list    []*Arm
	notes   []string
}

// readyTimeout bounds the wait until the nodes know all searchers.
const readyTimeout = 30 * time.Second

// Start starts a node for each arm and waits until all are ready. The suffix
// is added to the arms' names in reports, to distinguish several testbeds.
func Start(ctx context.Context, t *testbed.Testbed, o scenario.Options, suffix string) (*Arms, error) {
	as := New(t)
	as.suffix = suffix
	as.Add(scatter.DefaultPolicy(), testbed.NodeConfig{})
	if err := as.AddBaseline(o, testbed.NodeConfig{}); err != nil {
		return nil, errors.Trace(err)
	}
	return as, errors.Trace(as.WaitReady(ctx))
}

// New returns an empty set of arms on a testbed.
func New(t *testbed.Testbed) *Arms { return &Arms{testbed: t} }

// AddBaseline adds the baseline that the options name, if any. It returns a
// NotFound error for an unknown name.
func (as *Arms) AddBaseline(o scenario.Options, c testbed.NodeConfig) error {
	switch o.Baseline {
	case "":
		return nil
	case scatter.NaivePolicy().Name:
		c.Naive = true
		as.Add(scatter.NaivePolicy(), c)
		return nil
	}
	return errors.NotFoundf("baseline %q", o.Baseline)
}

// AddQuerier adds an arm whose queries q answers, without a node of the testbed.
func (as *Arms) AddQuerier(name string, q testbed.Querier) *Arm {
	a := &Arm{Name: name, Querier: q, Samples: sample.New()}
	as.list = append(as.list, a)
	return a
}

// Add starts a node with a policy and adds it as an arm.
func (as *Arms) Add(p scatter.Policy, c testbed.NodeConfig) *Arm {
	c.Policy = p
	n := as.testbed.StartNode(c)
	a := as.AddQuerier(p.Name, n)
	a.Node = n
	return a
}

// WaitReady waits until the node of every arm knows all searchers.
func (as *Arms) WaitReady(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, a := range as.list {
		if a.Node == nil {
			continue
		}
		if err := as.testbed.WaitReady(c, a.Node); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// ask sends the next query to an arm and records the answer.
func (as *Arms) ask(ctx context.Context, a *Arm, due time.Time) {
	q := as.testbed.NextQuery()
	q.AcceptPartial = a.AcceptPartial
	a.Samples.Add(testbed.Send(ctx, a.Querier, q, due))
}

// All returns the arms.
func (as *Arms) All() []*Arm { return as.list }

// Snapshot returns a copy of the arms with their samples so far, which a later
// Reset does not clear.
func (as *Arms) Snapshot() *Arms {
	c := &Arms{testbed: as.testbed, suffix: as.suffix}
	for _, a := range as.list {
		o := *a
		c.list = append(c.list, &o)
	}
	return c
}

// Current returns the arm that runs the current policy.
func (as *Arms) Current() *Arm { return as.list[0] }

// Baseline returns the arm that runs the baseline, or nil if there is none.
func (as *Arms) Baseline() *Arm {
	if len(as.list) < 2 {
		return nil
	}
	return as.list[1]
}

// WarmUp loads the arms and discards the samples.
func (as *Arms) WarmUp(ctx context.Context, c interleave.Config) {
	as.RunBySlice(ctx, c)
	as.Reset()
}

// Reset discards the samples of all arms.
func (as *Arms) Reset() {
	for _, a := range as.list {
		a.Samples = sample.New()
	}
}

// AskCurrent sends the next query to the arm with the current policy.
func (as *Arms) AskCurrent(ctx context.Context, due time.Time) {
	as.ask(ctx, as.Current(), due)
}

// RunBySlice loads one arm at a time, in slices that take turns.
func (as *Arms) RunBySlice(ctx context.Context, c interleave.Config) {
	interleave.BySlice(ctx, c, as.loads())
}

// RunByArrival loads all arms at the same time, assigning arrivals in turn.
func (as *Arms) RunByArrival(ctx context.Context, c interleave.Config) {
	interleave.ByArrival(ctx, c, as.loads())
}

// loads returns the arms for package interleave.
func (as *Arms) loads() []interleave.Arm {
	var ls []interleave.Arm
	for _, a := range as.list {
		ls = append(ls, interleave.Arm{Name: a.Name, Do: func(ctx context.Context, due time.Time) {
			as.ask(ctx, a, due)
		}})
	}
	return ls
}

// Report returns the figures of all arms, with the wrong answers that the
// oracle of the stand-ins counted.
func (as *Arms) Report() []scenario.Arm {
	var rs []scenario.Arm
	for _, a := range as.list {
		w, notes := a.Samples.Check(as.testbed.Truth, as.testbed.Definition)
		for _, n := range notes {
			as.notes = append(as.notes, a.Name+": "+n)
		}
		rs = append(rs, scenario.Arm{
			Name: a.Name + as.suffix, Figures: a.Samples.Figures(), Wrong: w, LatencyMS: a.Samples.LatencyDistribution(),
		})
	}
	return rs
}

// Notes describes some of the wrong answers; it is filled by Report.
func (as *Arms) Notes() []string { return as.notes }

// Rate returns the arrivals per second from the options, or the scenario's
// default.
func Rate(o scenario.Options, defaultRate float64) float64 {
	if o.Rate > 0 {
		return o.Rate
	}
	return defaultRate
}
