package command

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/query/ask"
)

// query is the body of a query, as docs/API.md describes it.
type query struct {
	Text          string       `json:"text,omitempty"`
	Filters       []ask.Filter `json:"filters,omitempty"`
	Limit         *int         `json:"limit,omitempty"`
	DeadlineMS    *int64       `json:"deadline_ms,omitempty"`
	AcceptPartial bool         `json:"accept_partial,omitempty"`
	Explain       bool         `json:"explain,omitempty"`
}

// queryFlags are the flags of the query command.
type queryFlags struct {
	filters  []string
	limit    int
	deadline time.Duration
	partial  bool
	explain  bool
	caller   string
}

var cmdQuery = command{
	use:  "query SEARCH [TEXT]",
	help: "Ask a search; exit code 1 if the answer is not complete",
	example: "  egrethaven query warranty joint --filter city=Sapporo\n" +
		"  egrethaven query readings M-17 --partial --deadline 200ms --explain",
	args:   cobra.RangeArgs(1, 2),
	remote: true,
	setup: func(c *cobra.Command) action {
		var f queryFlags
		c.Flags().StringArrayVar(&f.filters, "filter", nil, "FIELD=VALUE that a record must have")
		c.Flags().IntVar(&f.limit, "limit", 0, "most hits to return (0: the default)")
		c.Flags().DurationVar(&f.deadline, "deadline", 0, "longest time for the answer (0: that of the search)")
		c.Flags().BoolVar(&f.partial, "partial", false, "accept a partial answer")
		c.Flags().BoolVar(&f.explain, "explain", false, "show calls, hedges, refusals and times")
		c.Flags().StringVar(&f.caller, "caller", "", "name to ask as")
		return func(ctx context.Context, s *session, args []string) error { return f.run(ctx, s, args) }
	},
}

// run asks and shows the answer.
func (f queryFlags) run(ctx context.Context, s *session, args []string) error {
	q, err := f.query(args)
	if err != nil {
		return err
	}
	h := http.Header{}
	if f.caller != "" {
		h.Set("X-Caller", f.caller)
	}
	var a ask.Answer
	if err := s.client().Post(ctx, "/searches/"+args[0]+"/query", nil, h, q, &a); err != nil {
		return errors.Trace(err)
	}
	if s.json {
		err = printJSON(s.out, a)
	} else {
		err = printAnswer(s, a)
	}
	if err == nil && !a.Complete {
		return degraded()
	}
	return err
}

// query builds the body.
func (f queryFlags) query(args []string) (query, error) {
	q := query{AcceptPartial: f.partial, Explain: f.explain}
	if len(args) == 2 {
		q.Text = args[1]
	}
	for _, s := range f.filters {
		field, value, ok := strings.Cut(s, "=")
		if !ok {
			return q, usage("write --filter FIELD=VALUE", "the filter %q has no =", s)
		}
		q.Filters = append(q.Filters, ask.Filter{Field: field, Value: value})
	}
	if f.limit != 0 {
		q.Limit = &f.limit
	}
	if f.deadline != 0 {
		n := f.deadline.Milliseconds()
		q.DeadlineMS = &n
	}
	return q, nil
}

// printAnswer shows hits, what the answer covers, and its steps.
func printAnswer(s *session, a ask.Answer) error {
	t := newTable(s.out, "KEY", "SCHEMA", "REVISION", "SOURCE", "FIELDS")
	for _, h := range a.Hits {
		t.row(h.Key, fmt.Sprint(h.SchemaVersion), fmt.Sprint(h.Revision), h.Source, fields(h.Fields))
	}
	if err := t.end(); err != nil {
		return err
	}
	state := "complete"
	if !a.Complete {
		state = "INCOMPLETE"
	}
	fmt.Fprintf(s.out, "%s: %d of %d hits, %.4g of the key space at version %d, %.1f ms\n",
		state, len(a.Hits), a.Total, a.Coverage.Fraction(), a.Coverage.Version, a.ElapsedMS)
	for _, g := range a.Coverage.Missing {
		fmt.Fprintf(s.out, "missing %s: %s\n", g.Range, printable(string(g.Reason)))
	}
	if len(a.Steps) == 0 {
		return nil
	}
	return printSteps(s, a)
}

// printSteps explains how the answer came about.
func printSteps(s *session, a ask.Answer) error {
	c := a.Cost
	fmt.Fprintf(s.out, "calls: %d primaries, %d hedges, %d retries, %d restarts, %d dropped\n", c.Primaries, c.Hedges, c.Retries, c.Restarts, c.Dropped)
	t := newTable(s.out, "AT MS", "WHAT", "SEARCHER", "RANGE", "DETAIL")
	for _, p := range a.Steps {
		t.row(fmt.Sprintf("%.3f", float64(p.AtMicros)/1000), p.What, p.Searcher, p.Range, p.Detail)
	}
	return t.end()
}

// fields writes the fields of a record in order.
func fields(m map[string]string) string {
	var out []string
	for k, v := range m {
		out = append(out, k+"="+v)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
