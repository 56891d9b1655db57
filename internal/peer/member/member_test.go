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

// node is one entry VM of a test fleet.
type node struct {
	*member.Membership
	vm  vm.VM
	set *rumor.Set
}

// fleet is a set of nodes spread over several failure domains.
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
	n.Membership = member.New(member.Config{
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

// countViews returns the number of pairs of an observer and a target in which
// the observer lists the target as live.
func (f *fleet) countViews(observers []*node, targets []*node) int {
	seen := 0
	for _, n := range observers {
		live := map[string]bool{}
		for _, v := range n.LiveAll() {
			live[v.ID] = true
		}
		for _, w := range targets {
			if live[w.vm.ID] {
				seen++
			}
		}
	}
	return seen
}

func TestOnlyFailedNodesAreDeclaredDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 45, 3)
		defer f.close()
		time.Sleep(30 * time.Second)
		if n := f.countViews(f.nodes, f.nodes); n != 45*45 {
			t.Fatalf("%d of 2025 live views after the start", n)
		}
		dead := f.nodes[:5]
		for _, n := range dead {
			f.stop(n)
		}
		rest := f.nodes[5:]
		time.Sleep(40 * time.Second)
		if n := f.countViews(rest, dead); n != 0 {
			t.Errorf("dead nodes are still live in %d views", n)
		}
		if n := f.countViews(rest, rest); n != 40*40 {
			t.Errorf("running nodes are live in %d of %d views", n, 40*40)
		}
	})
}

// TestPartitionedDomainRejoins partitions a domain from the others for an hour
// with an empty platform list, then heals the partition.
func TestPartitionedDomainRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 18, 3)
		defer f.close()
		time.Sleep(20 * time.Second)
		f.list.Store(&[]vm.VM{})
		isIsolated := map[string]bool{}
		var isolated, rest []*node
		for i, n := range f.nodes {
			if i%3 == 0 {
				isIsolated[n.vm.Addr] = true
				isolated = append(isolated, n)
			} else {
				rest = append(rest, n)
			}
		}
		f.net.CutLinks(func(a, b string) bool { return isIsolated[a] != isIsolated[b] })
		time.Sleep(time.Hour)
		if n := f.countViews(rest, isolated) + f.countViews(isolated, rest); n != 0 {
			t.Errorf("%d live views across the partition, want 0", n)
		}
		if n := f.countViews(isolated, isolated); n != 36 {
			t.Errorf("%d of 36 live views within the isolated domain", n)
		}
		f.net.CutLinks(func(string, string) bool { return false })
		time.Sleep(time.Minute)
		if n := f.countViews(f.nodes, f.nodes); n != 18*18 {
			t.Errorf("%d of 324 live views after the partition healed", n)
		}
	})
}

// TestReplaceAllVMs replaces every VM within an hour, half of them without
// Leave, and checks that the new nodes list exactly each other as live.
func TestReplaceAllVMs(t *testing.T) {
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
		replacements := f.nodes[len(old):]
		if n := f.countViews(replacements, replacements); n != 18*18 {
			t.Errorf("new nodes are live in %d of 324 views", n)
		}
		if n := f.countViews(replacements, old); n != 0 {
			t.Errorf("removed nodes are still live in %d views", n)
		}
	})
}

// TestPushSkipsDeadMembers publishes a drain right after all but one node of
// each other domain died. The survivors must receive it from the push itself,
// before any heartbeat of a round.
func TestPushSkipsDeadMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 6)
		defer f.close()
		var received atomic.Int64
		for _, n := range f.nodes[1:6] {
			n.set.Subscribe(rumor.SearcherDrain, func(rumor.Rumor) { received.Add(1) })
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
		if n := received.Load(); n != 5 {
			t.Errorf("%d of 5 domains received the drain from the push", n)
		}
	})
}

// TestPushReachesEveryDomain publishes a drain in a fleet with more failure
// domains than the number of times a rumor is sent with ordinary heartbeats.
// The first push must reach one node of each domain.
func TestPushReachesEveryDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains = 20
		f := newFleet(t, 2*domains, domains)
		defer f.close()
		var mu sync.Mutex
		received := map[failuredomain.Domain]bool{}
		for _, n := range f.nodes {
			n.set.Subscribe(rumor.SearcherDrain, func(rumor.Rumor) {
				mu.Lock()
				defer mu.Unlock()
				received[n.vm.Domain] = true
			})
		}
		time.Sleep(30 * time.Second)
		if err := f.nodes[0].set.Publish(rumor.SearcherDrain, "s-1", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Microsecond)
		mu.Lock()
		defer mu.Unlock()
		if len(received) != domains {
			t.Errorf("%d of %d domains received the drain from the first push", len(received), domains)
		}
	})
}

// TestBroadcastReachesAll publishes a drain while one node is unreachable and
// uses up its sends. A Broadcast must still deliver it to that node, although
// the first attempts get no answer.
func TestBroadcastReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		time.Sleep(30 * time.Second)
		var received atomic.Bool
		unreachable := f.nodes[2]
		unreachable.set.Subscribe(rumor.SearcherDrain, func(rumor.Rumor) { received.Store(true) })
		f.net.CutLinks(func(_, to string) bool { return to == unreachable.vm.Addr })
		if err := f.nodes[0].set.Publish(rumor.SearcherDrain, "s-1", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		for len(f.nodes[0].set.Take(rumor.MaxRumorBytes, rumor.Transmissions(3))) > 0 {
		}
		time.AfterFunc(700*time.Millisecond, func() { f.net.CutLinks(func(string, string) bool { return false }) })
		f.nodes[0].Broadcast(t.Context())
		if !received.Load() {
			t.Error("the unreachable node did not receive the drain")
		}
	})
}

// TestBroadcastBeforeJoining broadcasts from a node that has not joined and
// whose list of VMs lacks the others. They must receive the rumor, since
// Broadcast refreshes the list.
func TestBroadcastBeforeJoining(t *testing.T) {
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
		var received atomic.Int64
		for _, n := range f.nodes {
			n.set.Subscribe(rumor.Quarantine, func(rumor.Rumor) { received.Add(1) })
		}
		if err := set.Publish(rumor.Quarantine, "7/", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		m.Broadcast(t.Context())
		if n := received.Load(); n != 3 {
			t.Errorf("%d of 3 nodes received the rumor", n)
		}
	})
}

// TestDrainReachesAll publishes a drain while a tenth of the nodes is dead.
// Every other node must receive it within 3 s.
func TestDrainReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120, 12)
		defer f.close()
		var received atomic.Int64
		for _, n := range f.nodes {
			n.set.Subscribe(rumor.SearcherDrain, func(rumor.Rumor) { received.Add(1) })
		}
		time.Sleep(30 * time.Second)
		for _, n := range f.nodes[:12] {
			f.stop(n)
		}
		if err := f.nodes[50].set.Publish(rumor.SearcherDrain, "s-1", []byte("{}"), time.Minute); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if n := received.Load(); n != 108 {
			t.Errorf("%d of 108 nodes received the drain within 3 s", n)
		}
	})
}
