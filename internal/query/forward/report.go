package forward

import (
	"time"

	"github.com/phuslu/log"

	"egrethaven/internal/observe/event"
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
	x.e.c.Log.Record(n, x.q.ID, func(l *log.Entry) {
		l.Str("route", x.route.Name).Int64("config_version", int64(x.s.Config.Version))
		l.Int64("config_age_ms", time.Since(x.s.Confirmed).Milliseconds())
		l.Int("status", a.Status).Str("reason", string(a.Reason)).Float64("elapsed_ms", float64(elapsed.Microseconds())/1000)
		l.Int("sends", x.sent).Int("hedges", x.hedges).Int("retries", x.retries)
		if a.Reason != Served {
			l.Int64("patience_ms", x.q.Patience.Milliseconds())
		}
		x.logParts(l, a)
	})
}

// logParts names the searchers: of all parts that failed, and of a plain
// request.
func (x *run) logParts(l *log.Entry, a Answer) {
	missing := 0
	for _, p := range x.parts {
		if p.good != nil && x.route.FansOut() {
			continue
		}
		if p.good == nil {
			missing++
		}
		if missing > maxLogged {
			continue
		}
		key := "searchers"
		if x.route.FansOut() {
			key = "missing_" + p.service
		}
		l.Strs(key, p.describe())
	}
	if x.route.FansOut() {
		l.Int("shards", len(x.parts)).Int("missing", missing)
	}
	if a.RetryAfter > 0 {
		l.Int64("retry_after_ms", a.RetryAfter.Milliseconds())
	}
}

// maxLogged is how many missing shards are described in one line.
const maxLogged = 3

// describe returns the searchers that were tried and how each send ended.
func (p *part) describe() []string {
	if len(p.flights) == 0 {
		return []string{"no usable searcher known"}
	}
	var out []string
	for _, f := range p.flights {
		s := f.at.Searcher().ID
		switch {
		case !f.ended.Load():
			s += " under_way_ms=" + time.Since(f.began).Truncate(time.Millisecond).String()
		default:
			s += " ended"
		}
		out = append(out, s)
	}
	return out
}

// logRefusal logs a request that had no route.
func (e *Engine) logRefusal(q Request, a Answer) {
	if e.c.Log == nil {
		return
	}
	e.c.Log.Record(event.RequestFailed, q.ID, func(l *log.Entry) {
		l.Str("host", q.Host).Str("target", q.Target).Int("status", a.Status).Str("reason", string(a.Reason))
	})
}
