package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/drainstate"
	"egrethaven/internal/back/link"
	"egrethaven/internal/back/pool"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

const (
	// DefaultMaxLinks is the default of Config.MaxLinks.
	DefaultMaxLinks = 4
	// DefaultWarmLinks is the default of Config.WarmLinks.
	DefaultWarmLinks = 8
)

// Config configures a Backend.
type Config struct {
	// VM is the searcher's VM.
	VM vm.VM
	// MaxLinks is the maximum number of open links.
	MaxLinks int
	// WarmLinks is the number of links kept open ahead of need, within MaxLinks.
	WarmLinks int
	// Link configures the links; its Addr is taken from VM.
	Link link.Config
	// Events receives the events of the backend; nil discards them.
	Events event.Sink
	// Maintainer maintains the links. If it is nil, the backend creates its own.
	Maintainer *pool.Maintainer
	// DisableSilenceDetection turns off the detection of silent connections.
	DisableSilenceDetection bool
	// FixedLimit admits every call while a link is free, without an adaptive
	// limit or a queue. It is meant for measurements.
	FixedLimit bool
	// AddedAt is when the searcher was discovered, for its slow start; zero for
	// none.
	AddedAt time.Time
	// OnChange, if not nil, is called when the searcher's shards or state may
	// have changed. It must not block.
	OnChange func(id string)
	// OnDrain, if not nil, is called to notify other nodes when a response shows
	// that the searcher is draining. It must not block.
	OnDrain func(id string, until time.Time)
}

// Backend is this node's client for one searcher. It is safe for concurrent use.
type Backend struct {
	c              Config
	pool           *pool.Pool
	maxVerifiedAge time.Duration
	wg             sync.WaitGroup
	inFlight       atomic.Int64
	revision       atomic.Uint64
	// answerRevision is the map revision in the last answer, or 0 for none.
	answerRevision atomic.Uint64
	droppedAnswers atomic.Int64
	maxLinks       atomic.Int64
	limiter        *callLimiter
	mu             sync.Mutex
	status         searcher.Status
	drain          drainstate.Tracker
	activeSince    time.Time
	weight         float64
	closed         bool
	load           searcher.Load
	loadReportedAt time.Time
	latency        time.Duration
	samples        int
	// stepRun counts the latest latency steps in one direction.
	rising  bool
	stepRun int
}

// New returns a backend and starts opening its warm links.
func New(c Config) *Backend {
	if c.MaxLinks <= 0 {
		c.MaxLinks = DefaultMaxLinks
	}
	if c.WarmLinks <= 0 {
		c.WarmLinks = DefaultWarmLinks
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	c.Link.Addr = c.VM.Addr
	b := &Backend{c: c, maxVerifiedAge: maxVerifiedAge, weight: 1, activeSince: c.AddedAt, limiter: newCallLimiter(c.MaxLinks, c.FixedLimit)}
	b.maxLinks.Store(int64(c.MaxLinks))
	b.pool = pool.New(pool.Config{Link: c.Link, Max: c.MaxLinks, Warm: c.WarmLinks,
		Probe: b.probe, Maintainer: c.Maintainer, OnSilent: b.emitLinkSilent, DisableSilenceDetection: c.DisableSilenceDetection})
	return b
}

// ID returns the ID of the searcher's VM.
func (b *Backend) ID() string { return b.c.VM.ID }

// Domain returns the searcher's failure domain.
func (b *Backend) Domain() failuredomain.Domain { return b.c.VM.Domain }

// VM returns the searcher's VM.
func (b *Backend) VM() vm.VM { return b.c.VM }

// DroppedAnswers returns the number of answers dropped because they did not
// match their call.
func (b *Backend) DroppedAnswers() int64 { return b.droppedAnswers.Load() }

// LinkStats returns the link counts.
func (b *Backend) LinkStats() pool.Stats { return b.pool.Stats() }

// MaxLinks returns the maximum number of open links.
func (b *Backend) MaxLinks() int { return int(b.maxLinks.Load()) }

// SetMaxLinks changes the maximum number of open links. With 0, no link is kept
// open, and each call opens its own.
func (b *Backend) SetMaxLinks(n int) {
	b.maxLinks.Store(int64(n))
	b.pool.SetMax(n)
	b.limiter.setLinks(n)
}

// Drain rejects new calls and waits until the calls in flight have ended or ctx
// is done.
func (b *Backend) Drain(ctx context.Context) {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for b.inFlight.Load() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainPollInterval is the time between two checks of the calls in flight.
const drainPollInterval = 10 * time.Millisecond

// Close aborts the calls in flight and waits for them to return.
func (b *Backend) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.pool.Close()
	b.wg.Wait()
}

// beginCall registers a new call, or returns the reason why it must not run.
func (b *Backend) beginCall() outcome.Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closed:
		return outcome.ShuttingDown
	case b.drain.Eligibility(time.Now()) == drainstate.Excluded:
		return outcome.Draining
	}
	b.wg.Add(1)
	b.inFlight.Add(1)
	return outcome.None
}

// endCall unregisters a call.
func (b *Backend) endCall() {
	b.inFlight.Add(-1)
	b.wg.Done()
}

// loadHalfLife is the age at which a reported load counts half.
const loadHalfLife = 100 * time.Millisecond

// emitLinkSilent emits an event for a silent connection.
func (b *Backend) emitLinkSilent() {
	b.c.Events.Emit(event.LinkSilent, b.ID(), "no progress while other connections work")
}

// decayedLoad returns the number of calls reported in l, decayed by the age of
// the report.
func decayedLoad(l searcher.Load, age time.Duration) float64 {
	n := float64(l.InFlight + l.Queued)
	return n / (1 + float64(age)/float64(loadHalfLife))
}

// remainingMS returns the time to the deadline of ctx in milliseconds, at least
// 1, or 0 if ctx has no deadline.
func remainingMS(ctx context.Context) int64 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d).Milliseconds(), 1)
}
