// Package arm holds the arms of an experiment on one rig: the current policy
// and, when a baseline is asked for, that one beside it.
//
// # Usage
//
//	as, err := arm.Make(ctx, rig, options, "")
//	as.Warm(ctx, c)
//	as.Slices(ctx, c)
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

// Arm is a node with a policy and what it answered.
type Arm struct {
	Name string
	// Node with the policy; nil when something else answers.
	Node    *testbed.Node
	Querier testbed.Querier
	Samples *sample.Set
	// AcceptPartial tells that its callers accept partial answers.
	AcceptPartial bool
}

// Arms are the arms of one experiment; the first has the current policy.
type Arms struct {
	rig   *testbed.Testbed
	suf   string
	list  []*Arm
	notes []string
}

// readyWait bounds the wait for the searchers of a rig.
const readyWait = 30 * time.Second

// Start starts a node for each arm. The suffix tells arms of several rigs
// apart in a report.
func Start(ctx context.Context, r *testbed.Testbed, o scenario.Options, suffix string) (*Arms, error) {
	as := New(r)
	as.suf = suffix
	as.Add(scatter.DefaultPolicy(), testbed.NodeConfig{})
	if err := as.AddBaseline(o, testbed.NodeConfig{}); err != nil {
		return nil, errors.Trace(err)
	}
	return as, errors.Trace(as.WaitReady(ctx))
}

// New returns no arms yet, on a rig.
func New(r *testbed.Testbed) *Arms { return &Arms{rig: r} }

// AddBaseline adds the baseline that the options ask for, if they do.
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

// AddQuerier adds an arm that something else than a node of the rig answers.
func (as *Arms) AddQuerier(name string, a testbed.Querier) *Arm {
	x := &Arm{Name: name, Querier: a, Samples: sample.New()}
	as.list = append(as.list, x)
	return x
}

// Add starts a node with a policy.
func (as *Arms) Add(p scatter.Policy, c testbed.NodeConfig) *Arm {
	c.Policy = p
	n := as.rig.StartNode(c)
	a := as.AddQuerier(p.Name, n)
	a.Node = n
	return a
}

// WaitReady waits until every arm's node knows all searchers.
func (as *Arms) WaitReady(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, a := range as.list {
		if a.Node == nil {
			continue
		}
		if err := as.rig.WaitReady(c, a.Node); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// ask sends the next question to an arm.
func (as *Arms) ask(ctx context.Context, a *Arm, due time.Time) {
	q := as.rig.NextQuery()
	q.AcceptPartial = a.AcceptPartial
	a.Samples.Add(testbed.Send(ctx, a.Querier, q, due))
}

// All returns the arms.
func (as *Arms) All() []*Arm { return as.list }

// Snapshot returns the arms with what was measured so far; a later Reset
// leaves it alone.
func (as *Arms) Snapshot() *Arms {
	c := &Arms{rig: as.rig, suf: as.suf}
	for _, a := range as.list {
		o := *a
		c.list = append(c.list, &o)
	}
	return c
}

// Current returns the arm with the current policy.
func (as *Arms) Current() *Arm { return as.list[0] }

// Baseline returns the baseline's arm, or nil.
func (as *Arms) Baseline() *Arm {
	if len(as.list) < 2 {
		return nil
	}
	return as.list[1]
}

// WarmUp loads the arms without measuring.
func (as *Arms) WarmUp(ctx context.Context, c interleave.Config) {
	as.RunBySlice(ctx, c)
	as.Reset()
}

// Reset forgets what was measured so far.
func (as *Arms) Reset() {
	for _, a := range as.list {
		a.Samples = sample.New()
	}
}

// AskCurrent sends a question to the current arm.
func (as *Arms) AskCurrent(ctx context.Context, due time.Time) {
	as.ask(ctx, as.Current(), due)
}

// RunBySlice loads the arms in turns.
func (as *Arms) RunBySlice(ctx context.Context, c interleave.Config) {
	interleave.BySlice(ctx, c, as.sides())
}

// RunByArrival loads the arms at the same time.
func (as *Arms) RunByArrival(ctx context.Context, c interleave.Config) {
	interleave.ByArrival(ctx, c, as.sides())
}

// sides are the arms as the load sees them.
func (as *Arms) sides() []interleave.Arm {
	var ds []interleave.Arm
	for _, a := range as.list {
		ds = append(ds, interleave.Arm{Name: a.Name, Do: func(ctx context.Context, due time.Time) {
			as.ask(ctx, a, due)
		}})
	}
	return ds
}

// Report returns the arms as reports hold them, with the oracle's counts.
func (as *Arms) Report() []scenario.Arm {
	var rs []scenario.Arm
	for _, a := range as.list {
		w, notes := a.Samples.Check(as.rig.Truth, as.rig.Definition)
		for _, n := range notes {
			as.notes = append(as.notes, a.Name+": "+n)
		}
		rs = append(rs, scenario.Arm{
			Name: a.Name + as.suf, Figures: a.Samples.Figures(), Wrong: w, LatencyMS: a.Samples.LatencyDistribution(),
		})
	}
	return rs
}

// Notes returns the oracle's words on wrong answers, after Report.
func (as *Arms) Notes() []string { return as.notes }

// Rate returns the rate that the options ask for, or the scenario's own.
func Rate(o scenario.Options, own float64) float64 {
	if o.Rate > 0 {
		return o.Rate
	}
	return own
}
