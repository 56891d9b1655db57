package forward

import (
	"fmt"
	"time"

	"github.com/phuslu/log"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/routing"
)

// report records the metrics and the log line of a request.
func (x *dispatch) report(a Answer) {
	elapsed := time.Since(x.req.Arrived)
	x.engine.c.Observe(x.route.Name, a.Reason, elapsed)
	if x.client.account != nil && !x.req.HandedOver {
		x.engine.c.ObserveAccount(x.client.name(), a.Reason)
	}
	x.recordService(a)
	if x.engine.c.Log == nil {
		return
	}
	n := event.RequestServed
	switch a.Reason {
	case Served:
	case OverQuota:
		n = event.QuotaExceeded
	default:
		n = event.RequestFailed
	}
	x.engine.c.Log.EmitFields(n, x.req.ID, func(l *log.Entry) {
		if name := x.client.name(); name != "" {
			l.Str("account", name).Int("priority", x.priority())
		}
		l.Str("route", x.route.Name)
		x.engine.logConfig(l, x.snapshot)
		l.Int("status", a.Status).Str("reason", string(a.Reason)).Float64("elapsed_ms", float64(elapsed.Microseconds())/1000)
		l.Bool("repeatable", x.route.Idempotency == routing.Idempotent).Int("attempts", x.route.MaxAttempts)
		l.Int("sends", x.sent).Int("hedges", x.hedges).Int("retries", x.retries)
		if s := x.shortOf(a, elapsed); len(s) > 0 {
			l.Strs("short_of", s)
		}
		if a.Reason != Served {
			l.Int64("patience_ms", x.req.Timeout.Milliseconds()).Int("priority", x.priority())
		}
		if x.req.HandedOver {
			l.Bool("handed_over", true)
		}
		if x.suspect {
			l.Bool("suspect", true)
		}
		x.logLosses(l, a)
		if a.AnsweredBy != "" {
			l.Str("handed_to", a.AnsweredBy)
			return
		}
		if x.refusal != nil {
			x.logAdmission(l, *x.refusal, a)
			return
		}
		x.logSearchers(l, a)
	})
}

// logLosses logs what identifies the request, also when it comes again, if it was not
// served or a searcher was lost with it, and those searchers.
func (x *dispatch) logLosses(l *log.Entry, a Answer) {
	var lost []string
	for _, p := range x.subrequests {
		for _, f := range p.attempts {
			if f.lost() && len(lost) < maxLoggedLosses {
				lost = append(lost, f.searcher.Searcher().ID)
			}
		}
	}
	if len(lost) == 0 && a.Reason == Served {
		return
	}
	l.Str("fingerprint", quarantine.FormatFingerprint(x.fingerprint)).Str("target", truncate(x.req.Target, maxLoggedTarget)).Str("client", x.req.Client)
	if len(lost) > 0 {
		l.Strs("lost_on", lost)
	}
}

// truncate returns the first n bytes of a text.
func truncate(s string, n int) string { return s[:min(n, len(s))] }

// logAdmission logs the input and the result of an admission refusal.
func (x *dispatch) logAdmission(l *log.Entry, r refusal, a Answer) {
	l.Int("shards", len(x.subrequests)).Int("needed", r.request.MinShards).Int("answering", len(r.request.Shards))
	l.Float64("expected_ms", float64(r.decision.ExpectedTime.Microseconds())/1000)
	l.Float64("objective_left_ms", float64(r.request.Objective.Microseconds())/1000)
	l.Int64("retry_after_ms", a.RetryAfter.Milliseconds())
	logged := 0
	for _, p := range x.subrequests {
		if p.unavailable && logged < maxLoggedShards {
			logged++
			l.Strs("missing_"+p.service, p.describe())
		}
	}
}

// logSearchers logs the attempts of a plain request, or of the shards of a
// fan-out that did not answer.
func (x *dispatch) logSearchers(l *log.Entry, a Answer) {
	missing := 0
	for _, p := range x.subrequests {
		if p.answer != nil && x.route.IsFanOut() {
			continue
		}
		if p.answer == nil {
			missing++
		}
		if missing > maxLoggedShards {
			continue
		}
		key := "searchers"
		if x.route.IsFanOut() {
			key = "missing_" + p.service
		}
		l.Strs(key, p.describe())
	}
	if x.route.IsFanOut() {
		l.Int("shards", len(x.subrequests)).Int("missing", missing)
		x.logSlowest(l)
	}
	if a.RetryAfter > 0 {
		l.Int64("retry_after_ms", a.RetryAfter.Milliseconds())
	}
}

// logSlowest logs the attempts of the shard that answered last.
func (x *dispatch) logSlowest(l *log.Entry) {
	var slowest *subrequest
	for _, p := range x.subrequests {
		if p.answer != nil && (slowest == nil || p.answeredAt.After(slowest.answeredAt)) {
			slowest = p
		}
	}
	if slowest != nil {
		l.Str("slowest", slowest.service).Float64("slowest_ms", float64(slowest.answeredAt.Sub(x.req.Arrived).Microseconds())/1000)
		l.Strs("slowest_searchers", slowest.describe())
	}
}

const (
	// maxLoggedShards is the maximum number of missing shards in a log line, and
	// maxLoggedLosses that of searchers that were lost.
	maxLoggedShards = 3
	maxLoggedLosses = 8
	// maxLoggedTarget is the maximum length of a target in a log line, in bytes.
	maxLoggedTarget = 200
)

// describe returns one text for each attempt, with searcher and result.
func (p *subrequest) describe() []string {
	var out []string
	for _, f := range p.attempts {
		state := "under way for " + time.Since(f.startedAt).Round(time.Millisecond).String()
		if f.reply != nil {
			state = f.reply.describe()
		}
		if d := f.startedAt.Sub(p.dispatch.req.Arrived).Round(time.Millisecond); d > 0 {
			state += ", sent at " + d.String()
		}
		out = append(out, f.searcher.Searcher().ID+": "+state)
	}
	switch {
	case len(out) > 0:
	case len(p.instances) == 0 && len(p.dispatch.snapshot.Instances[p.service]) > 0:
		out = append(out, "no searcher in a permitted region")
	case len(p.instances) == 0:
		out = append(out, "no searcher registered")
	case p.leftOut:
		out = append(out, fmt.Sprintf("left out: %d searchers, the best at the limit that it named", len(p.instances)))
	case p.unavailable:
		out = append(out, fmt.Sprintf("none of %d searchers answers", len(p.instances)))
	default:
		out = append(out, "not sent")
	}
	return out
}

// describe returns a text for the result of an attempt.
func (a *reply) describe() string {
	took := a.Elapsed.Round(time.Millisecond)
	switch {
	case a.refused():
		return fmt.Sprintf("refused with %d after %s", a.Status, took)
	case a.Err != nil && !a.Sent:
		return fmt.Sprintf("not sent: %v", a.Err)
	case a.Err != nil:
		return fmt.Sprintf("no answer after %s: %v", took, a.Err)
	}
	return fmt.Sprintf("answered %d after %s", a.Status, took)
}

// logRefusal logs a request without a configuration or route, or whose client is not known.
// s is nil if there is no configuration. The key is not logged.
func (e *Engine) logRefusal(q Request, s *Snapshot, a Answer) {
	if e.c.Log == nil {
		return
	}
	n := event.RequestFailed
	if a.Reason == UnknownKey {
		n = event.KeyRefused
	}
	e.c.Log.EmitFields(n, q.ID, func(l *log.Entry) {
		l.Str("host", q.Host).Str("target", truncate(q.Target, maxLoggedTarget)).Int("status", a.Status).Str("reason", string(a.Reason))
		if s != nil {
			e.logConfig(l, s)
		}
		if a.Reason == UnknownKey {
			l.Str("client", q.Client).Bool("has_key", q.key != "")
		}
		if q.HandedOver {
			l.Str("account", q.Account).Bool("handed_over", true)
		}
	})
}

// logConfig logs the version of the configuration, how long ago its snapshot was built, and,
// if keys are checked by it, the age of the copy of the store that it comes from.
func (e *Engine) logConfig(l *log.Entry, s *Snapshot) {
	l.Int64("config_version", int64(s.Config.Version)).Int64("config_age_ms", time.Since(s.BuiltAt).Milliseconds())
	if s.Config.Accounts != nil {
		l.Int64("copy_age_ms", e.c.CopyAge().Milliseconds())
	}
}
