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

// ViolationKind is the kind of guarantee that an answer violates.
type ViolationKind string

// Kinds of violations.
const (
	// MixedSnapshots means that an answer has content of another version than
	// it names, a key twice, or a superseded record.
	MixedSnapshots ViolationKind = "mixed_snapshots"
	// FalseCompleteness means that an answer lacks hits in the ranges that it
	// claims to cover, or that a partial answer is marked complete.
	FalseCompleteness ViolationKind = "false_completeness"
	// ForeignAnswer means that an answer belongs to another query.
	ForeignAnswer ViolationKind = "foreign_answer"
	// FalseNotRun means that outcome not_run was reported for a query that ran.
	FalseNotRun ViolationKind = "false_not_run"
)

// Violation is one error found in an answer.
type Violation struct {
	Kind   ViolationKind
	Detail string
}

// CheckAnswer compares the answer to a query with the ground truth and
// returns its violations.
func (t *GroundTruth) CheckAnswer(query ask.Query, d search.Definition, got ask.Answer) []Violation {
	c := checker{truth: t, query: query, d: d, got: got}
	c.run()
	return c.violations
}

// checker holds the state of one CheckAnswer call.
type checker struct {
	truth      *GroundTruth
	query      ask.Query
	d          search.Definition
	got        ask.Answer
	version    *version
	matcher    Query
	violations []Violation
}

func (c *checker) addf(k ViolationKind, format string, args ...any) {
	c.violations = append(c.violations, Violation{Kind: k, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) run() {
	if c.got.QueryID != c.query.QueryID || c.got.Search != c.query.Search {
		c.addf(ForeignAnswer, "answer has query id %s and search %s", c.got.QueryID, c.got.Search)
	}
	if c.got.Outcome.Kind == outcome.KindNotRun && c.truth.HasRun(c.query.QueryID) {
		c.addf(FalseNotRun, "outcome is %v, but a searcher ran the query", c.got.Outcome)
	}
	if c.got.Complete != c.got.Coverage.Complete() {
		c.addf(FalseCompleteness, "complete is %v, coverage.Complete() is %v", c.got.Complete, c.got.Coverage.Complete())
	}
	if !c.got.Outcome.OK() {
		if c.got.Complete {
			c.addf(FalseCompleteness, "answer is complete, but its outcome is %v", c.got.Outcome)
		}
		if len(c.got.Hits) == 0 {
			return
		}
	} else if !c.got.Complete && !c.query.AcceptPartial {
		c.addf(FalseCompleteness, "partial answer, but the query does not accept one")
	}
	if c.version = c.truth.version(c.got.Coverage.Version); c.version == nil {
		c.addf(MixedSnapshots, "version %d does not exist", c.got.Coverage.Version)
		return
	}
	c.matcher = Query{SchemaVersions: c.d.SchemaVersions, Text: c.query.Text, Filters: c.query.Filters}
	c.checkHits()
}

// checkHits compares the hits and the total with the content of the version
// in the ranges that the answer claims to cover.
func (c *checker) checkHits() {
	seen := map[string]bool{}
	minScore := 1.0
	for _, h := range c.got.Hits {
		if seen[h.Key] {
			c.addf(MixedSnapshots, "key %s appears twice", h.Key)
		}
		seen[h.Key] = true
		minScore = min(minScore, h.Score)
		c.checkHit(h)
	}
	limitReached := c.query.Limit > 0 && len(c.got.Hits) >= c.query.Limit
	if c.query.Limit > 0 && len(c.got.Hits) > c.query.Limit {
		c.addf(ForeignAnswer, "answer has %d hits, limit is %d", len(c.got.Hits), c.query.Limit)
	}
	minTotal, maxTotal := 0, 0
	for _, r := range c.got.Coverage.Covered {
		for _, g := range c.version.groupsIn(r) {
			m, ok := c.matcher.match(g)
			if !ok {
				continue
			}
			maxTotal++
			if _, ok := c.matcher.score(c.currentRecord(m)); !ok {
				continue
			}
			minTotal++
			if !seen[g.key] && (!limitReached || m.score > minScore) {
				c.addf(FalseCompleteness, "%s is missing", g.key)
			}
		}
	}
	if c.got.Total < minTotal || c.got.Total > maxTotal {
		c.addf(FalseCompleteness, "total is %d, want %d to %d", c.got.Total, minTotal, maxTotal)
	}
}

// checkHit compares one hit with the content of the version.
func (c *checker) checkHit(h ask.Hit) {
	p := keyrange.Point(h.Key)
	covered := false
	for _, r := range c.got.Coverage.Covered {
		covered = covered || r.Contains(p)
	}
	if !covered {
		c.addf(FalseCompleteness, "key %s is outside the coverage", h.Key)
	}
	g, ok := c.version.group(h.Key)
	if !ok {
		c.addf(MixedSnapshots, "key %s is not in version %d", h.Key, c.got.Coverage.Version)
		return
	}
	m, ok := c.matcher.match(g)
	if !ok {
		c.addf(ForeignAnswer, "key %s does not match the query", h.Key)
		return
	}
	if want := c.currentRecord(m); !reflect.DeepEqual(h.Record, want) {
		c.addf(MixedSnapshots, "key %s has revision %d of schema version %d, want %d of %d", h.Key, h.Revision, h.SchemaVersion, want.Revision, want.SchemaVersion)
	}
}

// currentRecord returns the record of a key that supersedes the others under
// the search's reconcile rule.
func (c *checker) currentRecord(m match) record.Record {
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
