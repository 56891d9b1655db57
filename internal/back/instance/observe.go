package instance

import (
	"fmt"
	"math"
	"time"

	"egrethaven/internal/back/scoreboard"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/placement"
)

// Verdict is what an answer says of the searcher that gave it.
type Verdict int

// The verdicts.
const (
	// Served: the searcher answered as it should.
	Served Verdict = iota
	// Failed: the searcher answered with a failure of its own, or broke off.
	Failed
	// Refused: the searcher declined to run the request.
	Refused
	// Silent: no answer came in the time that there was.
	Silent
	// Misdirected: another searcher has the address.
	Misdirected
)

// Learn takes what became of a request. usual is the service time of its
// kind over all searchers, 0 if unknown.
func (i *Instance) Learn(v Verdict, elapsed, usual time.Duration) {
	i.observe(v, elapsed, usual)
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	w := weight(now.Sub(i.v.lastEnd))
	switch v {
	case Misdirected:
		i.v.misdirected = true
		return
	case Silent:
		i.v.failures += w * (1 - i.v.failures)
		if i.v.lastEnd.After(now.Add(-elapsed)) {
			// Others were answered meanwhile: one answer was lost.
			return
		}
		i.v.silent++
		i.v.suspend = min(max(2*i.v.suspend, suspectFirst), suspectMost)
		i.v.suspended = now.Add(i.v.suspend)
		i.c.Events.Emit(event.LinkSilent, i.s.ID,
			fmt.Sprintf("no answer for %s, %s; left alone for %s", elapsed.Round(time.Millisecond), lastAnswer(now, i.v.lastEnd), i.v.suspend))
		return
	case Failed, Refused:
		i.v.failures += w * (1 - i.v.failures)
	case Served:
		i.v.failures -= w * i.v.failures
		if usual > 0 {
			i.v.factor += w * (min(float64(elapsed)/float64(usual), mostFactor) - i.v.factor)
		}
	}
	if i.v.silent > 0 {
		i.c.Events.Emit(event.SearcherReturned, i.s.ID, fmt.Sprintf("answers again after %d requests without an answer", i.v.silent))
	}
	i.v.silent, i.v.suspend, i.v.suspended = 0, 0, time.Time{}
	i.v.lastEnd = now
}

// observe tells other VMs what became of a request.
func (i *Instance) observe(v Verdict, elapsed, usual time.Duration) {
	switch {
	case v == Misdirected || usual <= 0:
	case v == Silent:
		i.c.Observe(mostFactor, true)
	default:
		i.c.Observe(min(float64(elapsed)/float64(usual), mostFactor), v != Served)
	}
}

// Overdue tells other VMs of a request that is under way for longer than usual.
func (i *Instance) Overdue(elapsed, usual time.Duration) {
	if usual > 0 && elapsed > overdueFactor*usual {
		i.c.Observe(min(float64(elapsed)/float64(usual), mostFactor), false)
	}
}

// Hear takes what all VMs have seen of the searcher.
func (i *Instance) Hear(now time.Time, s scoreboard.Score) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.v.shared, i.v.sharedAt, i.v.seenAt = s, now, now.Add(-s.Age)
}

// speed returns how much slower the searcher is than others, and the share of
// its requests that fail: what this VM saw, and what others saw if they tell.
// The lock is held.
func (i *Instance) speed(now time.Time) (factor, failures float64) {
	since := now.Sub(i.v.lastEnd)
	if now.Sub(i.v.sharedAt) > sharedFresh {
		return 1 + (i.v.factor-1)*fading(since, fadeTime), i.v.failures * fading(since, failuresFade)
	}
	own := math.Exp(-float64(since) / float64(ownFade))
	theirs := fading(now.Sub(i.v.seenAt), i.patience)
	return 1 + max((i.v.factor-1)*own, (i.v.shared.Factor-1)*theirs), max(i.v.failures*own, i.v.shared.Failures*theirs)
}

// weight is how much a new observation counts when the last one was made d
// ago. A VM of a large tier sees a searcher every few seconds only, and has to
// learn from one answer.
func weight(d time.Duration) float64 {
	return max(gain, 1-math.Exp(-float64(d)/float64(learnTime)))
}

// fading is the weight of what was learnt when the last answer came d ago, half
// of it after a time. Requests that are refused or sent elsewhere because of
// it teach nothing new, so without fading that would go on for good.
func fading(d, half time.Duration) float64 {
	return 1 / (1 + float64(d)/float64(half))
}

// lastAnswer says how long ago the last answer came.
func lastAnswer(now, t time.Time) string {
	if t.IsZero() {
		return "none before"
	}
	return fmt.Sprintf("last one %s ago", now.Sub(t).Round(time.Millisecond))
}

// Report takes the load that an answer told.
func (i *Instance) Report(l Load) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.v.load, i.v.loadAt = l, time.Now()
}

// Usable tells whether requests may be sent here at all.
func (i *Instance) Usable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.draining && !i.v.misdirected
}

// unreachable tells whether the last attempt to connect failed and nothing is
// open. Where connections are opened on demand only, a request makes the next
// attempt once it is due. The lock is held.
func (i *Instance) unreachable(now time.Time) bool {
	return i.open == 0 && i.v.dialFailed && (i.c.Conns.Keep > 0 || now.Before(i.redialAt))
}

// Candidate returns what is known of the searcher for placing a request of a
// kind with the given usual service time.
func (i *Instance) Candidate(now time.Time, domain string, usual time.Duration) placement.Candidate {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := placement.Candidate{
		Local:         i.s.Domain == domain,
		Slots:         i.s.Slots,
		InFlight:      len(i.sends),
		Queued:        len(i.waiting),
		Conns:         max(i.c.Conns.Most, 1),
		ReportAge:     now.Sub(i.v.loadAt),
		MedianLatency: usual,
		Cold:          now.Before(i.s.ColdUntil),
		Suspect:       now.Before(i.v.suspended) || i.v.silent > 0 && len(i.sends) > 0,
		NoConn:        len(i.idle) == 0,
	}
	c.SlowdownFactor, c.FailureRate = i.speed(now)
	if c.ReportAge < reportAge {
		c.Waiting = i.v.load.Waiting
	}
	if i.unreachable(now) {
		c.Suspect = true
	}
	for x := range i.sends {
		if began := x.began; x.k != nil && began.After(i.v.lastEnd) {
			c.StalledFor = max(c.StalledFor, now.Sub(began))
		}
	}
	c.Suspect = c.Suspect || c.StalledFor > max(suspectFactor*usual, suspectLeast)
	return c
}
