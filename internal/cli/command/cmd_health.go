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

// showHealth prints one line per search and failure domain.
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
		return degradedError()
	}
	return err
}

// printHealth prints a summary line and a table, worst verdict first.
func printHealth(s *session, r health.Report) error {
	counts := make(map[health.Verdict]int)
	for _, st := range r.States {
		counts[st.Verdict]++
	}
	fmt.Fprintf(s.out, "%s: %d ok, %d degraded, %d down, %d unknown (by %s in %s, %s)\n",
		strings.ToUpper(string(r.Verdict())), counts[health.OK], counts[health.Degraded], counts[health.Down], counts[health.Unknown],
		r.Node, r.Domain, describeConfig(r))
	if w := r.WritesRefused(); w > 0 {
		fmt.Fprintf(s.out, "WRITES REFUSED: the platform's store does not answer, in %d of %d lines\n", w, len(r.States))
	}
	t := newTable(s.out, "SEARCH", "FAILURE DOMAIN", "VERDICT", "FOR", "EVIDENCE AGE", "WHY")
	for _, st := range r.WorstFirst() {
		t.row(st.Search, string(st.Domain), string(st.Verdict), formatElapsed(st.Since, time.Now()), formatMillis(st.AgeMS), explainVerdict(st))
	}
	return t.flush()
}

// describeConfig returns the configuration revision and when it was confirmed.
func describeConfig(r health.Report) string {
	if r.ConfigAgeMS < 0 {
		return fmt.Sprintf("configuration %d never confirmed by the platform", r.ConfigRevision)
	}
	return fmt.Sprintf("configuration %d confirmed %s ago", r.ConfigRevision, formatMillis(r.ConfigAgeMS))
}

// explainVerdict returns the details and reasons behind a verdict.
func explainVerdict(st health.State) string {
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
	const maxRanges = 3
	for i, g := range st.Missing {
		if i == maxRanges {
			parts = append(parts, fmt.Sprintf("and %d more ranges", len(st.Missing)-maxRanges))
			break
		}
		parts = append(parts, fmt.Sprintf("missing %s: %s", g.Range, g.Reason))
	}
	return strings.Join(parts, "; ")
}
