package healthbench

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"egrethaven/internal/cli/adminclient"
	"egrethaven/internal/observe/health"
)

// convergence is the result of waiting for the expected verdicts.
type convergence struct {
	// elapsed is the time until the last node reported the expected verdicts, or
	// verdictTimeout if timedOut.
	elapsed time.Duration
	// timedOut is true if a node never reported them.
	timedOut bool
	// falseOK is the number of wrong ok verdicts.
	falseOK int
	// lastWrong is the last wrong report or error.
	lastWrong string
}

// await polls all nodes until each reports the expected verdicts, and for
// relapseWatch longer.
func (f *fleet) await(ctx context.Context, want func(string) health.Verdict) convergence {
	start := time.Now()
	results := make([]convergence, len(f.nodes))
	counts := make([]int, len(f.nodes))
	var wg sync.WaitGroup
	for i, n := range f.nodes {
		wg.Go(func() { results[i], counts[i] = n.await(ctx, start, want) })
	}
	wg.Wait()
	var out convergence
	for i, r := range results {
		f.reports += counts[i]
		out.elapsed = max(out.elapsed, r.elapsed)
		out.falseOK += r.falseOK
		if r.timedOut || r.falseOK > 0 {
			out.timedOut = out.timedOut || r.timedOut
			out.lastWrong = r.lastWrong
		}
	}
	return out
}

// await polls one node, and also returns the number of reports received.
func (e *entryVM) await(ctx context.Context, start time.Time, want func(string) health.Verdict) (convergence, int) {
	c := adminclient.New(adminclient.Config{Addr: e.node.OperatorAddr(), Timeout: verdictTimeout})
	out, reports := convergence{timedOut: true, elapsed: verdictTimeout}, 0
	for end := start.Add(verdictTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		sentAt := time.Now()
		var r health.Report
		if err := c.Get(ctx, "/health", nil, &r); err != nil {
			out.lastWrong = err.Error()
			continue
		}
		reports++
		wrong, text := countFalseOK(r, want, sentAt.Sub(start))
		out.falseOK += wrong
		if wrong > 0 {
			out.lastWrong = text
		}
		matches, text := hasVerdicts(r, want)
		if !matches && out.timedOut {
			out.lastWrong = text
		}
		if matches && out.timedOut {
			out.timedOut, out.elapsed = false, time.Since(start)
			end = time.Now().Add(relapseWatch)
		}
	}
	return out, reports
}

// hasVerdicts reports whether all verdicts are as expected, and returns them as
// text.
func hasVerdicts(r health.Report, want func(string) health.Verdict) (bool, string) {
	matches := len(r.States) == len(domains)
	var b strings.Builder
	for _, s := range r.States {
		fmt.Fprintf(&b, "%s: %s of %s, %s %s; ", r.Node, s.Verdict, s.Domain, s.Reason, s.Detail)
		matches = matches && s.Verdict == want(string(s.Domain))
	}
	return matches, b.String()
}

// countFalseOK returns the number of wrong ok verdicts in a report, and the last of
// them as text. Until verdictTarget after the fault, ok is only wrong if the
// expected verdict is unknown.
func countFalseOK(r health.Report, want func(string) health.Verdict, after time.Duration) (int, string) {
	n, text := 0, ""
	for _, s := range r.States {
		w := want(string(s.Domain))
		if s.Verdict != health.OK || w == health.OK || w != health.Unknown && after < verdictTarget {
			continue
		}
		n++
		text = fmt.Sprintf("%s says ok of %s after %s", r.Node, s.Domain, after)
	}
	return n, text
}
