package backend

import (
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/back/standing"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// toldTime is how long evidence of a drain is worth telling to other nodes.
const toldTime = time.Minute

// latencyStep is the part by which the median service time follows an answer.
const latencyStep = 0.02

// longestRun bounds how many steps the same way lengthen a step.
const longestRun = 5

// take learns from the load that came with an answer.
func (b *Backend) take(l searcher.Load) {
	now := time.Now()
	b.mu.Lock()
	b.load, b.loadAt = l, now
	first := b.record.Answer(now, l.Draining)
	b.mu.Unlock()
	b.drained(first, "its own answer")
	b.revised(l.MapRevision)
}

// refused learns from a refusal of the searcher.
func (b *Backend) refused(f searcher.Refusal) {
	if f.Reason != outcome.Draining && f.Reason != outcome.ShuttingDown {
		b.take(f.Load)
		return
	}
	now := time.Now()
	b.mu.Lock()
	b.load, b.loadAt = f.Load, now
	first := b.record.Refused(now)
	b.mu.Unlock()
	b.drained(first, "its own refusal")
	b.revised(f.Load.MapRevision)
}

// MarkDraining takes from another node that the searcher leaves.
func (b *Backend) MarkDraining(until time.Time) {
	b.mu.Lock()
	first := b.record.Told(time.Now(), until)
	b.mu.Unlock()
	if first {
		b.c.Events.Emit(event.SearcherDraining, b.ID(), "word of another node")
		b.changed()
	}
}

// SetLeaving takes what the platform's list says of the searcher.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.List(leaving)
}

// SetStatus takes the searcher's status page. It lags, so it ranks below what
// the searcher's own answers show.
func (b *Backend) SetStatus(s searcher.Status) {
	now := time.Now()
	b.mu.Lock()
	b.status = s
	back := b.record.Page(now, s.Load.Draining)
	if back {
		b.since = now
	}
	b.mu.Unlock()
	b.revision.Store(s.Load.MapRevision)
	if back {
		b.c.Events.Emit(event.SearcherReturned, b.ID(), "status page after a drain")
		b.changed()
	}
}

// Status returns what the searcher last said of itself.
func (b *Backend) Status() searcher.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status
}

// LastAnswer returns when the searcher last answered a call of this node.
func (b *Backend) LastAnswer() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadAt
}

// SetWeight sets the share of its normal work that the searcher should get.
func (b *Backend) SetWeight(w float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.weight = w
}

// Latency returns the median service time and how many answers it rests on.
func (b *Backend) Latency() (time.Duration, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency, b.samples
}

// ActiveSince returns when the searcher was found or returned, for its slow start.
func (b *Backend) ActiveSince() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since
}

// State returns what is known of the searcher.
func (b *Backend) State() State {
	now := time.Now()
	b.mu.Lock()
	s := State{Usable: true, InFlight: int(b.inFlight.Load()), Latency: b.latency, Weight: b.weight,
		ReportedLoad: aged(b.load, now.Sub(b.loadAt))}
	use := b.record.Use(now)
	closed := b.closed
	b.mu.Unlock()
	s.Limit = b.gate.allowed()
	switch {
	case closed:
		s.Usable, s.Reason = false, outcome.ShuttingDown
	case use == standing.None:
		s.Usable, s.Reason = false, outcome.Draining
	case b.pool.Unreachable():
		s.Usable, s.Reason = false, outcome.ConnectionRefused
	case use == standing.LastResort:
		s.Weight = 0
	}
	return s
}

// drained tells of the first evidence of a drain.
func (b *Backend) drained(first bool, how string) {
	if !first {
		return
	}
	b.c.Events.Emit(event.SearcherDraining, b.ID(), how)
	if b.c.OnDrain != nil {
		b.c.OnDrain(b.ID(), time.Now().Add(toldTime))
	}
	b.changed()
}

// StatusStale tells whether the status page that was read last shows other shards
// than the searcher's last answer did: the page lags.
func (b *Backend) StatusStale() bool {
	told := b.told.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	return told != 0 && told != b.status.Load.MapRevision
}

// revised tells when the searcher's shards changed.
func (b *Backend) revised(revision uint64) {
	b.told.Store(revision)
	if b.revision.Swap(revision) != revision {
		b.changed()
	}
}

// changed tells that the searcher's shards or its standing changed.
func (b *Backend) changed() {
	if b.c.OnChange != nil {
		b.c.OnChange(b.ID())
	}
}

// served learns from the service time of an answer, or from how long a call
// had lasted that ended without one and was slower than usual: the median
// moves a step toward it, a longer one with each further step the same way.
func (b *Backend) served(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.samples++
	if b.latency == 0 {
		b.latency = d
		return
	}
	if up := d > b.latency; up != b.rising {
		b.rising, b.run = up, 0
	}
	b.run = min(b.run+1, longestRun)
	step := time.Duration(latencyStep * float64(b.run) * float64(b.latency))
	if !b.rising {
		step = -step
	}
	b.latency += step
}

// unserved learns from a call that ended without an answer.
func (b *Backend) unserved(d time.Duration) {
	b.mu.Lock()
	slower := b.samples > 0 && d > b.latency
	b.mu.Unlock()
	if slower {
		b.served(d)
	}
}
