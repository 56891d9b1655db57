package spread_test

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
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/spread"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one entry VM of a test.
type node struct {
	vm      vm.VM
	manager *config.Manager
	spread  *spread.Spread
	members *member.Members
	// highest revision in force so far, and whether it ever went back.
	highest  atomic.Uint64
	reverted atomic.Bool
}

// fleet is a number of nodes in a few failure domains.
type fleet struct {
	net   *fakenet.Network
	store *fakekv.Store
	// dark holds the domains that do not reach the store.
	mu    sync.Mutex
	dark  map[failuredomain.Domain]bool
	list  []vm.VM
	nodes []*node
}

func newFleet(t *testing.T, size, domains int) *fleet {
	f := &fleet{net: fakenet.New(time.Millisecond), store: fakekv.New(1), dark: map[failuredomain.Domain]bool{}}
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
	store := f.store.View(func() bool { f.mu.Lock(); defer f.mu.Unlock(); return !f.dark[v.Domain] })
	n.manager = config.New(config.Config{Store: store, Node: v.ID, Mode: config.Idle, Rand: r(1)})
	n.manager.Subscribe(func(s *config.Snapshot, _ config.Source) {
		if n.highest.Swap(s.Revision) >= s.Revision {
			n.reverted.Store(true)
		}
	})
	n.spread = spread.New(spread.Config{Self: v, Manager: n.manager, Dialer: e, Rand: r(2)})
	n.members = member.New(member.Config{
		Self: v, Dialer: e, Rand: r(3), Digest: n.spread.Digest, OnDigest: n.spread.OnDigest,
		VMs: func() ([]vm.VM, time.Duration) { return f.list, 0 },
	})
	if err := n.spread.Register(e); err != nil {
		t.Fatal(err)
	}
	n.spread.Start(n.members)
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
		n.spread.Close()
		n.manager.Close()
		if n.reverted.Load() {
			t.Errorf("%s went back to an older revision", n.vm.ID)
		}
	}
}

// setDark sets which domains do not reach the store.
func (f *fleet) setDark(ds ...failuredomain.Domain) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.dark)
	for _, d := range ds {
		f.dark[d] = true
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

// have returns how many nodes have at least a revision.
func (f *fleet) have(rev uint64) int {
	have := 0
	for _, n := range f.nodes {
		if n.manager.Current().Revision >= rev {
			have++
		}
	}
	return have
}

// TestInForceEverywhere has one domain cut off from the platform, not from its
// peers; each change has to be in force everywhere in 3 s, and the calls to
// the store must come from the watchers alone.
func TestInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60, 6)
		defer f.close(t)
		time.Sleep(20 * time.Second)
		f.setDark("d-1")
		for i := range 5 {
			rev := f.apply(t, f.nodes[i*6], fmt.Sprint("c", i))
			time.Sleep(3 * time.Second)
			if n := f.have(rev); n != 60 {
				t.Errorf("revision %d is in force on %d of 60 nodes after 3 s", rev, n)
			}
		}
		before := f.store.CallCount()
		time.Sleep(10 * time.Minute)
		// 15 watchers with a watch of 25 s make 36 calls a minute.
		if n := f.store.CallCount() - before; n > 380 {
			t.Errorf("%d calls to the store in ten quiet minutes", n)
		}
		if age, ok := f.nodes[1].spread.Age(); !ok || age > time.Minute {
			t.Errorf("in the domain cut off, the age is %v", age)
		}
	})
}

func TestNewNodeInAnOutageTakesItFromPeers(t *testing.T) {
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
		if ok, why := n.spread.Ready(); !ok || n.manager.Current().Revision != rev {
			t.Errorf("ready is %v, %q, at revision %d", ok, why, n.manager.Current().Revision)
		}
		v.ID, v.Addr = "alone", "10.9.9.10:1"
		f.net.Cut(func(a, b string) bool { return a == v.Addr || b == v.Addr })
		alone := f.add(t, v)
		time.Sleep(3 * time.Second)
		if ok, why := alone.spread.Ready(); ok || why == "" {
			t.Error("a node without any configuration is ready")
		}
		f.net.Cut(func(string, string) bool { return false })
		time.Sleep(5 * time.Second)
		if ok, _ := alone.spread.Ready(); !ok {
			t.Error("not ready though peers are reached")
		}
	})
}

// TestCutsHealInAnyOrder cuts domains from each other and from the store at
// random, with changes in between, and heals them. No node may go back, and in
// the end all have the last revision.
func TestCutsHealInAnyOrder(t *testing.T) {
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
				links, dark := r.Uint64(), r.IntN(16)
				f.net.Cut(func(a, b string) bool {
					x, y := domain[a], domain[b]
					return x != y && links&(1<<(4*x+y)) != 0
				})
				var ds []failuredomain.Domain
				for d := range 4 {
					if dark&(1<<d) != 0 {
						ds = append(ds, failuredomain.Domain(fmt.Sprint("d-", d)))
					}
				}
				f.setDark(ds...)
				time.Sleep(time.Duration(r.Int64N(int64(2 * time.Minute))))
				c := config.Change{ID: fmt.Sprint(i), Put: []search.Definition{{Name: "s", MaxLimit: i + 1}}}
				f.nodes[r.IntN(16)].manager.Apply(t.Context(), c)
			}
			f.net.Cut(func(string, string) bool { return false })
			f.setDark()
			time.Sleep(time.Minute)
			rev := f.nodes[0].manager.Current().Revision
			if n := f.have(rev); n != 16 || rev == 0 {
				t.Errorf("revision %d on %d of 16 nodes", rev, n)
			}
		})
	}
}

func TestWaitNamesWhoHasNotGotIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 3)
		defer f.close(t)
		time.Sleep(20 * time.Second)
		rev := f.apply(t, f.nodes[0], "c")
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if ns, ok := f.nodes[0].spread.Wait(ctx, rev); !ok || len(ns) != 24 {
			t.Errorf("all have it: %v, of %d nodes", ok, len(ns))
		}
		lost := f.nodes[4].vm.Addr
		f.net.Cut(func(a, b string) bool { return a == lost || b == lost })
		rev = f.apply(t, f.nodes[0], "d")
		ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		ns, ok := f.nodes[0].spread.Wait(ctx, rev)
		if ok || len(ns) != 1 || ns[0].Node != "e-4" || ns[0].Reached {
			t.Errorf("%v, waiting for %+v", ok, ns)
		}
		if !slices.ContainsFunc(f.nodes[4].members.Members(), func(m member.Member) bool { return m.VM.ID == "e-0" }) {
			t.Error("the node that was cut off has forgotten the others")
		}
	})
}
