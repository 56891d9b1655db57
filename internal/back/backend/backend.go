package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/link"
	"egrethaven/internal/back/pool"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/back/standing"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/world/vm"
	"egrethaven/internal/world/zone"
)

const (
	// DefaultMaxLinks is the number of links when none is set.
	DefaultMaxLinks = 4
	// DefaultWarmLinks is how many are kept open ahead of need, within
	// MaxLinks, when none is set.
	DefaultWarmLinks = 8
)

// Config describes a backend.
type Config struct {
	// VM is the searcher.
	VM vm.VM
	// MaxLinks is how many connections this node may use.
	MaxLinks int
	// WarmLinks is how many are kept open ahead of need.
	WarmLinks int
	// Link tells how links are opened; its Addr is taken from VM.
	Link link.Config
	// Events takes what happens; nil discards it.
	Events event.Sink
	// Maintainer looks after the links; nil has the backend bring its own.
	Maintainer *pool.Maintainer
	// DisableSilenceDetection disables the search for silent connections.
	DisableSilenceDetection bool
	// FixedLimit admits every call while a link is free, without adaptive limit
	// and without queue; for measurements.
	FixedLimit bool
	// AddedAt is when the searcher was found, for its slow start; zero for none.
	AddedAt time.Time
	// OnChange is called when the searcher's shards or its standing changed.
	// It must not block.
	OnChange func(id string)
	// OnDrain is called when this node has own evidence that the searcher
	// leaves, to tell the other nodes. It must not block.
	OnDrain func(id string, until time.Time)
}

// Backend is one searcher as this node sees it.
type Backend struct {
	c        Config
	pool     *pool.Pool
	proofAge time.Duration
	wg       sync.WaitGroup
	inFlight atomic.Int64
	revision atomic.Uint64
	// told is the revision of the shards in the last answer; 0 for none.
	told     atomic.Uint64
	dropped  atomic.Int64
	maxLinks atomic.Int64
	gate     *gate
	mu       sync.Mutex
	status   searcher.Status
	record   standing.Record
	since    time.Time
	weight   float64
	closed   bool
	load     searcher.Load
	loadAt   time.Time
	latency  time.Duration
	samples  int
	rising   bool
	run      int
}

// New returns a backend and begins to open its warm links.
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
	b := &Backend{c: c, proofAge: proofAge, weight: 1, since: c.AddedAt, gate: newGate(c.MaxLinks, c.FixedLimit)}
	b.maxLinks.Store(int64(c.MaxLinks))
	b.pool = pool.New(pool.Config{Link: c.Link, Max: c.MaxLinks, Warm: c.WarmLinks,
		Probe: b.alive, Maintainer: c.Maintainer, OnSilent: b.silent, DisableSilenceDetection: c.DisableSilenceDetection})
	return b
}

// ID returns the id of the searcher's VM.
func (b *Backend) ID() string { return b.c.VM.ID }

// Domain returns the searcher's failure domain.
func (b *Backend) Domain() zone.Domain { return b.c.VM.Domain }

// VM returns the searcher's VM.
func (b *Backend) VM() vm.VM { return b.c.VM }

// DroppedAnswers returns how many answers were dropped because they belonged to no
// call of this node.
func (b *Backend) DroppedAnswers() int64 { return b.dropped.Load() }

// LinkStats returns the counts of the searcher's links.
func (b *Backend) LinkStats() pool.Stats { return b.pool.Stats() }

// MaxLinks returns how many connections this node may use.
func (b *Backend) MaxLinks() int { return int(b.maxLinks.Load()) }

// SetMaxLinks changes how many connections this node may use. With 0, none
// is kept open; one is opened for each reading of the status page.
func (b *Backend) SetMaxLinks(n int) {
	b.maxLinks.Store(int64(n))
	b.pool.SetMax(n)
	b.gate.setLinks(n)
}

// Drain takes no new work and waits until the calls in progress have ended,
// or ctx has.
func (b *Backend) Drain(ctx context.Context) {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	t := time.NewTicker(drainTick)
	defer t.Stop()
	for b.inFlight.Load() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainTick is the time between two looks at the calls in progress.
const drainTick = 10 * time.Millisecond

// Close ends the calls in progress and waits for them.
func (b *Backend) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.pool.Close()
	b.wg.Wait()
}

// begin counts a call in, unless the searcher takes no new work.
func (b *Backend) begin() outcome.Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closed:
		return outcome.ShuttingDown
	case b.record.Use(time.Now()) == standing.None:
		return outcome.Draining
	}
	b.wg.Add(1)
	b.inFlight.Add(1)
	return outcome.None
}

// end counts a call out.
func (b *Backend) end() {
	b.inFlight.Add(-1)
	b.wg.Done()
}

// loadHalfLife is how long it takes for a reported load to count half.
const loadHalfLife = 100 * time.Millisecond

// silent notes that a connection was found silent.
func (b *Backend) silent() {
	b.c.Events.Emit(event.LinkSilent, b.ID(), "no progress while other connections work")
}

// aged returns the load that l reported, less the longer ago it was.
func aged(l searcher.Load, age time.Duration) float64 {
	n := float64(l.InFlight + l.Queued)
	return n / (1 + float64(age)/float64(loadHalfLife))
}

// remaining returns the time to the deadline of ctx in milliseconds, at
// least 1.
func remaining(ctx context.Context) int64 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d).Milliseconds(), 1)
}
