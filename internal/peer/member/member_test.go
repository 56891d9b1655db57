package member_test

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
	"egrethaven/internal/peer/rumor"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one entry VM of a test.
type node struct {
	*member.Members
	vm  vm.VM
	set *rumor.Set
}

// fleet is a number of nodes in a few failure domains.
type fleet struct {
	net   *fakenet.Network
	list  atomic.Pointer[[]vm.VM]
	nodes []*node
}

func newFleet(t *testing.T, size, domains int) *fleet {
	f := &fleet{net: fakenet.New(time.Millisecond)}
	var list []vm.VM
	for i := range size {
		list = append(list, vm.VM{
			ID: fmt.Sprint("e-", i), Role: vm.Entry, State: vm.Live,
			Domain: failuredomain.Domain(fmt.Sprint("d-", i%domains)), Addr: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200),
		})
	}
	f.list.Store(&list)
	for _, v := range list {
		f.add(t, v)
	}
	return f
}

func (f *fleet) add(t *testing.T, v vm.VM) *node {
	n := &node{vm: v, set: rumor.New(rumor.Config{Node: v.ID})}
	e := f.net.Endpoint(v.Addr)
	n.Members = member.New(member.Config{
		Self: v, Dialer: e, Rumors: n.set, Rand: rand.New(rand.NewPCG(7, uint64(len(f.nodes)))),
		VMs: func() ([]vm.VM, time.Duration) { return *f.list.Load(), 0 },
	})
	if err := n.Register(e); err != nil {
		t.Fatal(err)
	}
	n.Start()
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) stop(n *node) {
	f.net.Remove(n.vm.Addr)
	n.Close()
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		f.stop(n)
	}
}

// views returns in how many pairs of the given nodes one sees the other live.
func (f *fleet) views(ns []*node, who []*node) int {
	seen := 0
	for _, n := range ns {
		live := map[string]bool{}
		for _, v := range n.LiveAll() {
			live[v.ID] = true
		}
		for _, w := range who {
			if live[w.vm.ID] {
				seen++
			}
		}
	}
	return seen
}

func TestFailureIsSeenAndALiveNodeIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 45, 3)
		defer f.close()
		time.Sleep(30 * time.Second)
		if n := f.views(f.nodes, f.nodes); n != 45*45 {
			t.Fatalf("%d of 2025 views after the start", n)
		}
		dead := f.nodes[:5]
		for _, n := range dead {
			f.stop(n)
		}
		rest := f.nodes[5:]
		time.Sleep(40 * time.Second)
		if n := f.views(rest, dead); n != 0 {
			t.Errorf("dead nodes are live in %d views", n)
		}
		if n := f.views(rest, rest); n != 40*40 {
			t.Errorf("%d of %d views of live nodes", n, 40*40)
		}
	})
}

// TestDomainApart cuts a domain off for an hour, without help of the
// platform's list, and heals the cut.
func TestDomainApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 18, 3)
		defer f.close()
		time.Sleep(20 * time.Second)
		f.list.Store(&[]vm.VM{})
		home := map[string]bool{}
		var apart, rest []*node
		for i, n := range f.nodes {
			if i%3 == 0 {
				home[n.vm.Addr] = true
				apart = append(apart, n)
			} else {
				rest = append(rest, n)
			}
		}
		f.net.Cut(func(a, b string) bool { return home[a] != home[b] })
		time.Sleep(time.Hour)
		if n := f.views(rest, apart) + f.views(apart, rest); n != 0 {
			t.Errorf("%d views across the cut", n)
		}
		if n := f.views(apart, apart); n != 36 {
			t.Errorf("%d of 36 views within the domain", n)
		}
		f.net.Cut(func(string, string) bool { return false })
		time.Sleep(time.Minute)
		if n := f.views(f.nodes, f.nodes); n != 18*18 {
			t.Errorf("%d of 324 views after the cut", n)
		}
	})
}

// TestAllReplaced replaces every VM within an hour, some by leaving and some
// without a word, and checks that each new one knows the others.
func TestAllReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 18, 3)
		defer f.close()
		time.Sleep(20 * time.Second)
		old := f.nodes
		for i, n := range old {
			if i%2 == 0 {
				n.Leave(t.Context())
			}
			f.stop(n)
			v := n.vm
			v.ID, v.Addr = "new-"+v.ID, fmt.Sprintf("10.1.0.%d:1", i)
			list := append(slices.Clone((*f.list.Load())[1:]), v)
			f.list.Store(&list)
			f.add(t, v)
			time.Sleep(3 * time.Minute)
		}
		fresh := f.nodes[len(old):]
		if n := f.views(fresh, fresh); n != 18*18 {
			t.Errorf("%d of 324 views of the new nodes", n)
		}
		if n := f.views(fresh, old); n != 0 {
			t.Errorf("%d views of nodes that are gone", n)
		}
	})
}

// TestPushPassesOverTheDead publishes a drain right after the death of all
// but one node of each other domain. The survivors hear of it from the push
// itself, before any heartbeat of a round.
func TestPushPassesOverTheDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 6)
		defer f.close()
		var heard atomic.Int64
		for _, n := range f.nodes[1:6] {
			n.set.Subscribe(rumor.SearcherDrain, func(rumor.Rumor) { heard.Add(1) })
		}
		time.Sleep(30 * time.Second)
		for i, n := range f.nodes {
			if i >= 6 && i%6 != 0 {
				f.stop(n)
			}
		}
		if err := f.nodes[0].set.Publish(rumor.SearcherDrain, "s-1", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if n := heard.Load(); n != 5 {
			t.Errorf("%d of 5 domains know of the drain after the push", n)
		}
	})
}

// TestPushTellsEveryDomain publishes a drain in a fleet of more failure domains
// than a rumor is handed out times by ordinary heartbeats. The first push
// tells one node of each.
func TestPushTellsEveryDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains = 20
		f := newFleet(t, 2*domains, domains)
		defer f.close()
		var mu sync.Mutex
		heard := map[failuredomain.Domain]bool{}
		for _, n := range f.nodes {
			n.set.Subscribe(rumor.SearcherDrain, func(rumor.Rumor) {
				mu.Lock()
				defer mu.Unlock()
				heard[n.vm.Domain] = true
			})
		}
		time.Sleep(30 * time.Second)
		if err := f.nodes[0].set.Publish(rumor.SearcherDrain, "s-1", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Microsecond)
		mu.Lock()
		defer mu.Unlock()
		if len(heard) != domains {
			t.Errorf("%d of %d domains know of the drain after the first push", len(heard), domains)
		}
	})
}

// TestTellReachesAll publishes a drain, lets it be handed out as often as it
// is without reaching one node, and tells all: that node hears of it, also
// when its first answers do not come.
func TestTellReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		time.Sleep(30 * time.Second)
		var heard atomic.Bool
		last := f.nodes[2]
		last.set.Subscribe(rumor.SearcherDrain, func(rumor.Rumor) { heard.Store(true) })
		f.net.Cut(func(_, to string) bool { return to == last.vm.Addr })
		if err := f.nodes[0].set.Publish(rumor.SearcherDrain, "s-1", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		for len(f.nodes[0].set.Take(rumor.MaxSize, rumor.Transmissions(3))) > 0 {
		}
		time.AfterFunc(700*time.Millisecond, func() { f.net.Cut(func(string, string) bool { return false }) })
		f.nodes[0].Tell(t.Context())
		if !heard.Load() {
			t.Error("a node was not told")
		}
	})
}

// TestTellBeforeJoining has a node tell the others at a moment at which it has not
// joined them, and its list of VMs is from before they were there: they are told
// all the same, as the list is fetched anew.
func TestTellBeforeJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		time.Sleep(30 * time.Second)
		v := vm.VM{ID: "e-new", Role: vm.Entry, State: vm.Live, Domain: "d-0", Addr: "10.0.9.9:1"}
		set := rumor.New(rumor.Config{Node: v.ID})
		m := member.New(member.Config{
			Self: v, Dialer: f.net.Endpoint(v.Addr), Rumors: set, Rand: rand.New(rand.NewPCG(7, 7)),
			VMs:     func() ([]vm.VM, time.Duration) { return []vm.VM{v}, 2 * time.Second },
			Refresh: func(context.Context) []vm.VM { return append(slices.Clone(*f.list.Load()), v) },
		})
		defer func() { _ = m.Close() }()
		var heard atomic.Int64
		for _, n := range f.nodes {
			n.set.Subscribe(rumor.Quarantine, func(rumor.Rumor) { heard.Add(1) })
		}
		if err := set.Publish(rumor.Quarantine, "7/", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		m.Tell(t.Context())
		if n := heard.Load(); n != 3 {
			t.Errorf("%d of 3 nodes were told", n)
		}
	})
}

// TestDrainReachesAll publishes a drain while a tenth of the nodes is dead; no
// node may be without it after 3 s.
func TestDrainReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120, 12)
		defer f.close()
		var heard atomic.Int64
		for _, n := range f.nodes {
			n.set.Subscribe(rumor.SearcherDrain, func(rumor.Rumor) { heard.Add(1) })
		}
		time.Sleep(30 * time.Second)
		for _, n := range f.nodes[:12] {
			f.stop(n)
		}
		if err := f.nodes[50].set.Publish(rumor.SearcherDrain, "s-1", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if n := heard.Load(); n != 108 {
			t.Errorf("%d of 108 nodes know of the drain after 3 s", n)
		}
	})
}
