package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/query/explain"
	"egrethaven/internal/query/placement"
)

// Explain returns what would be done with a request that arrives now, without sending it.
func (e *Engine) Explain(v explain.Query) explain.Report {
	now := time.Now()
	s := e.c.Current()
	if s == nil {
		return refusedReport(explain.Report{Fingerprint: v.Fingerprint}, refusalFor(NoConfig), "no configuration has been read yet")
	}
	out := explain.Report{Fingerprint: v.Fingerprint, ConfigVersion: int64(s.Config.Version), ConfigAgeMS: milliseconds(now.Sub(s.BuiltAt))}
	r, ok := s.Config.Lookup(v.Host, v.Path)
	if !ok {
		return refusedReport(out, refusalFor(NoRoute), "no route has this host and a prefix of this path")
	}
	out.Route = r.Name
	q := Request{Method: v.Method, Target: v.Path, Host: v.Host, Header: http.Header{}, Arrived: now, key: v.Key, explained: true}
	c, why := e.identify(&q, s.Config, r)
	switch why {
	case UnknownKey:
		return refusedReport(out, refusalFor(why), "the route needs the key of a client account, and this is none")
	case KeysOutdated:
		return refusedReport(out, refusalFor(why), "the copy of the store is too old to check keys by")
	}
	if out.Account = c.name(); c.account != nil {
		out.QuotaPerSecond, out.QuotaBurst = c.account.RatePerSecond, c.account.Burst
	}
	services := r.Shards
	if !r.IsFanOut() {
		services = []string{e.peekService(s.Config.Version, r)}
	}
	x := e.newDispatchTo(q, s, r, c, services)
	out.Priority, out.NeededShards = x.priority(), x.minShards()
	out.RouteRegions, out.AccountRegions = r.Regions, c.regions()
	out.ObjectiveMS, out.DeadlineMS = milliseconds(x.partialDeadline.Sub(now)), milliseconds(x.deadline.Sub(now))
	// A request takes these steps in the same order, and ends at the first one that refuses it.
	verdict := x.explainSuspicion(&out, v)
	permit, permitted := x.explainQuota(&out)
	quarantined := verdict.Class == quarantine.Quarantined
	a, admitted := x.admit(now)
	for _, p := range x.subrequests {
		out.Shards = append(out.Shards, p.explain(now, permitted && !quarantined && admitted))
	}
	if x.suspect {
		x.explainTrial(out.Shards)
	}
	switch {
	case !permitted:
		return refusedReport(out, permit, "the account's quota is used up")
	case quarantined:
		return refusedReport(out, refusalOfQuarantined(verdict, now), "the request has crashed searchers")
	case !admitted:
		return refusedReport(out, a, x.explainRefusal())
	}
	out.Admitted, out.Why = true, "enough searchers are expected to answer in time"
	if out.QuotaNext == explain.PermitAsked {
		out.Why += fmt.Sprintf(", if the quota's coordinator grants a permit within %s", x.quotaWait())
	}
	return out
}

// explainQuota adds what the gateway holds of the account's quota to a report. If there is no
// permit for the request, it returns the refusal, whose RetryAfter is the shortest one.
func (x *dispatch) explainQuota(out *explain.Report) (Answer, bool) {
	if !x.needsPermit() {
		return Answer{}, true
	}
	o := x.engine.c.Quota.WouldTake(x.client.account)
	for _, l := range o.Lots {
		out.QuotaPermits = append(out.QuotaPermits, explain.Permits{Count: l.Permits, LeftMS: milliseconds(l.For)})
	}
	switch {
	case o.OK:
		out.QuotaNext = explain.PermitHeld
	case o.RetryAfter == 0:
		out.QuotaNext = explain.PermitAsked
	default:
		out.QuotaNext = explain.PermitRefused
		return overQuota(o.RetryAfter), false
	}
	return Answer{}, true
}

// refusedReport returns the report on a request that gets an answer at once.
func refusedReport(out explain.Report, a Answer, why string) explain.Report {
	out.Status, out.Reason, out.RetryAfterMS, out.Why = a.Status, string(a.Reason), milliseconds(a.RetryAfter), why
	return out
}

// explainSuspicion adds to a report whether the request is known to crash searchers, and holds the
// parts of a suspect. A fingerprint is used as it is given, as the body is not known here;
// without one, only a request without a body is judged.
func (x *dispatch) explainSuspicion(out *explain.Report, v explain.Query) quarantine.Verdict {
	if f, err := quarantine.ParseFingerprint(v.Fingerprint); err == nil {
		x.fingerprint = f
	} else if v.BodyBytes > 0 {
		return quarantine.Verdict{}
	}
	g, running := x.engine.c.Guard.Peek(x.fingerprint)
	out.Fingerprint = quarantine.FormatFingerprint(x.fingerprint)
	switch g.Class {
	case quarantine.Quarantined:
		out.Suspicion = explain.Quarantined
	case quarantine.Suspect:
		out.Suspicion, out.TrialRunning = explain.Suspected, running
		x.hold(g)
	default:
		out.Suspicion = explain.NotSuspected
	}
	return g
}

// explainTrial tells of the shards of a suspect that only the first one which can be sent is sent
// at once, without hedges.
func (x *dispatch) explainTrial(shards []explain.Shard) {
	trial := ""
	for p := x.nextHeld(); p != nil; p = x.nextHeld() {
		p.held = false
		s := &shards[slices.Index(x.subrequests, p)]
		switch {
		case s.Why != "":
			continue
		case trial == "":
			trial = p.service
			p.alone = true
			s.Hedge = explain.Hedge{Why: p.noHedge()}
			continue
		}
		s.Why, s.Hedge = fmt.Sprintf("sent once %s has answered, as the request is suspected of crashing searchers", trial), explain.Hedge{}
		for n := range s.Searchers {
			if c := &s.Searchers[n]; c.Chosen {
				c.Chosen, c.Why = false, "it would be chosen"
			}
		}
	}
}

// explainRefusal returns why admission has refused the request.
func (x *dispatch) explainRefusal() string {
	f := x.refusal
	if f.decision.TooFewShards {
		why := fmt.Sprintf("%d of %d shards have a responsive searcher, %d needed", len(f.request.Shards), len(x.subrequests), f.request.MinShards)
		if x.engine.c.HandOver != nil {
			why += "; another VM is asked to answer it"
		}
		return why
	}
	return fmt.Sprintf("%d shards are expected to have answered after %s, later than the objective in %s", f.request.MinShards,
		f.decision.ExpectedTime.Round(time.Millisecond), f.request.Objective.Round(time.Millisecond))
}

// explain returns what would happen with the subrequest once admission has decided.
func (p *subrequest) explain(now time.Time, admitted bool) explain.Shard {
	out := explain.Shard{Service: p.service}
	switch {
	case len(p.instances) == 0 && len(p.dispatch.snapshot.Instances[p.service]) > 0:
		out.Why = "no searcher is in a permitted region"
	case len(p.instances) == 0:
		out.Why = "no searcher is in use"
	case p.unavailable && (p.dispatch.route.IsFanOut() || !admitted):
		out.Why = "no searcher responds"
	case p.leftOut:
		out.Why = "left out, as the limits of its searchers leave little"
	case !admitted:
		out.Why = "the request is not admitted"
	}
	var best placement.Parts
	if p.preferred != nil {
		best = placement.Breakdown(p.candidate(p.preferred, now))
	}
	var chosen *instance.Instance
	if out.Why == "" {
		if chosen = p.firstSend(now); chosen == nil {
			out.Why = "no searcher takes it now; it is tried again later"
		}
	}
	for _, i := range p.instances {
		out.Searchers = append(out.Searchers, p.explainSearcher(i, now, i == chosen, best))
	}
	out.Searchers = append(out.Searchers, p.explainExcluded()...)
	if chosen != nil {
		out.Hedge = p.explainHedge(now, chosen)
	}
	return out
}

// firstSend returns the searcher that takes the first send: the preferred one, unless it rejects
// the send, which then goes to another one as in resendUnsent. It is nil if none takes it.
func (p *subrequest) firstSend(now time.Time) *instance.Instance {
	i := p.preferred
	if i == nil {
		i, _ = p.chooseSearcher(now, p.permitsInTime(now))
	}
	for range maxUnsentResends {
		if i == nil || i.WouldReject(now, p.dispatch.shed.Standing) == nil {
			return i
		}
		p.avoid = append(p.avoid, i)
		i, _ = p.chooseSearcher(now, p.permitsInTime(now))
	}
	return nil
}

// explainExcluded returns the searchers in regions that are not permitted, and whose lists of
// regions exclude them.
func (p *subrequest) explainExcluded() []explain.Searcher {
	var out []explain.Searcher
	for _, i := range p.dispatch.snapshot.Instances[p.service] {
		s := i.Searcher()
		e, excluded := p.dispatch.regions.SearcherExclusion(s.Domain)
		if !excluded {
			continue
		}
		c := explain.Searcher{ID: s.ID, Domain: s.Domain}
		if e.ByRoute {
			c.ExcludedBy = append(c.ExcludedBy, explain.Route)
		}
		if e.ByAccount {
			c.ExcludedBy = append(c.ExcludedBy, explain.Account)
		}
		if c.Why = fmt.Sprintf("its region %q is not permitted", e.Region); e.Region == "" {
			c.Why = "the region of its failure domain is not known, so it is not permitted"
		}
		out = append(out, c)
	}
	return out
}

// explainSearcher returns why a searcher is chosen or not, given the lowest estimate.
func (p *subrequest) explainSearcher(i *instance.Instance, now time.Time, chosen bool, best placement.Parts) explain.Searcher {
	s, c := i.Searcher(), p.candidate(i, now)
	out := explain.Searcher{ID: s.ID, Domain: s.Domain, Chosen: chosen, InFlight: c.InFlight, Cold: c.Cold, Limited: c.Limited}
	switch i.Closure() {
	case instance.Draining:
		out.Why = "it is leaving"
		return out
	case instance.Displaced:
		out.Why = "another searcher has its address"
		return out
	}
	parts := placement.Breakdown(c)
	estimate, lowest := parts.Sum(), best.Sum()
	out.EstimateMS, out.WaitMS = milliseconds(estimate), milliseconds(parts.Wait)
	if !chosen && estimate > lowest {
		out.Later = laterBy(parts, best)
	}
	switch {
	case chosen:
	case slices.Contains(p.avoid, i):
		out.Why = rejectionTexts[i.WouldReject(now, p.dispatch.shed.Standing)]
	case c.Suspect && c.StalledFor > 0:
		out.Why = fmt.Sprintf("it has not answered for %s", c.StalledFor.Round(time.Millisecond))
	case c.Suspect:
		out.Why = "it does not respond"
	case c.NamedWait > 0:
		out.Why = fmt.Sprintf("it wants no request for %s", c.NamedWait.Round(time.Millisecond))
	case c.LimitWait > 0:
		out.Why = fmt.Sprintf("its limit permits the next request in %s", c.LimitWait.Round(time.Millisecond))
	case i == p.preferred:
		out.Why = "it would be chosen"
	case estimate == lowest:
		out.Why = "as good as the chosen one"
	default:
		out.Why = fmt.Sprintf("expected %s later than the best one", (estimate - lowest).Round(10*time.Microsecond))
	}
	return out
}

// laterBy returns the parts of an estimate that are higher than those of the lowest one, the
// greatest difference first.
func laterBy(parts, best placement.Parts) []explain.Delay {
	var out []explain.Delay
	for _, v := range []struct {
		cause explain.Cause
		by    time.Duration
	}{
		{explain.Slower, parts.Service - best.Service}, {explain.Waits, parts.Wait - best.Wait}, {explain.Busier, parts.Queue - best.Queue},
		{explain.Stalled, parts.Stall - best.Stall}, {explain.Failing, parts.Failures - best.Failures}, {explain.NearLimit, parts.Limit - best.Limit},
		{explain.OtherDomain, parts.Remote - best.Remote},
	} {
		if v.by > 0 {
			out = append(out, explain.Delay{Cause: v.cause, MS: milliseconds(v.by)})
		}
	}
	slices.SortStableFunc(out, func(a, b explain.Delay) int { return cmp.Compare(b.MS, a.MS) })
	return out
}

// rejectionTexts says why a searcher's queue takes no send.
var rejectionTexts = map[error]string{
	instance.ErrQueueFull: "the queue of requests to it is full", instance.ErrUnreachable: "no connection to it can be opened", instance.ErrClosed: "it is leaving",
}

// explainHedge returns what a hedge would do if the chosen searcher did not answer.
func (p *subrequest) explainHedge(now time.Time, chosen *instance.Instance) explain.Hedge {
	x := p.dispatch
	// The first send counts as made.
	p.sends, p.avoid = p.sends+1, append(p.avoid, chosen)
	if why := p.noHedge(); why != "" {
		return explain.Hedge{Why: why}
	}
	out := explain.Hedge{AfterMS: milliseconds(x.hedgeDelay)}
	_, expected := placement.Predict(p.candidate(chosen, now))
	i, _ := p.chooseSearcher(now, takesHedge(expected, x.hedgeDelay))
	switch {
	case i == nil:
		out.Why = "no other searcher takes one now"
	case !p.maySpend(now) || !p.budget.WouldAllow(now, x.hedgePurpose(now.Add(x.hedgeDelay))):
		out.Why = "the retry budget is used up; it would be tried again later"
	default:
		out.Searcher = i.Searcher().ID
	}
	return out
}

// milliseconds returns a time in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
