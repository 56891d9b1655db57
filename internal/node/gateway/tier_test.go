package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relay"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
	"egrethaven/internal/state/vmregistry"
)

// path is how the store treats the calls of a VM.
type path int

const (
	// open: the store answers within latency.
	open path = iota
	// refusing: the store refuses each call.
	refusing
	// silent: the store swallows each call, and those that wait.
	silent
)

// latency is the store's response time.
const latency = 4 * time.Millisecond

// tierStore is a store that holds the registrations of VMs and the configuration,
// whose value is its version.
type tierStore struct {
	mu      sync.Mutex
	entries map[string]follow.Change
	changes []follow.Change
	// writtenAt holds the times of the changes.
	writtenAt []time.Time
	at        follow.Position
	version   routing.Version
	// paths holds how the calls of each VM are treated.
	paths []path
	// wake is closed and replaced at each change.
	wake chan struct{}
}

// put writes an entry. The lock is held.
func (s *tierStore) put(key string, value []byte) {
	s.at.Revision++
	c := follow.Change{Key: key, Value: value, Revision: s.at.Revision}
	s.entries[key] = c
	s.changes = append(s.changes, c)
	s.writtenAt = append(s.writtenAt, time.Now())
	close(s.wake)
	s.wake = make(chan struct{})
}

// writeConfig writes a configuration and returns its version.
func (s *tierStore) writeConfig() routing.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put("op/config", s.config())
	return s.version
}

// config returns the value of the last configuration. The lock is held.
func (s *tierStore) config() []byte { return strconv.AppendInt(nil, int64(s.version), 10) }

// restore brings the store back to its state of some time ago, in a new era. Who wrote
// the configuration writes it again with rewriteConfig.
func (s *tierStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for kept < len(s.changes) && time.Since(s.writtenAt[kept]) >= age {
		kept++
	}
	s.changes, s.writtenAt = slices.Clone(s.changes[:kept]), s.writtenAt[:kept]
	s.at = follow.Position{Era: s.at.Era + 1, Revision: follow.Revision(kept)}
	s.entries = map[string]follow.Change{}
	for _, c := range s.changes {
		s.entries[c.Key] = c
	}
}

// rewriteConfig writes the last configuration again.
func (s *tierStore) rewriteConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("op/config", s.config())
}

// writeVM writes the registration of a VM.
func (s *tierStore) writeVM(v vmregistry.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("vms/"+v.ID, v.Encode())
}

// setPath sets how the calls of a VM are treated. Calls that wait are swallowed if
// the path becomes silent.
func (s *tierStore) setPath(vm int, p path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths[vm] = p
	close(s.wake)
	s.wake = make(chan struct{})
}

// pathOf returns how the calls of a VM are treated.
func (s *tierStore) pathOf(vm int) path {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths[vm]
}

// storeClient calls the store as one VM.
type storeClient struct {
	*tierStore
	vm int
}

var errRefused = errors.New("the store refuses the call")

// reach returns when the store has accepted a call, or else an error.
func (c storeClient) reach(ctx context.Context) error {
	time.Sleep(latency)
	switch c.pathOf(c.vm) {
	case refusing:
		return errRefused
	case silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (c storeClient) Range(ctx context.Context, _ string) ([]follow.Change, follow.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.reach(ctx); err != nil {
		return nil, follow.Position{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]follow.Change, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	return all, c.at, nil
}

// callTimeout is that of platform/store.
const callTimeout = 2 * time.Second

func (c storeClient) Watch(ctx context.Context, _ string, after follow.Position, wait time.Duration) ([]follow.Change, follow.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	if err := c.reach(ctx); err != nil {
		return nil, follow.Position{}, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		c.mu.Lock()
		p, wake, at := c.paths[c.vm], c.wake, c.at
		cs := c.changes[min(after.Revision, at.Revision):at.Revision]
		c.mu.Unlock()
		switch {
		case after.Revision > at.Revision:
			return nil, follow.Position{}, follow.ErrCompacted
		case p == silent:
			<-ctx.Done()
			return nil, follow.Position{}, ctx.Err()
		case len(cs) > 0:
			return cs, at, nil
		}
		select {
		case <-wake:
		case <-t.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, follow.Position{}, ctx.Err()
		}
	}
}

// tier is a number of VMs of one failure domain that follow one store.
type tier struct {
	store *tierStore
	views []*storeView
	// muxes serve the VMs' calls to each other, by address.
	muxes map[string]*drpcmux.Mux
	mu    sync.Mutex
	// dark holds the VMs that do not answer others.
	dark map[string]bool
	wg   sync.WaitGroup
}

// peerAddr returns the address of a VM.
func peerAddr(vm int) string { return fmt.Sprintf("10.0.0.%d:1", vm+1) }

// newTier starts n VMs, which run until ctx is canceled. Links differ, so that VM 0,
// and VM 1 in a tier of seven or more, are the relays.
func newTier(ctx context.Context, t *testing.T, n int) *tier {
	r := &tier{muxes: map[string]*drpcmux.Mux{}, dark: map[string]bool{},
		store: &tierStore{entries: map[string]follow.Change{}, paths: make([]path, n), wake: make(chan struct{})}}
	r.store.writeConfig()
	vms := make([]vmregistry.VM, n)
	for i := range n {
		vms[i] = vmregistry.VM{ID: fmt.Sprint("vm-", i), Domain: "a", PeerAddr: peerAddr(i), LinkMbps: float64(100 - i)}
		r.store.writeVM(vms[i])
	}
	for i := range n {
		r.start(ctx, t, i, vms[i])
	}
	return r
}

// start starts one VM.
func (r *tier) start(ctx context.Context, t *testing.T, i int, vm vmregistry.VM) {
	s := gatewaysettings.Settings{CatchUp: 4 * time.Second, ConfigApply: 3 * time.Second, DrainTime: 3 * time.Second, EvacuationTime: 5 * time.Second}
	v := newStoreView(storeViewConfig{Self: vm, CatchUp: s.CatchUp, EntryGrace: 2 * time.Second, Events: event.Discard{}, OnVMCount: func(int) {},
		Decode: Decoder{ConfigKey: "op/config", VMPrefix: "vms/", SearcherPrefix: "servers/",
			Config: func(b []byte) (*routing.Config, error) {
				n, err := strconv.ParseInt(string(b), 10, 64)
				return &routing.Config{Version: routing.Version(n)}, err
			},
			Searcher: func(string, []byte, time.Time) (registry.Searcher, error) { return registry.Searcher{}, errRefused }}})
	source, log := newStoreSource(peerConfig{Store: storeClient{r.store, i}, ChangeTime: s.ChangeTime(), StoreView: v, Events: event.Discard{}}, r)
	m := drpcmux.New()
	if err := relayrpc.DRPCRegisterRelay(m, relay.New(relay.Config{Log: log, HealthScores: healthscore.New(), RetryPool: retrypool.New(retrypool.Config{})})); err != nil {
		t.Fatal(err)
	}
	r.muxes[vm.PeerAddr] = m
	r.views = append(r.views, v)
	f := newFollower(s, source, v, event.Discard{})
	r.wg.Go(func() {
		f.Run(ctx)
		source.Close()
		v.Close()
	})
}

// Conn opens a connection to a VM. It implements upstream.Dialer.
func (r *tier) Conn(ctx context.Context, addr string) (drpc.Conn, error) {
	client, server := net.Pipe()
	r.mu.Lock()
	dark := r.dark[addr]
	r.mu.Unlock()
	r.wg.Go(func() {
		if dark {
			// The requests are read and not answered.
			_, _ = io.Copy(io.Discard, server)
		} else {
			_ = drpcserver.New(r.muxes[addr]).ServeOne(ctx, server)
		}
		_ = server.Close()
	})
	return drpcconn.New(client), nil
}

// setDark sets whether a VM answers others.
func (r *tier) setDark(vm int, dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark[peerAddr(vm)] = dark
}

// The promise: configTime after the acknowledgement of a version, no VM answers by an
// older one if its path to the store was open for stableTime, and it was not dark.
const (
	configTime = 3 * time.Second
	stableTime = 4 * time.Second
	// checkInterval is the time between two checks of all VMs.
	checkInterval = 20 * time.Millisecond
)

// fault is a disturbance of some VMs.
type fault struct {
	At, For time.Duration
	// Path is that of the VMs to the store, unless they are dark.
	Path path
	Dark bool
	// VMs is a bit mask of the VMs.
	VMs uint
	// RestoredAge is the age of the copy from which the store is restored at the end; 0
	// if it is not.
	RestoredAge time.Duration
	// Rewrite is how long after that the last configuration is written again.
	Rewrite time.Duration
}

// restore restores the store at the end of the fault.
func (f fault) restore(r *tier, wg *sync.WaitGroup) {
	if f.RestoredAge == 0 {
		return
	}
	wg.Go(func() {
		time.Sleep(f.At + f.For)
		r.store.restore(f.RestoredAge)
		time.Sleep(f.Rewrite)
		r.store.rewriteConfig()
	})
}

// hits reports whether the fault disturbs a VM.
func (f fault) hits(vm int) bool { return f.VMs>>vm&1 != 0 }

// day is a run of a tier.
type day struct {
	VMs    int
	Faults []fault
	// Changes are the moments at which a configuration is written.
	Changes []time.Duration
}

// length returns the time until the last fault and change have had all the time that
// the promise gives.
func (d day) length() time.Duration {
	end := time.Duration(0)
	for _, f := range d.Faults {
		end = max(end, f.At+f.For)
	}
	for _, at := range d.Changes {
		end = max(end, at)
	}
	return end + stableTime + configTime + time.Second
}

// play runs a day, and describes how the promise was broken; empty if it was not.
func (d day) play(t *testing.T) string {
	broken := ""
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newTier(ctx, t, d.VMs)
		defer func() {
			cancel()
			r.wg.Wait()
		}()
		time.Sleep(2 * startupWait)
		type ack struct {
			version routing.Version
			at      time.Time
		}
		var acks []ack
		disturbedAt := make([]time.Time, d.VMs)
		newest := make([]routing.Version, d.VMs)
		for _, f := range d.Faults {
			f.restore(r, &r.wg)
		}
		began := time.Now()
		for next := 0; time.Since(began) < d.length() && broken == ""; time.Sleep(checkInterval) {
			now := time.Now()
			for ; next < len(d.Changes) && d.Changes[next] <= now.Sub(began); next++ {
				acks = append(acks, ack{r.store.writeConfig(), now})
			}
			due := routing.Version(0)
			for _, a := range acks {
				if now.Sub(a.at) > configTime {
					due = a.version
				}
			}
			for i := range d.VMs {
				if d.disturb(r, i, now.Sub(began)) {
					disturbedAt[i] = now
				}
				got := r.views[i].Current().Config.Version
				if got < due && now.Sub(disturbedAt[i]) > stableTime {
					broken = fmt.Sprintf("after %s vm-%d has version %d, want %d or newer", now.Sub(began), i, got, due)
				}
				if got < newest[i] {
					broken = fmt.Sprintf("after %s vm-%d went back from version %d to %d", now.Sub(began), i, newest[i], got)
				}
				newest[i] = got
			}
		}
	})
	return broken
}

// disturb applies the faults of a moment to a VM and reports whether there are any.
func (d day) disturb(r *tier, vm int, at time.Duration) bool {
	disturbed, dark, p := false, false, open
	for _, f := range d.Faults {
		if f.At <= at && at < f.At+f.For && f.hits(vm) {
			disturbed, dark, p = true, dark || f.Dark, max(p, f.Path)
		}
	}
	if r.store.pathOf(vm) != p {
		r.store.setPath(vm, p)
	}
	r.setDark(vm, dark)
	return disturbed
}
