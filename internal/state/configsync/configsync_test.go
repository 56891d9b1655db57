package configsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/fakenet"
	"egrethaven/internal/peer/member"
	"egrethaven/internal/platform/fakekv"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/configsync"
	"egrethaven/internal/state/search"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one entry VM of a test fleet.
type node struct {
	vm      vm.VM
	manager *config.Manager
	syncer  *configsync.Syncer
	members *member.Membership
	// highest is the highest revision in force so far; reverted is set if a
	// lower or equal one followed.
	highest  atomic.Uint64
	reverted atomic.Bool
}

// fleet is a set of nodes spread over several failure domains.
type fleet struct {
	net   *fakenet.Network
	store *fakekv.Store
	// storeCut holds the domains that cannot reach the store.
	mu       sync.Mutex
	storeCut map[failuredomain.Domain]bool
	list     []vm.VM
	nodes    []*node
}

func newFleet(t *testing.T, size, domains int) *fleet {
	f := &fleet{net: fakenet.New(time.Millisecond), store: fakekv.New(1), storeCut: map[failuredomain.Domain]bool{}}
	for i := range size {
		f.list = append(f.list, vm.VM{
			ID: fmt.Sprint("e-", i), Role: vm.Entry, State: vm.Live,
			Domain: failuredomain.Domain(fmt.Sprint("d-", i%domains)), Addr: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200),
		})
	}
	for _, v := range f.list {
		f.add(t, v)
	}
	return f
}

func (f *fleet) add(t *testing.T, v vm.VM) *node {
	n := &node{vm: v}
	e := f.net.Endpoint(v.Addr)
	r := func(i uint64) *rand.Rand { return rand.New(rand.NewPCG(i, uint64(len(f.nodes)))) }
	store := f.store.View(func() bool { f.mu.Lock(); defer f.mu.Unlock(); return !f.storeCut[v.Domain] })
	n.manager = config.New(config.Config{Store: store, Node: v.ID, Mode: config.Idle, Rand: r(1)})
	n.manager.Subscribe(func(s *config.Snapshot, _ config.Source) {
		if n.highest.Swap(s.Revision) >= s.Revision {
			n.reverted.Store(true)
		}
	})
	n.syncer = configsync.New(configsync.Config{Self: v, Manager: n.manager, Dialer: e, Rand: r(2)})
	n.members = member.New(member.Config{
		Self: v, Dialer: e, Rand: r(3), Digest: n.syncer.Digest, OnDigest: n.syncer.OnDigest,
		VMs: func() ([]vm.VM, time.Duration) { return f.list, 0 },
	})
	if err := n.syncer.Register(e); err != nil {
		t.Fatal(err)
	}
	n.syncer.Start(n.members)
	if err := n.members.Register(e); err != nil {
		t.Fatal(err)
	}
	n.members.Start()
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) close(t *testing.T) {
	for _, n := range f.nodes {
		f.net.Remove(n.vm.Addr)
		n.members.Close()
		n.syncer.Close()
		n.manager.Close()
		if n.reverted.Load() {
			t.Errorf("%s reverted to an older revision", n.vm.ID)
		}
	}
}

// setStoreCut sets the domains that cannot reach the store.
func (f *fleet) setStoreCut(ds ...failuredomain.Domain) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.storeCut)
	for _, d := range ds {
		f.storeCut[d] = true
	}
}

func (f *fleet) apply(t *testing.T, n *node, id string) uint64 {
	t.Helper()
	c := config.Change{ID: id, Author: "mika", Put: []search.Definition{{Name: "s-" + id}}}
	r := n.manager.Apply(t.Context(), c)
	if r.Verdict != config.Accepted {
		t.Fatalf("change %s: %+v", id, r)
	}
	return r.Revision
}

// countAtLeast returns the number of nodes with revision rev or a later one in
// force.
func (f *fleet) countAtLeast(rev uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.manager.Current().Revision >= rev {
			count++
		}
	}
	return count
}

// TestChangeReachesAllNodes cuts one domain off from the platform but not from
// its peers. Each change must be in force on all nodes after 3 s, and only the
// watchers may call the store.
func TestChangeReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60, 6)
		defer f.close(t)
		time.Sleep(20 * time.Second)
		f.setStoreCut("d-1")
		for i := range 5 {
			rev := f.apply(t, f.nodes[i*6], fmt.Sprint("c", i))
			time.Sleep(3 * time.Second)
			if n := f.countAtLeast(rev); n != 60 {
				t.Errorf("revision %d is in force on %d of 60 nodes after 3 s", rev, n)
			}
		}
		before := f.store.CallCount()
		time.Sleep(10 * time.Minute)
		// 15 watchers with a watch of 25 s make 36 calls a minute.
		if n := f.store.CallCount() - before; n > 380 {
			t.Errorf("%d calls to the store in ten minutes without changes, want at most 380", n)
		}
		if age, ok := f.nodes[1].syncer.ConfirmedAge(); !ok || age > time.Minute {
			t.Errorf("confirmed age in the domain without the store is %v, known %v, want at most 1m0s", age, ok)
		}
	})
}

func TestNewNodeGetsConfigFromPeersDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 3)
		defer f.close(t)
		time.Sleep(10 * time.Second)
		rev := f.apply(t, f.nodes[0], "c")
		f.store.SetFaults(0, 1)
		v := f.list[0]
		v.ID, v.Addr = "new", "10.9.9.9:1"
		n := f.add(t, v)
		time.Sleep(3 * time.Second)
		if ok, reason := n.syncer.Ready(); !ok || n.manager.Current().Revision != rev {
			t.Errorf("Ready() = %v, %q at revision %d, want true at revision %d", ok, reason, n.manager.Current().Revision, rev)
		}
		v.ID, v.Addr = "alone", "10.9.9.10:1"
		f.net.CutLinks(func(a, b string) bool { return a == v.Addr || b == v.Addr })
		isolated := f.add(t, v)
		time.Sleep(3 * time.Second)
		if ok, reason := isolated.syncer.Ready(); ok || reason == "" {
			t.Error("node without a configuration is ready or gives no reason")
		}
		f.net.CutLinks(func(string, string) bool { return false })
		time.Sleep(5 * time.Second)
		if ok, _ := isolated.syncer.Ready(); !ok {
			t.Error("node is not ready 5 s after it can reach its peers")
		}
	})
}

// TestConvergesAfterRandomPartitions cuts random links between domains and to
// the store, applies changes in between, and heals the links. No node may
// revert to an older revision, and all must end at the latest one.
func TestConvergesAfterRandomPartitions(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 16, 4)
			defer f.close(t)
			time.Sleep(10 * time.Second)
			r := rand.New(rand.NewPCG(seed, 3))
			domain := map[string]int{}
			for i, v := range f.list {
				domain[v.Addr] = i % 4
			}
			for i := range 12 {
				links, cutDomains := r.Uint64(), r.IntN(16)
				f.net.CutLinks(func(a, b string) bool {
					x, y := domain[a], domain[b]
					return x != y && links&(1<<(4*x+y)) != 0
				})
				var ds []failuredomain.Domain
				for d := range 4 {
					if cutDomains&(1<<d) != 0 {
						ds = append(ds, failuredomain.Domain(fmt.Sprint("d-", d)))
					}
				}
				f.setStoreCut(ds...)
				time.Sleep(time.Duration(r.Int64N(int64(2 * time.Minute))))
				c := config.Change{ID: fmt.Sprint(i), Put: []search.Definition{{Name: "s", MaxLimit: i + 1}}}
				f.nodes[r.IntN(16)].manager.Apply(t.Context(), c)
			}
			f.net.CutLinks(func(string, string) bool { return false })
			f.setStoreCut()
			time.Sleep(time.Minute)
			rev := f.nodes[0].manager.Current().Revision
			if n := f.countAtLeast(rev); n != 16 || rev == 0 {
				t.Errorf("revision %d is in force on %d of 16 nodes", rev, n)
			}
		})
	}
}

func TestWaitForRevisionListsNodesBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 3)
		defer f.close(t)
		time.Sleep(20 * time.Second)
		rev := f.apply(t, f.nodes[0], "c")
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if ns, ok := f.nodes[0].syncer.WaitForRevision(ctx, rev); !ok || len(ns) != 24 {
			t.Errorf("WaitForRevision() = %d nodes, %v, want 24 nodes, true", len(ns), ok)
		}
		unreachable := f.nodes[4].vm.Addr
		f.net.CutLinks(func(a, b string) bool { return a == unreachable || b == unreachable })
		rev = f.apply(t, f.nodes[0], "d")
		ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		ns, ok := f.nodes[0].syncer.WaitForRevision(ctx, rev)
		if ok || len(ns) != 1 || ns[0].Node != "e-4" || ns[0].Reached {
			t.Errorf("WaitForRevision() = %+v, %v, want only e-4, not reached, and false", ns, ok)
		}
		if !slices.ContainsFunc(f.nodes[4].members.Members(), func(m member.Member) bool { return m.VM.ID == "e-0" }) {
			t.Error("the unreachable node no longer lists e-0")
		}
	})
}
