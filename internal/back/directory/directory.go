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
	// DefaultInterval is the mean time between two reads of a status page.
	DefaultInterval = time.Second
	// DefaultListInterval is the time between two looks at the VM list.
	DefaultListInterval = 200 * time.Millisecond
	// leastInterval is the shortest time between two reads of one page. It
	// doubles to hurryMost while early reads bring nothing new: the revision
	// that answers carry may lag.
	leastInterval = 20 * time.Millisecond
	hurryMost     = 200 * time.Millisecond
	// pollTimeout bounds one read of a status page.
	pollTimeout = 2 * time.Second
	// rareFactor is how many times longer the page of a searcher waits with
	// which this node has no contract.
	rareFactor = 5
	// pollInterval is the shortest time between two looks for pages to read.
	pollInterval = 5 * time.Millisecond
	// quietFactor is how many intervals may pass between two reads of the page
	// of a searcher whose answers tell as much.
	quietFactor = 30
	// settleTime is how long after its start a directory takes each searcher
	// that it finds for a warm one.
	settleTime = 5 * time.Second
	// drainTimeout is how long the calls on a removed searcher may go on.
	drainTimeout = 5 * time.Second
)

// Config describes a directory.
type Config struct {
	// VMs returns the platform's list and its age.
	VMs func() ([]vm.VM, time.Duration)
	// Self is the failure domain of this node.
	Self failuredomain.Domain
	// Events takes what happens; nil discards it.
	Events event.Sink
	// Backend is the pattern for new backends; VM and the hooks are filled in.
	Backend backend.Config
	// Interval is the mean time between two reads of a status page.
	Interval time.Duration
	// ListInterval is the time between two looks at the VM list.
	ListInterval time.Duration
	// OnDrain is called when this node has own evidence that a searcher
	// leaves, to tell the other nodes. It must not block.
	OnDrain func(id string, until time.Time)
	// NoEjection leaves stragglers in rotation; for measurements.
	NoEjection bool
	// Seed drives the jitter.
	Seed uint64
}

// Directory knows the searchers and what they hold.
type Directory struct {
	c        Config
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	maps     atomic.Pointer[map[string]*Map]
	byID     atomic.Pointer[map[string]*backend.Backend]
	statuses chan report
	changed  chan string
	rand     *rand.Rand
	entries  map[string]*entry
	began    time.Time
	nextPoll time.Time
	eject    *eject.State
}

// entry is one searcher as the control goroutine keeps it.
type entry struct {
	b       *backend.Backend
	status  searcher.Status
	known   bool
	polling bool
	again   bool
	// urgent tells that the page has to be read, whatever answers tell.
	urgent bool
	// pause is the time between two early reads of the page.
	pause time.Duration
	// heard is when another node last told of the page.
	heard time.Time
	// slow tells that it was last seen moved out of rotation.
	slow bool
	// draining is how the maps were built.
	draining bool
	due      time.Time
	last     time.Time
}

// report is the end of one read of a status page.
type report struct {
	id     string
	status searcher.Status
	err    error
	// heard tells that another node read the page.
	heard bool
}

// New returns a directory and begins to read the list and the status pages.
func New(c Config) *Directory {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if c.ListInterval <= 0 {
		c.ListInterval = DefaultListInterval
	}
	d := &Directory{c: c, statuses: make(chan report), changed: make(chan string, 256),
		rand: rand.New(rand.NewPCG(c.Seed, 0)), entries: map[string]*entry{},
		began: time.Now(), eject: eject.New(eject.Config{Off: c.NoEjection})}
	d.c.Backend.Maintainer = pool.NewMaintainer()
	d.maps.Store(&map[string]*Map{})
	d.byID.Store(&map[string]*backend.Backend{})
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.wg.Go(d.run)
	return d
}

// Map returns what is known of a service's index. It is never nil.
func (d *Directory) Map(service string) *Map {
	if m, ok := (*d.maps.Load())[service]; ok {
		return m
	}
	return &Map{}
}

// Writers returns the searchers of a service that take records.
func (d *Directory) Writers(service string) []*backend.Backend {
	return d.Map(service).writers
}

// Backend returns the searcher with the given id, or nil.
func (d *Directory) Backend(id string) *backend.Backend {
	return (*d.byID.Load())[id]
}

// Backends returns all searchers, in the order of their ids.
func (d *Directory) Backends() []*backend.Backend {
	m := *d.byID.Load()
	bs := make([]*backend.Backend, 0, len(m))
	for _, b := range m {
		bs = append(bs, b)
	}
	slices.SortFunc(bs, byID)
	return bs
}

// MarkDraining takes from another node that a searcher leaves.
func (d *Directory) MarkDraining(id string, until time.Time) {
	if b := d.Backend(id); b != nil {
		b.MarkDraining(until)
	}
}

// Close ends all calls, closes all backends and waits for every goroutine.
func (d *Directory) Close() {
	d.stop()
	d.wg.Wait()
	d.c.Backend.Maintainer.Close()
}

// run is the control goroutine.
func (d *Directory) run() {
	t := time.NewTimer(0)
	defer t.Stop()
	var nextList time.Time
	for {
		select {
		case <-d.ctx.Done():
			d.closeAll()
			return
		case r := <-d.statuses:
			d.take(r)
		case id := <-d.changed:
			d.hurry(id)
		case <-t.C:
		}
		now := time.Now()
		if !now.Before(nextList) {
			d.list()
			d.weigh(now)
			nextList = now.Add(d.c.ListInterval)
			d.nextPoll = now
		}
		if !now.Before(d.nextPoll) {
			d.nextPoll = maxTime(d.poll(now, nextList), now.Add(pollInterval))
		}
		t.Reset(min(d.nextPoll.Sub(now), nextList.Sub(now)))
	}
}

// list reconciles the backends with the platform's list.
func (d *Directory) list() {
	vms, _ := d.c.VMs()
	seen := make(map[string]bool, len(vms))
	turned := false
	for _, v := range vms {
		if v.Role != vm.Searcher {
			continue
		}
		seen[v.ID] = true
		turned = d.ensure(v) || turned
	}
	for id, e := range d.entries {
		if !seen[id] {
			d.remove(id, e)
			turned = true
		}
	}
	if turned {
		d.rebuild()
	}
}

// ensure adds the searcher of v if it is new or has moved.
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
	c.VM, c.Events, c.OnChange, c.OnDrain = v, d.c.Events, d.wake, d.c.OnDrain
	if now := time.Now(); now.Sub(d.began) > settleTime {
		c.AddedAt = now
	}
	e = &entry{b: backend.New(c)}
	e.b.SetLeaving(v.State == vm.Leaving)
	d.entries[v.ID] = e
	d.c.Events.Emit(event.SearcherFound, v.ID, v.Addr)
	return true
}

// remove takes a searcher out of the maps, and closes it once its calls have
// ended.
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

// wake asks for an early read of a searcher's status page.
func (d *Directory) wake(id string) {
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
