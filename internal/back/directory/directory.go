package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/eject"
	"egrethaven/internal/back/pool"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
)

const (
	// DefaultPollInterval is the mean time between two polls of a status page.
	DefaultPollInterval = time.Second
	// DefaultListInterval is the time between two reads of the VM list.
	DefaultListInterval = 200 * time.Millisecond
	// minEarlyPollInterval is the minimum time between two early polls of a status
	// page. It doubles up to maxEarlyPollInterval while polls return no change,
	// because the revision in answers may lag.
	minEarlyPollInterval = 20 * time.Millisecond
	maxEarlyPollInterval = 200 * time.Millisecond
	// pollTimeout is the timeout for one poll of a status page.
	pollTimeout = 2 * time.Second
	// noContractFactor multiplies the poll interval of searchers with which this
	// node has no contract.
	noContractFactor = 5
	// minScanInterval is the minimum time between two scans for due polls.
	minScanInterval = 5 * time.Millisecond
	// maxSkippedIntervals is the maximum time between two polls of a searcher
	// whose answers or peer reports replace polls, in poll intervals.
	maxSkippedIntervals = 30
	// warmDiscoveryPeriod is the time after startup during which discovered
	// searchers are assumed to be warm and get no slow start.
	warmDiscoveryPeriod = 5 * time.Second
	// drainTimeout is how long the calls on a removed searcher may continue.
	drainTimeout = 5 * time.Second
)

// Config configures a Directory.
type Config struct {
	// VMs returns the platform's VM list and its age.
	VMs func() ([]vm.VM, time.Duration)
	// LocalDomain is the failure domain of this node.
	LocalDomain failuredomain.Domain
	// Events receives events. If nil, events are discarded.
	Events event.Sink
	// Backend is the template for new backends. VM and the hooks are filled in.
	Backend backend.Config
	// PollInterval is the mean time between two polls of a status page.
	PollInterval time.Duration
	// ListInterval is the time between two reads of the VM list.
	ListInterval time.Duration
	// OnDrain is called to notify other nodes when a response shows that a
	// searcher is draining. It must not block.
	OnDrain func(id string, until time.Time)
	// DisableEjection keeps slow searchers at full weight. For measurements.
	DisableEjection bool
	// Seed is the seed of the poll jitter.
	Seed uint64
}

// Directory holds the backends and the shard maps of all services.
type Directory struct {
	c        Config
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	maps     atomic.Pointer[map[string]*ShardMap]
	backends atomic.Pointer[map[string]*backend.Backend]
	reports  chan report
	changed  chan string
	// The fields below belong to the control goroutine.
	rand      *rand.Rand
	entries   map[string]*entry
	startedAt time.Time
	nextPoll  time.Time
	ejection  *eject.Detector
}

// entry is the control goroutine's state of one searcher.
type entry struct {
	b       *backend.Backend
	status  searcher.Status
	known   bool // status is set
	polling bool
	// pollAgain is true if an early poll was requested during a poll.
	pollAgain bool
	// urgent is true if the next poll must not be skipped.
	urgent bool
	// earlyInterval is the time between two early polls.
	earlyInterval time.Duration
	// peerReportAt is when another node last reported the status.
	peerReportAt time.Time
	// ejected is the state in the last event.
	ejected bool
	// draining is the state in the current shard maps.
	draining   bool
	nextPoll   time.Time
	lastPollAt time.Time
}

// report is the result of one poll of a status page.
type report struct {
	id     string
	status searcher.Status
	err    error
	// fromPeer is true if another node polled the page.
	fromPeer bool
}

// New returns a directory and starts to poll the VM list and the status pages.
func New(c Config) *Directory {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.PollInterval <= 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.ListInterval <= 0 {
		c.ListInterval = DefaultListInterval
	}
	d := &Directory{c: c, reports: make(chan report), changed: make(chan string, 256),
		rand: rand.New(rand.NewPCG(c.Seed, 0)), entries: map[string]*entry{},
		startedAt: time.Now(), ejection: eject.New(eject.Config{Disabled: c.DisableEjection})}
	d.c.Backend.Maintainer = pool.NewMaintainer()
	d.maps.Store(&map[string]*ShardMap{})
	d.backends.Store(&map[string]*backend.Backend{})
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.wg.Go(d.run)
	return d
}

// ShardMap returns the current shard map of a service. It is never nil.
func (d *Directory) ShardMap(service string) *ShardMap {
	if m, ok := (*d.maps.Load())[service]; ok {
		return m
	}
	return &ShardMap{}
}

// Writers returns the searchers of a service that accept records.
func (d *Directory) Writers(service string) []*backend.Backend {
	return d.ShardMap(service).writers
}

// Backend returns the searcher with the given id, or nil.
func (d *Directory) Backend(id string) *backend.Backend {
	return (*d.backends.Load())[id]
}

// Backends returns all searchers, sorted by id.
func (d *Directory) Backends() []*backend.Backend {
	m := *d.backends.Load()
	bs := make([]*backend.Backend, 0, len(m))
	for _, b := range m {
		bs = append(bs, b)
	}
	slices.SortFunc(bs, compareIDs)
	return bs
}

// MarkDraining records another node's report that a searcher is draining. The
// report is valid until the given time.
func (d *Directory) MarkDraining(id string, until time.Time) {
	if b := d.Backend(id); b != nil {
		b.MarkDraining(until)
	}
}

// Close ends all calls, closes all backends and waits for all goroutines.
func (d *Directory) Close() {
	d.stop()
	d.wg.Wait()
	d.c.Backend.Maintainer.Close()
}

// run is the control goroutine.
func (d *Directory) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextList time.Time
	for {
		select {
		case <-d.ctx.Done():
			d.closeAll()
			return
		case r := <-d.reports:
			d.handleReport(r)
		case id := <-d.changed:
			d.scheduleEarlyPoll(id)
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(nextList) {
			d.reconcile()
			d.updateWeights(now)
			nextList = now.Add(d.c.ListInterval)
			d.nextPoll = now
		}
		if !now.Before(d.nextPoll) {
			d.nextPoll = maxTime(d.startPolls(now, nextList), now.Add(minScanInterval))
		}
		timer.Reset(min(d.nextPoll.Sub(now), nextList.Sub(now)))
	}
}

// reconcile adds and removes backends to match the platform's VM list.
func (d *Directory) reconcile() {
	vms, _ := d.c.VMs()
	listed := make(map[string]bool, len(vms))
	changed := false
	for _, v := range vms {
		if v.Role != vm.Searcher {
			continue
		}
		listed[v.ID] = true
		changed = d.ensure(v) || changed
	}
	for id, e := range d.entries {
		if !listed[id] {
			d.remove(id, e)
			changed = true
		}
	}
	if changed {
		d.rebuild()
	}
}

// ensure adds v if it is new or its address has changed, and returns true then.
func (d *Directory) ensure(v vm.VM) bool {
	e, ok := d.entries[v.ID]
	if ok && e.b.VM().Addr == v.Addr {
		e.b.SetLeaving(v.State == vm.Leaving)
		return false
	}
	if ok {
		d.remove(v.ID, e)
	}
	c := d.c.Backend
	c.VM, c.Events, c.OnChange, c.OnDrain = v, d.c.Events, d.requestPoll, d.c.OnDrain
	if now := time.Now(); now.Sub(d.startedAt) > warmDiscoveryPeriod {
		c.AddedAt = now
	}
	e = &entry{b: backend.New(c)}
	e.b.SetLeaving(v.State == vm.Leaving)
	d.entries[v.ID] = e
	d.c.Events.Emit(event.SearcherFound, v.ID, v.Addr)
	return true
}

// remove removes a searcher, and closes it when its calls have ended.
func (d *Directory) remove(id string, e *entry) {
	delete(d.entries, id)
	d.c.Events.Emit(event.SearcherGone, id, "no longer listed")
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, drainTimeout)
		defer cancel()
		e.b.Drain(ctx)
		e.b.Close()
	})
}

// requestPoll requests an early poll of a searcher's status page.
func (d *Directory) requestPoll(id string) {
	select {
	case d.changed <- id:
	default:
	}
}

// closeAll closes every backend.
func (d *Directory) closeAll() {
	for _, e := range d.entries {
		e.b.Close()
	}
}
