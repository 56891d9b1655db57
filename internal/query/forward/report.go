package forward

import (
	"fmt"
	"time"

	"github.com/phuslu/log"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/routing"
)

// report counts and logs what became of a request.
func (x *run) report(a Answer) {
	elapsed := time.Since(x.q.Arrived)
	x.e.c.Observe(x.route.Name, a.Reason, elapsed)
	if x.e.c.Log == nil {
		return
	}
	n := event.RequestServed
	if a.Reason != Served {
		n = event.RequestFailed
	}
	x.e.c.Log.EmitFields(n, x.q.ID, func(l *log.Entry) {
		l.Str("route", x.route.Name).Int64("config_version", int64(x.s.Config.Version))
		l.Int64("config_age_ms", time.Since(x.s.Built).Milliseconds())
		l.Int("status", a.Status).Str("reason", string(a.Reason)).Float64("elapsed_ms", float64(elapsed.Microseconds())/1000)
		l.Bool("repeatable", x.route.Idempotency == routing.Idempotent).Int("attempts", x.route.MaxAttempts)
		l.Int("sends", x.sent).Int("hedges", x.hedges).Int("retries", x.retries)
		if a.Reason != Served {
			l.Int64("patience_ms", x.q.Patience.Milliseconds())
		}
		if x.refused != nil {
			x.logAdmission(l, *x.refused, a)
			return
		}
		x.logParts(l, a)
	})
}

// logAdmission logs what a refusal rested on.
func (x *run) logAdmission(l *log.Entry, r refusal, a Answer) {
	l.Int("shards", len(x.parts)).Int("needed", r.view.Need).Int("answering", len(r.view.Shards))
	l.Float64("expected_ms", float64(r.decision.Expected.Microseconds())/1000)
	l.Float64("objective_left_ms", float64(r.view.Objective.Microseconds())/1000)
	l.Int64("retry_after_ms", a.RetryAfter.Milliseconds())
	named := 0
	for _, p := range x.parts {
		if p.doubtful && named < maxLogged {
			named++
			l.Strs("missing_"+p.service, p.describe())
		}
	}
}

// logParts names the searchers: of all parts that failed, and of a plain
// request.
func (x *run) logParts(l *log.Entry, a Answer) {
	missing := 0
	for _, p := range x.parts {
		if p.good != nil && x.route.IsFanOut() {
			continue
		}
		if p.good == nil {
			missing++
		}
		if missing > maxLogged {
			continue
		}
		key := "searchers"
		if x.route.IsFanOut() {
			key = "missing_" + p.service
		}
		l.Strs(key, p.describe())
	}
	if x.route.IsFanOut() {
		l.Int("shards", len(x.parts)).Int("missing", missing)
		x.logSlowest(l)
	}
	if a.RetryAfter > 0 {
		l.Int64("retry_after_ms", a.RetryAfter.Milliseconds())
	}
}

// logSlowest names the searchers of the part whose answer came last.
func (x *run) logSlowest(l *log.Entry) {
	var last *part
	for _, p := range x.parts {
		if p.good != nil && (last == nil || p.overAt.After(last.overAt)) {
			last = p
		}
	}
	if last != nil {
		l.Str("slowest", last.service).Float64("slowest_ms", float64(last.overAt.Sub(x.q.Arrived).Microseconds())/1000)
		l.Strs("slowest_searchers", last.describe())
	}
}

// maxLogged is how many missing shards are described in one line.
const maxLogged = 3

// describe returns the searchers that were tried and what became of each send.
func (p *part) describe() []string {
	var out []string
	for _, f := range p.flights {
		what := "under way for " + time.Since(f.began).Round(time.Millisecond).String()
		if f.settled {
			what = outcome(f.result)
		}
		if d := f.began.Sub(p.run.q.Arrived).Round(time.Millisecond); d > 0 {
			what += ", sent at " + d.String()
		}
		out = append(out, f.at.Searcher().ID+": "+what)
	}
	switch {
	case len(out) > 0:
	case len(p.instances) == 0:
		out = append(out, "no searcher registered")
	case p.doubtful:
		out = append(out, fmt.Sprintf("none of %d searchers answers", len(p.instances)))
	default:
		out = append(out, "not sent")
	}
	return out
}

// outcome says how a send ended.
func outcome(r conn.Result) string {
	took := r.Elapsed.Round(time.Millisecond)
	switch {
	case r.Err != nil && !r.Sent:
		return fmt.Sprintf("not sent: %v", r.Err)
	case r.Err != nil:
		return fmt.Sprintf("no answer after %s: %v", took, r.Err)
	}
	return fmt.Sprintf("answered %d after %s", r.Status, took)
}

// logRefusal logs a request that had no route.
func (e *Engine) logRefusal(q Request, a Answer) {
	if e.c.Log == nil {
		return
	}
	e.c.Log.EmitFields(event.RequestFailed, q.ID, func(l *log.Entry) {
		l.Str("host", q.Host).Str("target", q.Target).Int("status", a.Status).Str("reason", string(a.Reason))
	})
}
