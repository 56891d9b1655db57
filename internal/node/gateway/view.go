package gateway

import (
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/subset"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
	"egrethaven/internal/state/vmregistry"
)

const (
	// assumedVMs is how many VMs are taken to share connections and extra
	// sends at least: those that start at the same moment are not counted yet.
	assumedVMs = 8
	// settleTime is how long after its start a new VM waits for others that
	// started at the same moment to register, before it opens more than one
	// connection for each service. Machines start within 0.3 s of each other.
	settleTime = 2 * time.Second
	// gatherLeast is how long changes are collected before they are asked for
	// again, so that a burst of them costs one call. VMs that ask the store
	// because no relay answers collect for gatherPerVM times the number of VMs,
	// so that all together make about a hundred calls a second while something
	// changes all the time, and at most gatherShare of the time to catch up.
	gatherPerVM = 10 * time.Millisecond
	gatherLeast = 250 * time.Millisecond
	gatherShare = 0.25
	// lapsedLeast and lapsedShare are how many searchers, and what part of all,
	// have to vanish at once to be taken for entries that lapsed while the
	// store was away.
	lapsedLeast = 3
	lapsedShare = 1.0 / 3
	// retireAfter is how long requests at a searcher that left may take.
	retireAfter = 10 * time.Second
	// crowdedTime is how long after the start of this process searchers may still
	// have the connections of the one before. They close idle ones after some
	// seconds.
	crowdedTime = 10 * time.Second
	// retireInterval is the time between two looks at them.
	retireInterval = 200 * time.Millisecond
)

// Decoder knows the entries of the store.
type Decoder struct {
	ConfigKey      string
	SearcherPrefix string
	VMPrefix       string
	Config         func(value []byte) (*routing.Config, error)
	Searcher       func(key string, value []byte, now time.Time) (registry.Searcher, error)
}

// viewConfig sets up a view.
type viewConfig struct {
	// Self is how this VM registers.
	Self   vmregistry.VM
	Decode Decoder
	Grace  time.Duration
	// CatchUp is the time after a disruption of the store within which its
	// changes have to be known.
	CatchUp time.Duration
	Events  event.Sink
	// OnVMs is called when the number of VMs changes.
	OnVMs func(int)
}

// view is what this VM knows from the store, as snapshots that requests use.
// It is a follow.Handler.
type view struct {
	c       viewConfig
	current atomic.Pointer[forward.Snapshot]
	// relayAddrs and known are what follows from the registered VMs.
	relayAddrs atomic.Pointer[[]string]
	known      atomic.Pointer[map[netip.Addr]bool]
	// shares tells whether the VMs of the domain tell each other what they see
	// of searchers, and observe takes what this one sees; it is set once, before
	// there are searchers.
	shares    atomic.Bool
	observe   func(s healthscore.Process, ratio float64, failed bool)
	confirmed atomic.Pointer[time.Time]

	mu       sync.Mutex
	wg       sync.WaitGroup
	config   *routing.Config
	registry *registry.Registry
	loaded   bool
	down     bool
	// vms are the registered VMs by ID, lease the one that this VM's own
	// registration from before a restart stands under.
	vms     map[string]vmregistry.VM
	lease   follow.Lease
	count   vmCount
	counted int
	// settled is set by the first rebuild after the other VMs have had time to
	// register. The time alone would not tell that a rebuild is still due when
	// its timer is stopped late, as after a freeze.
	settled   bool
	settledAt time.Time
	// firstRead is closed once the store has been read.
	firstRead chan struct{}
	// instances are the searchers in use, by process.
	instances map[process]*instance.Instance
	expiry    *time.Timer
	closed    bool
	stop      chan struct{}
	// began is when this process began to follow the store.
	began time.Time
}

// process is one process of a searcher.
type process struct {
	id   string
	addr string
	born int64
}

var _ follow.Handler = (*view)(nil)

// newView returns a view that knows nothing.
func newView(c viewConfig) *view {
	return &view{
		c: c, registry: registry.New(registry.Config{Grace: c.Grace}), vms: map[string]vmregistry.VM{},
		instances: map[process]*instance.Instance{}, stop: make(chan struct{}), firstRead: make(chan struct{}),
		began: time.Now(), observe: func(healthscore.Process, float64, bool) {},
	}
}

// SetGrace changes how long searchers are kept that are missing in the store
// after an outage.
func (v *view) SetGrace(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registry.SetGrace(d)
}

// Current returns the snapshot in force; nil before there is one.
func (v *view) Current() *forward.Snapshot { return v.current.Load() }

// Replace takes all entries of the store.
func (v *view) Replace(now time.Time, all []follow.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ss []registry.Searcher
	v.vms = map[string]vmregistry.VM{}
	for _, c := range all {
		switch {
		case c.Key == v.c.Decode.ConfigKey:
			v.adopt(c.Value)
		case strings.HasPrefix(c.Key, v.c.Decode.VMPrefix):
			v.vm(c)
			v.recall(c)
		case strings.HasPrefix(c.Key, v.c.Decode.SearcherPrefix):
			if s, ok := v.searcher(c, now); ok {
				ss = append(ss, s)
			}
		}
	}
	v.registry.Replace(now, ss)
	if !v.loaded {
		v.loaded = true
		v.settle(now)
	}
	v.rebuild(now)
}

// settle decides when the number of VMs is believed. A VM whose key is still
// there from before its restart finds those of the others too; one that is
// new may have started together with all others. The lock is held.
func (v *view) settle(now time.Time) {
	close(v.firstRead)
	if _, v.settled = v.vms[v.c.Self.ID]; !v.settled {
		v.settledAt = now.Add(settleTime)
	}
}

// FirstRead is closed once the store has been read.
func (v *view) FirstRead() <-chan struct{} { return v.firstRead }

// Apply takes changes of the store.
func (v *view) Apply(now time.Time, cs []follow.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lapsed(cs) {
		v.registry.MarkOutage(now)
	}
	for _, c := range cs {
		switch {
		case c.Key == v.c.Decode.ConfigKey && !c.Deleted:
			v.adopt(c.Value)
		case strings.HasPrefix(c.Key, v.c.Decode.VMPrefix):
			v.vm(c)
		case strings.HasPrefix(c.Key, v.c.Decode.SearcherPrefix):
			if s, ok := v.searcher(c, now); ok {
				v.registry.Put(s)
			} else {
				v.registry.Remove(now, strings.TrimPrefix(c.Key, v.c.Decode.SearcherPrefix))
			}
		}
	}
	v.rebuild(now)
}

// lapsed tells whether so many entries vanish at once that the store must
// have been out of reach of the searchers. The lock is held.
func (v *view) lapsed(cs []follow.Change) bool {
	known, gone := v.registry.Len(), 0
	for _, c := range cs {
		if c.Deleted && strings.HasPrefix(c.Key, v.c.Decode.SearcherPrefix) {
			gone++
		}
	}
	return gone >= lapsedLeast && float64(gone) > lapsedShare*float64(known)
}

// searcher decodes an entry. The lock is held.
func (v *view) searcher(c follow.Change, now time.Time) (registry.Searcher, bool) {
	if c.Deleted {
		return registry.Searcher{}, false
	}
	s, err := v.c.Decode.Searcher(c.Key, c.Value, now)
	if err != nil {
		v.c.Events.Emit(event.EntryUnreadable, c.Key, fmt.Sprintf("revision %d: %v", c.Revision, err))
		return s, false
	}
	return s, true
}

// adopt takes a configuration if it is newer. The lock is held.
func (v *view) adopt(value []byte) {
	c, err := v.c.Decode.Config(value)
	switch {
	case err != nil:
		v.c.Events.Emit(event.ConfigRefused, v.c.Decode.ConfigKey, err.Error())
	case v.config != nil && c.Version <= v.config.Version:
	default:
		v.config = c
		v.c.Events.Emit(event.ConfigAdopted, fmt.Sprint(c.Version), fmt.Sprintf("%d routes", len(c.Routes)))
	}
}

// Confirmed notes that the store was reached.
func (v *view) Confirmed(now time.Time) {
	v.confirmed.Store(&now)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		v.down = false
		v.registry.MarkOutage(now)
		v.expire(now)
	}
}

// Outage notes that the store could not be reached.
func (v *view) Outage(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = true
	v.registry.MarkOutage(now)
}

// expire forgets searchers whose time is over, unless the store is away, and
// plans the next look at what only time decides. The lock is held.
func (v *view) expire(now time.Time) {
	next := v.count.recheck()
	if !v.down {
		next = earlier(next, v.registry.Expire(now))
	}
	if !v.settled {
		next = earlier(next, v.settledAt)
	}
	if v.expiry != nil {
		v.expiry.Stop()
	}
	if next.IsZero() || v.closed {
		return
	}
	v.expiry = time.AfterFunc(next.Sub(now), func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.rebuild(time.Now())
	})
}

// earlier returns the earlier of two times; a zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// rebuild makes a new snapshot. The lock is held.
func (v *view) rebuild(now time.Time) {
	if v.config == nil || !v.loaded || v.closed {
		return
	}
	v.settled = v.settled || !now.Before(v.settledAt)
	if n := max(v.count.take(now, len(v.vms)), assumedVMs); n != v.counted {
		v.counted = n
		v.c.Events.Emit(event.VMsCounted, "", fmt.Sprintf("%d counted, %d registered", n, len(v.vms)))
		v.c.OnVMs(n)
	}
	v.choose()
	v.expire(now)
	s := &forward.Snapshot{Config: v.config, Instances: map[string][]*instance.Instance{}, Built: now}
	used := map[process]bool{}
	ready := v.registry.Ready()
	conns := v.conns(ready)
	for _, e := range ready {
		p := process{e.ID, e.Addr, e.StartedMs}
		used[p] = true
		i := v.instances[p]
		if i == nil {
			v.c.Events.Emit(event.SearcherFound, e.ID, e.Service+" at "+e.Addr)
			name := healthscore.Process{ID: e.ID, StartedMs: e.StartedMs}
			i = instance.New(instance.Config{Searcher: e, Conns: conns[e.ID], Events: v.c.Events, AtConnLimit: v.crowded,
				Observe: func(ratio float64, failed bool) { v.observe(name, ratio, failed) }})
			v.instances[p] = i
		} else {
			i.Update(e, conns[e.ID])
		}
		s.Instances[e.Service] = append(s.Instances[e.Service], i)
	}
	for p, i := range maps.All(v.instances) {
		if !used[p] {
			delete(v.instances, p)
			v.retire(p, i)
		}
	}
	if v.current.Swap(s) == nil {
		v.c.Events.Emit(event.NodeReady, "", "")
	}
}

// gather is how long changes are collected before they are asked for again;
// direct tells that the store itself was asked. A VM that starts together with
// all others waits until they have registered.
func (v *view) gather(direct bool) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.settled {
		return time.Until(v.settledAt)
	}
	if v.relays() == nil || !direct {
		return gatherLeast
	}
	// No relay answers, so all VMs of the domain ask the store.
	most := time.Duration(gatherShare * float64(v.c.CatchUp))
	return min(max(time.Duration(v.counted)*gatherPerVM, gatherLeast), most)
}

// conns is how many connections this VM opens to each of the given searchers.
// The lock is held.
func (v *view) conns(all []registry.Searcher) map[string]instance.ConnLimits {
	s := subset.Assigner{VM: v.c.Self.ID, Domain: v.c.Self.Domain}
	if v.settled {
		s.VMs = v.counted
	}
	services := map[string][]registry.Searcher{}
	for _, e := range all {
		services[e.Service] = append(services[e.Service], e)
	}
	out := make(map[string]instance.ConnLimits, len(all))
	for service, ss := range services {
		for n, c := range s.Assign(v.config.Services[service].MaxConns, ss) {
			out[ss[n].ID] = c
		}
	}
	return out
}

// hear takes what the VMs of the domain have seen of searchers.
func (v *view) hear(now time.Time, scores []healthscore.Score) {
	by := make(map[healthscore.Process]healthscore.Score, len(scores))
	for _, s := range scores {
		by[s.Searcher] = s
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for p, i := range v.instances {
		name := healthscore.Process{ID: p.id, StartedMs: p.born}
		s, ok := by[name]
		if !ok {
			s = healthscore.Score{Searcher: name, SlowdownFactor: 1}
		}
		i.SetSharedScore(now, s)
	}
}

// crowded tells whether the connections of processes that ended when this VM lost
// power may still be open at the searchers. The lock need not be held.
func (v *view) crowded(now time.Time) bool { return now.Sub(v.began) < crowdedTime }

// retire lets the requests at a searcher that left end. The lock is held.
func (v *view) retire(p process, i *instance.Instance) {
	v.c.Events.Emit(event.SearcherGone, p.id, "at "+p.addr)
	i.Drain()
	v.wg.Go(func() {
		t := time.NewTicker(retireInterval)
		defer t.Stop()
		for end := time.Now().Add(retireAfter); !i.Idle() && time.Now().Before(end); {
			select {
			case <-t.C:
			case <-v.stop:
				end = time.Time{}
			}
		}
		i.Close()
	})
}

// Close ends all requests and waits.
func (v *view) Close() {
	v.mu.Lock()
	v.closed = true
	if v.expiry != nil {
		v.expiry.Stop()
	}
	is := v.instances
	v.instances = nil
	v.mu.Unlock()
	close(v.stop)
	for _, i := range is {
		i.Close()
	}
	v.wg.Wait()
}

// version is the version of the configuration in force.
func (v *view) version() float64 {
	if s := v.Current(); s != nil {
		return float64(s.Config.Version)
	}
	return 0
}

// age is the time since the store was last reached, in seconds.
func (v *view) age() float64 {
	if t := v.confirmed.Load(); t != nil {
		return time.Since(*t).Seconds()
	}
	return -1
}

// searchers counts those in use.
func (v *view) searchers() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return float64(len(v.instances))
}

// vmCount counts the VMs of the tier.
func (v *view) vmCount() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return float64(len(v.vms))
}
