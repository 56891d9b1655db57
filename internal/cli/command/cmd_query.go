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

// queryRequest is the JSON body of a query, documented in docs/API.md.
type queryRequest struct {
	Text          string       `json:"text,omitempty"`
	Filters       []ask.Filter `json:"filters,omitempty"`
	Limit         *int         `json:"limit,omitempty"`
	DeadlineMS    *int64       `json:"deadline_ms,omitempty"`
	AcceptPartial bool         `json:"accept_partial,omitempty"`
	Explain       bool         `json:"explain,omitempty"`
}

// queryFlags are the flags of the query command.
type queryFlags struct {
	filters       []string
	limit         int
	deadline      time.Duration
	acceptPartial bool
	explain       bool
	caller        string
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
		c.Flags().BoolVar(&f.acceptPartial, "partial", false, "accept a partial answer")
		c.Flags().BoolVar(&f.explain, "explain", false, "show calls, hedges, refusals and times")
		c.Flags().StringVar(&f.caller, "caller", "", "name to ask as")
		return func(ctx context.Context, s *session, args []string) error { return f.run(ctx, s, args) }
	},
}

// run sends the query and prints the answer. The result is degraded if the answer
// is incomplete.
func (f queryFlags) run(ctx context.Context, s *session, args []string) error {
	q, err := f.request(args)
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
		return degradedError()
	}
	return err
}

// request builds the request body from the arguments and flags.
func (f queryFlags) request(args []string) (queryRequest, error) {
	q := queryRequest{AcceptPartial: f.acceptPartial, Explain: f.explain}
	if len(args) == 2 {
		q.Text = args[1]
	}
	for _, filter := range f.filters {
		field, value, ok := strings.Cut(filter, "=")
		if !ok {
			return q, usageError("write --filter FIELD=VALUE", "the filter %q has no =", filter)
		}
		q.Filters = append(q.Filters, ask.Filter{Field: field, Value: value})
	}
	if f.limit != 0 {
		q.Limit = &f.limit
	}
	if f.deadline != 0 {
		deadlineMS := f.deadline.Milliseconds()
		q.DeadlineMS = &deadlineMS
	}
	return q, nil
}

// printAnswer prints the hits, the coverage and the execution steps if any.
func printAnswer(s *session, a ask.Answer) error {
	t := newTable(s.out, "KEY", "SCHEMA", "REVISION", "SOURCE", "FIELDS")
	for _, h := range a.Hits {
		t.row(h.Key, fmt.Sprint(h.SchemaVersion), fmt.Sprint(h.Revision), h.Source, formatFields(h.Fields))
	}
	if err := t.flush(); err != nil {
		return err
	}
	completeness := "complete"
	if !a.Complete {
		completeness = "INCOMPLETE"
	}
	fmt.Fprintf(s.out, "%s: %d of %d hits, %.4g of the key space at version %d, %.1f ms\n",
		completeness, len(a.Hits), a.Total, a.Coverage.Fraction(), a.Coverage.Version, a.ElapsedMS)
	for _, g := range a.Coverage.Missing {
		fmt.Fprintf(s.out, "missing %s: %s\n", g.Range, printable(string(g.Reason)))
	}
	if len(a.Steps) == 0 {
		return nil
	}
	return printSteps(s, a)
}

// printSteps prints the number of calls by kind and the steps of the execution.
func printSteps(s *session, a ask.Answer) error {
	cost := a.Cost
	fmt.Fprintf(s.out, "calls: %d primaries, %d hedges, %d retries, %d restarts, %d dropped\n", cost.Primaries, cost.Hedges, cost.Retries, cost.Restarts, cost.Dropped)
	t := newTable(s.out, "AT MS", "WHAT", "SEARCHER", "RANGE", "DETAIL")
	for _, step := range a.Steps {
		t.row(fmt.Sprintf("%.3f", float64(step.AtMicros)/1000), step.What, step.Searcher, step.Range, step.Detail)
	}
	return t.flush()
}

// formatFields returns the fields of a record as sorted name=value pairs.
func formatFields(m map[string]string) string {
	var pairs []string
	for k, v := range m {
		pairs = append(pairs, k+"="+v)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
