package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/query/explain"
)

const (
	// defaultMetricsAddr is the default address of a gateway's metrics page.
	defaultMetricsAddr = "127.0.0.1:9464"
	// maxExplainBody is the maximum size of a body that is read, in bytes.
	maxExplainBody = 256 << 20
)

var cmdExplain = command{
	use:  "explain --host HOST --path PATH",
	help: "Tell what a gateway would do with a request, without sending it; exit code 1 if it would refuse it",
	example: "  egrethaven explain --host search.example --path /all/x\n" +
		"  egrethaven explain --addr 10.0.0.7:9464 --method POST --host search.example --path /one/x --body-bytes 300 --json",
	setup: func(c *cobra.Command) action {
		var q explain.Query
		var addr string
		var asJSON bool
		var b explainBody
		f := c.Flags()
		f.StringVar(&addr, "addr", envOrDefault(addrEnv, defaultMetricsAddr), "IP:port of a gateway's metrics page")
		f.BoolVar(&asJSON, "json", false, "print JSON in the place of a table")
		f.StringVar(&q.Method, "method", http.MethodGet, "method of the request")
		f.StringVar(&q.Host, "host", "", "host that the request names")
		f.StringVar(&q.Path, "path", "", "path and query of the request")
		f.StringVar(&q.Key, "key", "", "key of a client account; it is not printed")
		f.Int64Var(&q.BodyBytes, "body-bytes", 0, "size of the request's body, if the body itself is not given")
		f.StringVar(&b.file, "body", "", "file with the request's body, - for the standard input; only a hash of it leaves this command")
		f.StringVar(&b.authorization, "authorization", "", "Authorization header of the request; only a hash of it leaves this command")
		c.MarkFlagsMutuallyExclusive("body", "body-bytes")
		return func(ctx context.Context, s *session, _ []string) error {
			s.addr, s.json = addr, asJSON
			return explainRequest(ctx, s, q, b)
		}
	},
}

// explainBody is what the command takes of a request, beside the explain.Query, to know it again
// if it crashes searchers.
type explainBody struct {
	// file is the name of the file with the body, "-" for the standard input; empty for none.
	file          string
	authorization string
}

// given reports whether any of it was given.
func (b explainBody) given() bool { return b.file != "" || b.authorization != "" }

// read returns the body.
func (b explainBody) read(in io.Reader) ([]byte, error) {
	if b.file == "" {
		return nil, nil
	}
	if b.file != "-" {
		f, err := os.Open(b.file)
		if err != nil {
			return nil, usageError("name a file with the body in --body", "%v", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	body, err := io.ReadAll(io.LimitReader(in, maxExplainBody+1))
	switch {
	case err != nil:
		return nil, usageError("name a file with the body in --body", "reading the body: %v", err)
	case len(body) > maxExplainBody:
		return nil, usageError("give its size with --body-bytes", "the body has more than %d bytes", maxExplainBody)
	}
	return body, nil
}

// explainRequest asks a gateway and prints its report.
func explainRequest(ctx context.Context, s *session, q explain.Query, b explainBody) error {
	if q.Method == "" || q.Host == "" || !strings.HasPrefix(q.Path, "/") || q.BodyBytes < 0 {
		return usageError("see egrethaven explain --help", "a method, a host, a path that begins with a slash, and a size of at least 0 are needed")
	}
	r, err := askGateway(ctx, s, q, b)
	if err != nil {
		return err
	}
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

// askGateway returns a gateway's report. If a body or an Authorization header is given, the first
// report tells the account, which is a part of the fingerprint, and the second one is about the
// fingerprint.
func askGateway(ctx context.Context, s *session, q explain.Query, b explainBody) (r explain.Report, err error) {
	body, err := b.read(s.in)
	if err != nil {
		return r, err
	}
	if b.file != "" {
		q.BodyBytes = int64(len(body))
	}
	if err := s.client().Post(ctx, "/explain", nil, nil, q, &r); err != nil || !b.given() || r.Route == "" {
		return r, errors.Trace(err)
	}
	account := r.Account
	q.Fingerprint = quarantine.FormatFingerprint(quarantine.FingerprintHTTP(q.Method, q.Host, q.Path, quarantine.Credentials(b.authorization, account), body))
	r = explain.Report{}
	if err := s.client().Post(ctx, "/explain", nil, nil, q, &r); err != nil {
		return r, errors.Trace(err)
	}
	switch {
	case r.Account != account:
		return r, usageError("repeat the command", "the account of the key has changed between two questions")
	case r.Fingerprint != q.Fingerprint:
		return r, usageError("leave out --body and --authorization", "the gateway runs an earlier build, which cannot tell whether the request is quarantined")
	}
	return r, nil
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
	printSuspicion(s, r)
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

// causeTexts says why a searcher is expected to answer later than another one.
var causeTexts = map[explain.Cause]string{
	explain.Slower: "slower", explain.Waits: "waits for a connection or a limit", explain.Busier: "busier", explain.Stalled: "an answer is overdue",
	explain.Failing: "has failed requests", explain.NearLimit: "near its limit", explain.OtherDomain: "in another failure domain",
}

// printSuspicion prints whether the request is known to crash searchers.
func printSuspicion(s *session, r explain.Report) {
	switch r.Suspicion {
	case explain.NotSuspected:
		fmt.Fprintf(s.out, "fingerprint %s, not known to crash searchers\n", printable(r.Fingerprint))
	case explain.Suspected:
		wait := ""
		if r.TrialRunning {
			wait = ", after another one like it that runs now"
		}
		fmt.Fprintf(s.out, "fingerprint %s, suspected of crashing searchers: runs on one at a time%s\n", printable(r.Fingerprint), wait)
	case explain.Quarantined:
		fmt.Fprintf(s.out, "fingerprint %s, quarantined\n", printable(r.Fingerprint))
	case "":
		// A request that is refused before it is routed to searchers has no shards.
		if len(r.Shards) == 0 {
			return
		}
		fmt.Fprintln(s.out, "not checked whether it is quarantined; --body tells the body")
	}
}

// describeSearcher returns why a searcher is not chosen, and its state.
func describeSearcher(c explain.Searcher) string {
	var parts []string
	if c.Why != "" {
		parts = append(parts, c.Why)
	}
	for _, d := range c.Later {
		parts = append(parts, fmt.Sprintf("%s +%g ms", causeTexts[d.Cause], d.MS))
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
