package backend

import (
	"time"

	"egrethaven/internal/back/drainstate"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// drainNoticeTTL is how long evidence of a drain is valid for other nodes.
const drainNoticeTTL = time.Minute

// latencyStepFraction is the fraction by which the median service time moves
// toward a sample.
const latencyStepFraction = 0.02

// maxStepRun limits how many consecutive steps in one direction lengthen a step.
const maxStepRun = 5

// recordLoad records the load reported in an answer.
func (b *Backend) recordLoad(l searcher.Load) {
	now := time.Now()
	b.mu.Lock()
	b.load, b.loadReportedAt = l, now
	first := b.drain.RecordAnswer(now, l.Draining)
	b.mu.Unlock()
	b.reportDrain(first, "an answer has the draining flag")
	b.recordRevision(l.MapRevision)
}

// recordRefusal records a refusal of the searcher and the load reported in it.
func (b *Backend) recordRefusal(f searcher.Refusal) {
	if f.Reason != outcome.Draining && f.Reason != outcome.ShuttingDown {
		b.recordLoad(f.Load)
		return
	}
	now := time.Now()
	b.mu.Lock()
	b.load, b.loadReportedAt = f.Load, now
	first := b.drain.RecordRefusal(now)
	b.mu.Unlock()
	b.reportDrain(first, "the searcher refused a request because it drains")
	b.recordRevision(f.Load.MapRevision)
}

// MarkDraining records another node's report that the searcher is draining. The
// report is valid until the given time.
func (b *Backend) MarkDraining(until time.Time) {
	b.mu.Lock()
	first := b.drain.RecordPeerNotice(time.Now(), until)
	b.mu.Unlock()
	if first {
		b.c.Events.Emit(event.SearcherDraining, b.ID(), "reported by another node")
		b.notifyChange()
	}
}

// SetLeaving records whether the platform's VM list shows the searcher as
// leaving.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain.RecordListing(leaving)
}

// SetStatus records the searcher's status page. The page may be out of date, so
// recent answers take precedence over it.
func (b *Backend) SetStatus(s searcher.Status) {
	now := time.Now()
	b.mu.Lock()
	b.status = s
	returned := b.drain.RecordStatus(now, s.Load.Draining)
	if returned {
		b.activeSince = now
	}
	b.mu.Unlock()
	b.revision.Store(s.Load.MapRevision)
	if returned {
		b.c.Events.Emit(event.SearcherReturned, b.ID(), "the status page no longer shows a drain")
		b.notifyChange()
	}
}

// Status returns the last status page, or the zero value before the first one.
func (b *Backend) Status() searcher.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status
}

// LastAnswer returns when the searcher last answered or refused a call of this
// node, or the zero time.
func (b *Backend) LastAnswer() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadReportedAt
}

// SetWeight sets the fraction of its normal traffic that the searcher should
// get, from 0 to 1.
func (b *Backend) SetWeight(w float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.weight = w
}

// Latency returns the estimated median service time and the number of samples.
func (b *Backend) Latency() (time.Duration, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency, b.samples
}

// ActiveSince returns when the searcher was discovered or returned from a drain,
// for its slow start.
func (b *Backend) ActiveSince() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.activeSince
}

// State returns this node's current view of the searcher.
func (b *Backend) State() State {
	now := time.Now()
	b.mu.Lock()
	s := State{Usable: true, InFlight: int(b.inFlight.Load()), Latency: b.latency, Weight: b.weight,
		ReportedLoad: decayedLoad(b.load, now.Sub(b.loadReportedAt))}
	eligibility := b.drain.Eligibility(now)
	closed := b.closed
	b.mu.Unlock()
	s.Limit = b.limiter.allowed()
	switch {
	case closed:
		s.Usable, s.Reason = false, outcome.ShuttingDown
	case eligibility == drainstate.Excluded:
		s.Usable, s.Reason = false, outcome.Draining
	case b.pool.Unreachable():
		s.Usable, s.Reason = false, outcome.ConnectionRefused
	case eligibility == drainstate.LastResort:
		s.Weight = 0
	}
	return s
}

// reportDrain emits an event and calls OnDrain if first is true.
func (b *Backend) reportDrain(first bool, detail string) {
	if !first {
		return
	}
	b.c.Events.Emit(event.SearcherDraining, b.ID(), detail)
	if b.c.OnDrain != nil {
		b.c.OnDrain(b.ID(), time.Now().Add(drainNoticeTTL))
	}
	b.notifyChange()
}

// StatusStale returns true if the last answer reported a different map revision
// than the last status page.
func (b *Backend) StatusStale() bool {
	answerRevision := b.answerRevision.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	return answerRevision != 0 && answerRevision != b.status.Load.MapRevision
}

// recordRevision records the map revision in an answer and notifies OnChange if
// it is new.
func (b *Backend) recordRevision(revision uint64) {
	b.answerRevision.Store(revision)
	if b.revision.Swap(revision) != revision {
		b.notifyChange()
	}
}

// notifyChange calls OnChange.
func (b *Backend) notifyChange() {
	if b.c.OnChange != nil {
		b.c.OnChange(b.ID())
	}
}

// recordLatency moves the median service time one step toward the sample d.
// Consecutive steps in the same direction get longer.
func (b *Backend) recordLatency(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.samples++
	if b.latency == 0 {
		b.latency = d
		return
	}
	if up := d > b.latency; up != b.rising {
		b.rising, b.stepRun = up, 0
	}
	b.stepRun = min(b.stepRun+1, maxStepRun)
	step := time.Duration(latencyStepFraction * float64(b.stepRun) * float64(b.latency))
	if !b.rising {
		step = -step
	}
	b.latency += step
}

// recordFailedLatency records the duration of a call that ended without an
// answer, if it took longer than the median.
func (b *Backend) recordFailedLatency(d time.Duration) {
	b.mu.Lock()
	slower := b.samples > 0 && d > b.latency
	b.mu.Unlock()
	if slower {
		b.recordLatency(d)
	}
}
