package dataset

import (
	"fmt"
	"reflect"

	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/state/search"
)

// FaultKind is a promise that an answer breaks.
type FaultKind string

// The kinds of faults.
const (
	// Mixed: content that is not of the version that the answer names, a
	// key twice, or a record that another one supersedes.
	Mixed FaultKind = "mixed_snapshots"
	// FalseComplete: the answer lacks something that its coverage claims, or
	// a partial answer passes for a complete one.
	FalseComplete FaultKind = "false_completeness"
	// Foreign: the answer to another question.
	Foreign FaultKind = "foreign_answer"
	// FalseNotRun: not_run was said of a request that ran.
	FalseNotRun FaultKind = "false_not_run"
)

// Fault is one way in which an answer is wrong.
type Fault struct {
	Kind   FaultKind
	Detail string
}

// Check compares an answer with the truth and returns its faults.
func (t *Truth) Check(a ask.Query, d search.Definition, got ask.Answer) []Fault {
	c := check{t: t, ask: a, d: d, got: got}
	c.run()
	return c.faults
}

// check is the state of one comparison.
type check struct {
	t      *Truth
	ask    ask.Query
	d      search.Definition
	got    ask.Answer
	v      *version
	q      Request
	faults []Fault
}

func (c *check) fault(k FaultKind, format string, args ...any) {
	c.faults = append(c.faults, Fault{Kind: k, Detail: fmt.Sprintf(format, args...)})
}

func (c *check) run() {
	if c.got.QueryID != c.ask.QueryID || c.got.Search != c.ask.Search {
		c.fault(Foreign, "answer to %s of %s", c.got.QueryID, c.got.Search)
	}
	if c.got.Outcome.Kind == outcome.KindNotRun && c.t.Ran(c.ask.QueryID) {
		c.fault(FalseNotRun, "%v, but a searcher ran it", c.got.Outcome)
	}
	if c.got.Complete != c.got.Coverage.Complete() {
		c.fault(FalseComplete, "complete is %v, coverage says %v", c.got.Complete, c.got.Coverage.Complete())
	}
	if !c.got.Outcome.OK() {
		if c.got.Complete {
			c.fault(FalseComplete, "complete, but %v", c.got.Outcome)
		}
		if len(c.got.Hits) == 0 {
			return
		}
	} else if !c.got.Complete && !c.ask.AcceptPartial {
		c.fault(FalseComplete, "partial answer to a caller who did not accept one")
	}
	if c.v = c.t.version(c.got.Coverage.Version); c.v == nil {
		c.fault(Mixed, "version %d never was", c.got.Coverage.Version)
		return
	}
	c.q = Request{SchemaVersions: c.d.SchemaVersions, Text: c.ask.Text, Filters: c.ask.Filters}
	c.content()
}

// content compares the hits with what the version holds in the ranges that
// the answer claims to cover.
func (c *check) content() {
	seen := map[string]bool{}
	lowest := 1.0
	for _, h := range c.got.Hits {
		if seen[h.Key] {
			c.fault(Mixed, "%s twice", h.Key)
		}
		seen[h.Key] = true
		lowest = min(lowest, h.Score)
		c.hit(h)
	}
	full := c.ask.Limit > 0 && len(c.got.Hits) >= c.ask.Limit
	if c.ask.Limit > 0 && len(c.got.Hits) > c.ask.Limit {
		c.fault(Foreign, "%d hits, limit %d", len(c.got.Hits), c.ask.Limit)
	}
	least, most := 0, 0
	for _, r := range c.got.Coverage.Covered {
		for _, g := range c.v.in(r) {
			m, ok := c.q.match(g)
			if !ok {
				continue
			}
			most++
			if _, ok := c.q.score(c.valid(m)); !ok {
				continue
			}
			least++
			if !seen[g.key] && (!full || m.score > lowest) {
				c.fault(FalseComplete, "%s is missing", g.key)
			}
		}
	}
	if c.got.Total < least || c.got.Total > most {
		c.fault(FalseComplete, "total %d, not within %d and %d", c.got.Total, least, most)
	}
}

// hit compares one hit with the version.
func (c *check) hit(h ask.Hit) {
	p := keyrange.Point(h.Key)
	covered := false
	for _, r := range c.got.Coverage.Covered {
		covered = covered || r.Contains(p)
	}
	if !covered {
		c.fault(FalseComplete, "%s lies outside of the coverage", h.Key)
	}
	g, ok := c.v.find(h.Key)
	if !ok {
		c.fault(Mixed, "%s is not in version %d", h.Key, c.got.Coverage.Version)
		return
	}
	m, ok := c.q.match(g)
	if !ok {
		c.fault(Foreign, "%s does not match the question", h.Key)
		return
	}
	if want := c.valid(m); !reflect.DeepEqual(h.Record, want) {
		c.fault(Mixed, "%s has revision %d of schema %d, not %d of %d", h.Key, h.Revision, h.SchemaVersion, want.Revision, want.SchemaVersion)
	}
}

// valid returns the record of a key that the others yield to.
func (c *check) valid(m match) record.Record {
	best := m.records[0]
	for _, r := range m.records[1:] {
		newer := r.Revision > best.Revision || r.Revision == best.Revision && r.SchemaVersion > best.SchemaVersion
		if c.d.Reconcile == search.ReconcileNewestSchema && r.SchemaVersion != best.SchemaVersion {
			newer = r.SchemaVersion > best.SchemaVersion
		}
		if newer {
			best = r
		}
	}
	return best
}
