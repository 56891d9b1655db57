package command

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/observe/health"
)

var cmdHealth = command{
	use:  "health [SEARCH]",
	help: "Tell whether search is down, by search and failure domain; exit code 1 if not all is ok",
	example: "  egrethaven health\n" +
		"  egrethaven health warranty --json",
	args:   cobra.MaximumNArgs(1),
	remote: true,
	setup:  func(*cobra.Command) action { return showHealth },
}

// showHealth shows one search in one failure domain a line.
func showHealth(ctx context.Context, s *session, args []string) error {
	q := url.Values{}
	if len(args) == 1 {
		q.Set("search", args[0])
	}
	var r health.Report
	if err := s.client().Get(ctx, "/health", q, &r); err != nil {
		return errors.Trace(err)
	}
	var err error
	if s.json {
		err = printJSON(s.out, r)
	} else {
		err = printHealth(s, r)
	}
	if err == nil && (r.Verdict() != health.OK || r.WritesRefused() > 0) {
		return degraded()
	}
	return err
}

// printHealth writes a summary and a table.
func printHealth(s *session, r health.Report) error {
	n := make(map[health.Verdict]int)
	for _, st := range r.States {
		n[st.Verdict]++
	}
	fmt.Fprintf(s.out, "%s: %d ok, %d degraded, %d down, %d unknown (by %s in %s, %s)\n",
		strings.ToUpper(string(r.Verdict())), n[health.OK], n[health.Degraded], n[health.Down], n[health.Unknown],
		r.Node, r.Domain, configuration(r))
	if w := r.WritesRefused(); w > 0 {
		fmt.Fprintf(s.out, "WRITES REFUSED: the platform's store does not answer, in %d of %d lines\n", w, len(r.States))
	}
	t := newTable(s.out, "SEARCH", "FAILURE DOMAIN", "VERDICT", "FOR", "EVIDENCE AGE", "WHY")
	for _, st := range r.WorstFirst() {
		t.row(st.Search, string(st.Domain), string(st.Verdict), ago(st.Since, time.Now()), ms(st.AgeMS), why(st))
	}
	return t.end()
}

// configuration says which configuration the node has, and how sure that is.
func configuration(r health.Report) string {
	if r.ConfigAgeMS < 0 {
		return fmt.Sprintf("configuration %d never confirmed by the platform", r.ConfigRevision)
	}
	return fmt.Sprintf("configuration %d confirmed %s ago", r.ConfigRevision, ms(r.ConfigAgeMS))
}

// why says what a verdict rests on, when it is not plainly ok.
func why(st health.State) string {
	var parts []string
	if st.Detail != "" {
		parts = append(parts, st.Detail)
	}
	if st.WritesRefused {
		parts = append(parts, "writes are refused")
	}
	if len(st.UnresponsiveNodes) > 0 {
		parts = append(parts, "silent: "+strings.Join(st.UnresponsiveNodes, " "))
	}
	if st.Verdict == health.OK {
		return strings.Join(parts, "; ")
	}
	if st.Reason != "" {
		parts = append(parts, "last refusal: "+string(st.Reason))
	}
	const shown = 3
	for i, g := range st.Missing {
		if i == shown {
			parts = append(parts, fmt.Sprintf("and %d more ranges", len(st.Missing)-shown))
			break
		}
		parts = append(parts, fmt.Sprintf("missing %s: %s", g.Range, g.Reason))
	}
	return strings.Join(parts, "; ")
}
