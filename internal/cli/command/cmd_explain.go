package command

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/query/explain"
)

// defaultMetricsAddr is the default address of a gateway's metrics page.
const defaultMetricsAddr = "127.0.0.1:9464"

var cmdExplain = command{
	use:  "explain --host HOST --path PATH",
	help: "Tell what a gateway would do with a request, without sending it; exit code 1 if it would refuse it",
	example: "  egrethaven explain --host search.example --path /all/x\n" +
		"  egrethaven explain --addr 10.0.0.7:9464 --method POST --host search.example --path /one/x --body-bytes 300 --json",
	setup: func(c *cobra.Command) action {
		var q explain.Query
		var addr string
		var asJSON bool
		f := c.Flags()
		f.StringVar(&addr, "addr", envOrDefault(addrEnv, defaultMetricsAddr), "IP:port of a gateway's metrics page")
		f.BoolVar(&asJSON, "json", false, "print JSON in the place of a table")
		f.StringVar(&q.Method, "method", http.MethodGet, "method of the request")
		f.StringVar(&q.Host, "host", "", "host that the request names")
		f.StringVar(&q.Path, "path", "", "path and query of the request")
		f.StringVar(&q.Key, "key", "", "key of a client account; it is not printed")
		f.Int64Var(&q.BodyBytes, "body-bytes", 0, "size of the request's body")
		return func(ctx context.Context, s *session, _ []string) error {
			s.addr, s.json = addr, asJSON
			return explainRequest(ctx, s, q)
		}
	},
}

// explainRequest asks a gateway and prints its report.
func explainRequest(ctx context.Context, s *session, q explain.Query) error {
	if q.Method == "" || q.Host == "" || !strings.HasPrefix(q.Path, "/") || q.BodyBytes < 0 {
		return usageError("see egrethaven explain --help", "a method, a host, a path that begins with a slash, and a size of at least 0 are needed")
	}
	var r explain.Report
	if err := s.client().Post(ctx, "/explain", nil, nil, q, &r); err != nil {
		return errors.Trace(err)
	}
	var err error
	if s.json {
		err = printJSON(s.out, r)
	} else {
		err = printReport(s, r)
	}
	if err == nil && !r.Admitted {
		return degradedError()
	}
	return err
}

// printReport prints the decision, and a table of the searchers.
func printReport(s *session, r explain.Report) error {
	if r.Admitted {
		fmt.Fprintf(s.out, "ADMITTED: %s\n", r.Why)
	} else {
		fmt.Fprintf(s.out, "REFUSED with %d (%s): %s\n", r.Status, r.Reason, r.Why)
		if r.RetryAfterMS > 0 {
			fmt.Fprintf(s.out, "retry after %g ms\n", r.RetryAfterMS)
		}
	}
	fmt.Fprintf(s.out, "by %s, configuration %d, known for %g ms\n", printable(r.VM), r.ConfigVersion, r.ConfigAgeMS)
	if r.Route == "" {
		return nil
	}
	fmt.Fprintf(s.out, "route %s, account %s, priority %d, objective %g ms, deadline %g ms, %d shards needed\n",
		printable(r.Route), orNone(r.Account), r.Priority, r.ObjectiveMS, r.DeadlineMS, r.NeededShards)
	for _, v := range []struct {
		owner   explain.Owner
		regions []string
	}{{explain.Route, r.RouteRegions}, {explain.Account, r.AccountRegions}} {
		if len(v.regions) > 0 {
			fmt.Fprintf(s.out, "regions that the %s permits: %s\n", v.owner, printable(strings.Join(v.regions, ", ")))
		}
	}
	if r.QuotaPerSecond > 0 {
		fmt.Fprintf(s.out, "quota of all gateways together: %g requests/s, burst %g\n", r.QuotaPerSecond, r.QuotaBurst)
		printPermits(s, r)
	}
	if len(r.Shards) == 0 {
		return nil
	}
	t := newTable(s.out, "SERVICE", "SEARCHER", "FAILURE DOMAIN", "CHOSEN", "EXPECTED", "WHY")
	for _, h := range r.Shards {
		if h.Why != "" {
			t.row(h.Service, "-", "-", "-", "-", h.Why)
		}
		for _, c := range h.Searchers {
			t.row(h.Service, c.ID, c.Domain, map[bool]string{true: "yes", false: "no"}[c.Chosen], fmt.Sprintf("%g ms", c.EstimateMS), describeSearcher(c))
		}
		switch {
		case h.Hedge.Searcher != "":
			t.row(h.Service, h.Hedge.Searcher, "-", "hedge", fmt.Sprintf("after %g ms", h.Hedge.AfterMS), "")
		case h.Hedge.Why != "":
			t.row(h.Service, "-", "-", "no hedge", "-", h.Hedge.Why)
		}
	}
	return t.flush()
}

// printPermits prints what the gateway holds of the account's quota.
func printPermits(s *session, r explain.Report) {
	held := "none"
	if len(r.QuotaPermits) > 0 {
		var lots []string
		for _, p := range r.QuotaPermits {
			lots = append(lots, fmt.Sprintf("%d for %g ms", p.Count, p.LeftMS))
		}
		held = strings.Join(lots, ", ")
	}
	next := map[explain.Permit]string{
		explain.PermitHeld:    "the next request gets one of them",
		explain.PermitAsked:   "the next request waits until the quota's coordinator was asked for one",
		explain.PermitRefused: "the next request gets none",
	}[r.QuotaNext]
	if next != "" {
		fmt.Fprintf(s.out, "permits held: %s; %s\n", held, next)
	}
}

// describeSearcher returns why a searcher is not chosen, and its state.
func describeSearcher(c explain.Searcher) string {
	var parts []string
	if c.Why != "" {
		parts = append(parts, c.Why)
	}
	for _, o := range c.ExcludedBy {
		parts = append(parts, "excluded by the "+string(o))
	}
	if c.Cold {
		parts = append(parts, "cold")
	}
	if c.Limited {
		parts = append(parts, "limited")
	}
	return strings.Join(parts, "; ")
}

// orNone returns a printable text, or "none" if it is empty.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return printable(s)
}
