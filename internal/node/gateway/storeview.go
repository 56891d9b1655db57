package gateway

import (
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/limitshare"
	"egrethaven/internal/back/subset"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/vmcount"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/state/evacuation"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
	"egrethaven/internal/state/vmregistry"
)

const (
	// minVMCount is the minimum number of VMs that connections and extra sends
	// are divided by, as VMs that start at the same time are not registered yet.
	minVMCount = 8
	// startupWait is how long a new VM waits for VMs that started at the same
	// time to register, before it opens more than one connection for each
	// service. Machines start within 0.3 s of each other.
	startupWait = 2 * time.Second
	// minBatchDelay is the pause between two watches, so that a burst of changes
	// costs one call. VMs that watch the store because no relay answers pause
	// for batchDelayPerVM times the number of VMs, so that all of them make
	// about a hundred calls a second under constant changes. The pause is at
	// most maxBatchDelayShare of the catch-up time.
	batchDelayPerVM    = 10 * time.Millisecond
	minBatchDelay      = 250 * time.Millisecond
	maxBatchDelayShare = 0.25
	// If at least minLapsedSearchers and more than minLapsedShare of all
	// searchers are deleted at once, their leases are assumed to have expired
	// during a store outage.
	minLapsedSearchers = 3
	minLapsedShare     = 1.0 / 3
	// maxDrainTime limits the time for requests in flight at a removed searcher.
	maxDrainTime = 10 * time.Second
	// oldConnsTime is how long after the start of this process searchers may
	// still hold connections of the previous one. They close idle connections
	// after some seconds.
	oldConnsTime = 10 * time.Second
	// openSpreadPerVM times the number of VMs is the period over which VMs spread
	// the opening of their connections to a searcher that they have just found. A
	// searcher takes some milliseconds for each new connection and refuses more
	// while many wait.
	openSpreadPerVM = 5 * time.Millisecond
	// drainPollInterval is the time between two checks for the end of a drain.
	drainPollInterval = 200 * time.Millisecond
)

// configSeed is the seed of the hashes by which a configuration is known again.
var configSeed = maphash.MakeSeed()

// Decoder holds the keys of the store and decodes its entries.
type Decoder struct {
	ConfigKey      string
	SearcherPrefix string
	VMPrefix       string
	RumorPrefix    string
	// EvacuationPrefix is the prefix of the keys of evacuated failure domains; empty if
	// there are none.
	EvacuationPrefix string
	Config           func(value []byte) (*routing.Config, error)
	Searcher         func(key string, value []byte, now time.Time) (registry.Searcher, error)
}

// storeViewConfig holds the settings of a storeView.
type storeViewConfig struct {
	// Self is the registration of this VM.
	Self       vmregistry.VM
	Decode     Decoder
	EntryGrace time.Duration
	// CatchUp is the maximum time after a store outage until its changes are
	// known.
	CatchUp time.Duration
	// ColdOverage and ColdSlack define the limit on requests to cold searchers.
	ColdOverage, ColdSlack float64
	Events                 event.Sink
	// Budget bounds the memory for the answers of searchers.
	Budget *readbudget.Budget
	// RunningSince returns the end of the last pause of this process before a time.
	RunningSince func(now time.Time) time.Time
	// OnVMCount is called when the number of VMs changes.
	OnVMCount func(int)
}

// storeView builds the snapshots used by requests from the entries of the
// store. It implements follow.Handler.
type storeView struct {
	c       storeViewConfig
	current atomic.Pointer[forward.Snapshot]
	// relayAddrs and knownAddrs are derived from the registered VMs.
	relayAddrs atomic.Pointer[[]string]
	knownAddrs atomic.Pointer[map[netip.Addr]bool]
	// otherVMs are the other VMs that accept calls.
	otherVMs atomic.Pointer[otherVMs]
	// sharesScores reports whether the VMs of the domain share their
	// measurements of searchers.
	sharesScores atomic.Bool
	// observeSearcher receives the measurements of this VM. It is set once,
	// before the first searcher is added.
	observeSearcher func(s healthscore.Process, ratio float64, failed bool)
	// onSearcherEnded is called when a searcher's process has ended, with its name. It is
	// set once, before the first searcher is added, like rumors, which takes in the entries
	// with the rumors of other VMs.
	onSearcherEnded func(process string)
	rumors          *rumorKeeper
	// limits divides the limits that searchers name.
	limits atomic.Pointer[limitshare.Divider]

	mu     sync.Mutex
	wg     sync.WaitGroup
	config *routing.Config
	// decodedConfig is the hash of the configuration that was decoded last. Only the
	// goroutine that follows the store uses it.
	decodedConfig uint64
	registry      *registry.Registry
	loaded        bool
	storeDown     bool
	// vms holds the registered VMs by ID.
	vms map[string]vmregistry.VM
	// previousLease is the lease of this VM's registration from before a
	// restart; zero if there is none.
	previousLease follow.Lease
	vmCounter     vmcount.Counter
	countedVMs    int
	// vmCountTrusted is set by the first rebuild at or after trustVMCountAt. The
	// time alone is not enough: if its timer is stopped late, as after a freeze,
	// the rebuild is still due.
	vmCountTrusted bool
	// countedBefore reports whether the first read found the key of a process of this VM before.
	countedBefore  atomic.Bool
	trustVMCountAt time.Time
	// firstRead is closed after the first read of the store.
	firstRead chan struct{}
	// restored receives a value after a restore of the store.
	restored chan struct{}
	// keyLost receives a value after the store has deleted this VM's key.
	keyLost chan struct{}
	// leaving holds when searchers said that they are about to stop, by process. What the
	// store says of them afterwards does not count.
	leaving map[process]time.Time
	// registeredAt is when this VM was first seen in the store; zero before.
	registeredAt time.Time
	// evacuated holds the failure domains whose searchers get no new requests.
	evacuated *evacuation.Set
	// instances holds the searchers in use, by process.
	instances    map[process]*instance.Instance
	rebuildTimer *time.Timer
	closed       bool
	stop         chan struct{}
	// startedAt is when the view was created.
	startedAt time.Time
}

// process identifies a process of a searcher. startedMs is its start time in
// milliseconds of Unix time.
type process struct {
	id        string
	addr      string
	startedMs int64
}

// processOf returns the process of a registered searcher.
func processOf(s registry.Searcher) process { return process{s.ID, s.Addr, s.StartedMs} }

var _ follow.Handler = (*storeView)(nil)

// newStoreView returns a view without entries.
func newStoreView(c storeViewConfig) *storeView {
	return &storeView{
		c: c, registry: registry.New(registry.Config{Grace: c.EntryGrace}), vms: map[string]vmregistry.VM{},
		leaving: map[process]time.Time{}, instances: map[process]*instance.Instance{}, stop: make(chan struct{}), firstRead: make(chan struct{}),
		restored:  make(chan struct{}, 1),
		keyLost:   make(chan struct{}, 1),
		evacuated: evacuation.New(evacuation.Config{Events: c.Events}),
		startedAt: time.Now(), observeSearcher: func(healthscore.Process, float64, bool) {}, onSearcherEnded: func(string) {},
	}
}

// SetGrace changes how long searchers that are missing in the store after an
// outage are kept.
func (v *storeView) SetGrace(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registry.SetGrace(d)
}

// Current returns the current snapshot; nil before the first one.
func (v *storeView) Current() *forward.Snapshot { return v.current.Load() }

// Restored records that the store was restored from a backup.
func (v *storeView) Restored(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registry.MarkOutage(now)
	v.evacuated.MarkRestored(now)
	select {
	case v.restored <- struct{}{}:
	default:
	}
}

// Replace replaces all entries.
func (v *storeView) Replace(now time.Time, all []follow.Change) {
	configs := v.decodeConfigs(all)
	v.mu.Lock()
	defer v.mu.Unlock()
	var ss []registry.Searcher
	var evacuated []string
	v.vms = map[string]vmregistry.VM{}
	if v.rumors != nil {
		v.rumors.replace()
	}
	for _, c := range all {
		switch {
		case c.Key == v.c.Decode.ConfigKey:
		case strings.HasPrefix(c.Key, v.c.Decode.VMPrefix):
			v.applyVM(c)
			v.recallLease(c)
		case v.isRumor(c):
			v.rumors.apply(c)
		case v.isEvacuation(c):
			evacuated = append(evacuated, strings.TrimPrefix(c.Key, v.c.Decode.EvacuationPrefix))
		case strings.HasPrefix(c.Key, v.c.Decode.SearcherPrefix):
			if s, ok := v.decodeSearcher(c, now); ok {
				ss = append(ss, s)
			}
		}
	}
	v.adoptConfigs(configs)
	v.registry.Replace(now, ss)
	v.evacuated.Replace(now, evacuated)
	if !v.loaded {
		v.loaded = true
		v.startVMCount(now)
	}
	v.rebuild(now)
}

// startVMCount decides when the number of registered VMs is trusted. If this
// VM's key from before a restart is still present, so are those of the other VMs.
// A new VM may have started together with all others. The lock is held.
func (v *storeView) startVMCount(now time.Time) {
	close(v.firstRead)
	if _, v.vmCountTrusted = v.vms[v.c.Self.ID]; !v.vmCountTrusted {
		v.trustVMCountAt = now.Add(startupWait)
	}
	v.countedBefore.Store(v.vmCountTrusted)
}

// FirstRead returns a channel that is closed after the first read of the store.
func (v *storeView) FirstRead() <-chan struct{} { return v.firstRead }

// Apply applies changes to entries.
func (v *storeView) Apply(now time.Time, cs []follow.Change) {
	configs := v.decodeConfigs(cs)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.looksLikeOutage(cs) {
		v.registry.MarkOutage(now)
	}
	for _, c := range cs {
		switch {
		case c.Key == v.c.Decode.ConfigKey:
		case strings.HasPrefix(c.Key, v.c.Decode.VMPrefix):
			v.applyVM(c)
		case v.isRumor(c):
			v.rumors.apply(c)
		case v.isEvacuation(c):
			v.applyEvacuation(c)
		case strings.HasPrefix(c.Key, v.c.Decode.SearcherPrefix):
			v.applySearcher(now, c)
		}
	}
	v.adoptConfigs(configs)
	v.rebuild(now)
}

// applySearcher applies a change to the entry of a searcher. The lock is held.
func (v *storeView) applySearcher(now time.Time, c follow.Change) {
	s, ok := v.decodeSearcher(c, now)
	switch {
	case !ok:
		v.registry.Remove(now, strings.TrimPrefix(c.Key, v.c.Decode.SearcherPrefix))
	case !v.registry.Put(now, s):
		v.c.Events.Emit(event.EntryOutdated, s.ID, fmt.Sprintf("revision %d, started at %d, write %d", c.Revision, s.StartedMs, s.Seq))
	}
}

// isRumor reports whether an entry holds rumors of another VM.
func (v *storeView) isRumor(c follow.Change) bool {
	return v.rumors != nil && strings.HasPrefix(c.Key, v.c.Decode.RumorPrefix)
}

// looksLikeOutage reports whether so many searchers are deleted at once that the
// store must have been unreachable for them. The lock is held.
func (v *storeView) looksLikeOutage(cs []follow.Change) bool {
	known, deleted := v.registry.Len(), 0
	for _, c := range cs {
		if c.Deleted && strings.HasPrefix(c.Key, v.c.Decode.SearcherPrefix) {
			deleted++
		}
	}
	return deleted >= minLapsedSearchers && float64(deleted) > minLapsedShare*float64(known)
}

// decodeSearcher decodes the entry of a searcher. It returns false if the entry
// was deleted or is invalid. The lock is held.
func (v *storeView) decodeSearcher(c follow.Change, now time.Time) (registry.Searcher, bool) {
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

// decodeConfigs decodes the configurations among changes, except one that was decoded last. A
// configuration with thousands of accounts takes long, so the lock is not held. Only the
// goroutine that follows the store calls it.
func (v *storeView) decodeConfigs(cs []follow.Change) []*routing.Config {
	var out []*routing.Config
	for _, c := range cs {
		if c.Key != v.c.Decode.ConfigKey || c.Deleted {
			continue
		}
		h := maphash.Bytes(configSeed, c.Value)
		if h == v.decodedConfig {
			continue
		}
		config, err := v.c.Decode.Config(c.Value)
		if err != nil {
			v.c.Events.Emit(event.ConfigRefused, v.c.Decode.ConfigKey, err.Error())
			continue
		}
		v.decodedConfig = h
		out = append(out, config)
	}
	return out
}

// adoptConfigs adopts each configuration whose version is newer. The lock is held.
func (v *storeView) adoptConfigs(cs []*routing.Config) {
	for _, c := range cs {
		if v.config != nil && c.Version <= v.config.Version {
			continue
		}
		v.config = c
		detail := fmt.Sprintf("%d routes", len(c.Routes))
		if c.Accounts != nil {
			detail += fmt.Sprintf(", %d accounts", c.Accounts.Len())
		}
		v.c.Events.Emit(event.ConfigAdopted, fmt.Sprint(c.Version), detail)
	}
}

// Confirmed records that the store was reached.
func (v *storeView) Confirmed(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.storeDown {
		v.storeDown = false
		v.registry.MarkOutage(now)
		v.scheduleRebuild(now)
	}
}

// Outage records that the store could not be reached.
func (v *storeView) Outage(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeDown = true
	v.registry.MarkOutage(now)
}

// scheduleRebuild removes expired searchers, unless the store is down, and
// schedules a rebuild for the next change that depends on time only. The lock is
// held.
func (v *storeView) scheduleRebuild(now time.Time) {
	next := v.vmCounter.NextChange()
	if !v.storeDown {
		next = earlier(next, v.registry.Expire(now))
	}
	if !v.vmCountTrusted {
		next = earlier(next, v.trustVMCountAt)
	}
	next = earlier(next, v.evacuated.Expire(now))
	next = earlier(next, v.coldShareChange(now))
	if v.rebuildTimer != nil {
		v.rebuildTimer.Stop()
	}
	if next.IsZero() || v.closed {
		return
	}
	v.rebuildTimer = time.AfterFunc(next.Sub(now), func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.rebuild(time.Now())
	})
}

// earlier returns the earlier of two times; a zero time counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// rebuild builds and publishes a new snapshot. The lock is held.
func (v *storeView) rebuild(now time.Time) {
	if v.config == nil || !v.loaded || v.closed {
		return
	}
	v.vmCountTrusted = v.vmCountTrusted || !now.Before(v.trustVMCountAt)
	if n := max(v.vmCounter.Update(now, len(v.vms)), minVMCount); n != v.countedVMs {
		v.countedVMs = n
		v.c.Events.Emit(event.VMsCounted, "", fmt.Sprintf("%d counted, %d registered", n, len(v.vms)))
		v.c.OnVMCount(n)
	}
	v.updatePeers()
	v.updateLimits()
	v.noteRegistration(now)
	v.scheduleRebuild(now)
	s := &forward.Snapshot{Config: v.config, Instances: map[string][]*instance.Instance{}, BuiltAt: now}
	inUse := map[process]bool{}
	ready := slices.DeleteFunc(v.registry.Ready(), func(e registry.Searcher) bool { return v.isLeaving(e) || v.evacuated.Has(e.Domain) })
	conns := v.connLimits(ready)
	for _, e := range ready {
		p := processOf(e)
		inUse[p] = true
		i := v.instances[p]
		if i == nil {
			v.c.Events.Emit(event.SearcherFound, e.ID, e.Service+" at "+e.Addr)
			name := healthscore.Process{ID: e.ID, StartedMs: e.StartedMs}
			i = instance.New(instance.Config{Searcher: e, Conns: conns[e.ID], Budget: v.c.Budget, RunningSince: v.c.RunningSince, Events: v.c.Events, AtConnLimit: v.oldConnsMayRemain, OpenDelay: rand.N(time.Duration(v.countedVMs) * openSpreadPerVM), LimitShare: v.limitShare,
				Observe: func(ratio float64, failed bool) { v.observeSearcher(name, ratio, failed) }, OnLeaving: func() { v.markLeaving(p) }, OnEnded: func() { v.onSearcherEnded(e.Process()) }})
			v.instances[p] = i
		} else {
			i.Update(e, conns[e.ID])
		}
		i.SetColdShare(v.coldShare(now, e))
		s.Instances[e.Service] = append(s.Instances[e.Service], i)
	}
	registered := map[process]bool{}
	for _, e := range v.registry.Searchers() {
		registered[processOf(e)] = true
	}
	for p, i := range maps.All(v.instances) {
		if !inUse[p] {
			delete(v.instances, p)
			v.drain(p, i)
			if !registered[p] {
				v.onSearcherEnded(i.Searcher().Process())
			}
		}
	}
	if v.current.Swap(s) == nil {
		v.c.Events.Emit(event.NodeReady, "", "")
	}
}

// batchDelay returns the pause before changes are requested again. storeAsked
// reports whether the last request went to the store instead of a relay. A new VM
// waits until VMs started at the same time have registered.
func (v *storeView) batchDelay(storeAsked bool) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.vmCountTrusted {
		return time.Until(v.trustVMCountAt)
	}
	if v.relays() == nil || !storeAsked {
		return minBatchDelay
	}
	// No relay answers, so all VMs of the domain watch the store.
	maxDelay := time.Duration(maxBatchDelayShare * float64(v.c.CatchUp))
	return min(max(time.Duration(v.countedVMs)*batchDelayPerVM, minBatchDelay), maxDelay)
}

// connLimits returns the limits on this VM's connections to each searcher, by
// searcher ID. The lock is held.
func (v *storeView) connLimits(all []registry.Searcher) map[string]instance.ConnLimits {
	s := subset.Assigner{VM: v.c.Self.ID, Domain: v.c.Self.Domain}
	if v.vmCountTrusted {
		s.VMs = v.countedVMs
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

// applyScores applies the scores of searchers measured by the VMs of the domain.
// Searchers without a score get a neutral one.
func (v *storeView) applyScores(now time.Time, scores []healthscore.Score) {
	byProcess := make(map[healthscore.Process]healthscore.Score, len(scores))
	for _, s := range scores {
		byProcess[s.Searcher] = s
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for p, i := range v.instances {
		name := healthscore.Process{ID: p.id, StartedMs: p.startedMs}
		s, ok := byProcess[name]
		if !ok {
			s = healthscore.Score{Searcher: name, SlowdownFactor: 1}
		}
		i.SetSharedScore(now, s)
	}
}

// oldConnsMayRemain reports whether searchers may still hold connections of a
// previous process, as after a power loss. The lock need not be held.
func (v *storeView) oldConnsMayRemain(now time.Time) bool { return now.Sub(v.startedAt) < oldConnsTime }

// drain closes a removed searcher once its requests have ended or maxDrainTime is
// over. The lock is held.
func (v *storeView) drain(p process, i *instance.Instance) {
	v.c.Events.Emit(event.SearcherGone, p.id, "at "+p.addr)
	i.Drain()
	v.wg.Go(func() {
		t := time.NewTicker(drainPollInterval)
		defer t.Stop()
		for end := time.Now().Add(maxDrainTime); !i.Idle() && time.Now().Before(end); {
			select {
			case <-t.C:
			case <-v.stop:
				end = time.Time{}
			}
		}
		i.Close()
	})
}

// Close aborts all requests and waits for all goroutines.
func (v *storeView) Close() {
	v.mu.Lock()
	v.closed = true
	if v.rebuildTimer != nil {
		v.rebuildTimer.Stop()
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

// routingVersion returns the version of the current configuration; 0 before the first
// one.
func (v *storeView) routingVersion() routing.Version {
	if s := v.Current(); s != nil {
		return s.Config.Version
	}
	return 0
}

// configVersion returns routingVersion for the gauge.
func (v *storeView) configVersion() float64 { return float64(v.routingVersion()) }

// searcherCount returns the number of searchers in use.
func (v *storeView) searcherCount() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return float64(len(v.instances))
}

// waitingCount returns the number of searchers that want no request from this VM now.
func (v *storeView) waitingCount() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	n, now := 0.0, time.Now()
	for _, i := range v.instances {
		if i.Waiting(now) {
			n++
		}
	}
	return n
}

// registeredVMs returns the number of registered VMs.
func (v *storeView) registeredVMs() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return float64(len(v.vms))
}
