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

// measured is how the nodes came to a verdict.
type measured struct {
	// took is the time until the last node was right.
	took time.Duration
	// late is true when that never came.
	late bool
	// falseOK counts verdicts of ok that were wrong.
	falseOK int
	// seen is what a node that was not right last said.
	seen string
}

// await asks all nodes until all are right on every failure domain, and then
// for a while longer.
func (f *fleet) await(ctx context.Context, want func(string) health.Verdict) measured {
	begin := time.Now()
	ms := make([]measured, len(f.nodes))
	counts := make([]int, len(f.nodes))
	var wg sync.WaitGroup
	for i, m := range f.nodes {
		wg.Go(func() { ms[i], counts[i] = m.await(ctx, begin, want) })
	}
	wg.Wait()
	var out measured
	for i, m := range ms {
		f.reports += counts[i]
		out.took = max(out.took, m.took)
		out.falseOK += m.falseOK
		if m.late || m.falseOK > 0 {
			out.late = out.late || m.late
			out.seen = m.seen
		}
	}
	return out
}

// await asks one node, and returns also how many reports it gave.
func (m *member) await(ctx context.Context, begin time.Time, want func(string) health.Verdict) (measured, int) {
	c := adminclient.New(adminclient.Config{Addr: m.node.OperatorAddr(), Timeout: giveUp})
	out, n := measured{late: true, took: giveUp}, 0
	for end := begin.Add(giveUp); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pause) {
		asked := time.Now()
		var r health.Report
		if err := c.Get(ctx, "/health", nil, &r); err != nil {
			out.seen = err.Error()
			continue
		}
		n++
		wrong, text := falseOK(r, want, asked.Sub(begin))
		out.falseOK += wrong
		if wrong > 0 {
			out.seen = text
		}
		right, text := isRight(r, want)
		if !right && out.late {
			out.seen = text
		}
		if right && out.late {
			out.late, out.took = false, time.Since(begin)
			end = time.Now().Add(hold)
		}
	}
	return out, n
}

// isRight tells whether a report has the right verdict on every failure
// domain, and says what it has.
func isRight(r health.Report, want func(string) health.Verdict) (bool, string) {
	right := len(r.States) == len(domains)
	var b strings.Builder
	for _, s := range r.States {
		fmt.Fprintf(&b, "%s: %s of %s, %s %s; ", r.Node, s.Verdict, s.Domain, s.Reason, s.Detail)
		right = right && s.Verdict == want(string(s.Domain))
	}
	return right, b.String()
}

// falseOK counts verdicts of ok in a report that was asked for some time
// after the fault. A failure domain that is lost may never be ok.
func falseOK(r health.Report, want func(string) health.Verdict, after time.Duration) (int, string) {
	n, text := 0, ""
	for _, s := range r.States {
		w := want(string(s.Domain))
		if s.Verdict != health.OK || w == health.OK || w != health.Unknown && after < target {
			continue
		}
		n++
		text = fmt.Sprintf("%s says ok of %s after %s", r.Node, s.Domain, after)
	}
	return n, text
}
