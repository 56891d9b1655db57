package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
)

func testVM(i int) vm.VM {
	return vm.VM{ID: fmt.Sprint("e-", i), Role: vm.Entry, Domain: "d", Addr: fmt.Sprintf("10.0.0.%d:1", i), State: vm.Live}
}

// TestTables applies random messages, suspicions and pauses to four tables.
// Updates never go back, the hash always matches the members, and after some
// exchanges without loss every table has every node alive.
func TestTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		const n = 4
		var ts []*table
		for i := range n {
			ts = append(ts, newTable(testVM(i), uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))))
		}
		exchange := func(a, b *table) {
			for _, x := range [][2]*table{{a, b}, {b, a}} {
				for _, u := range x[0].updatesFor(x[1].self.VM.ID, 1000) {
					x[1].merge(u, now)
				}
				x[1].recordContact(x[0].self, Digest{}, now)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			a, b := ts[rapid.IntRange(0, n-1).Draw(t, "a")], rapid.IntRange(0, n-1).Draw(t, "b")
			before := map[string]Update{}
			for _, u := range a.updates() {
				before[u.VM.ID] = u
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if a != ts[b] {
					exchange(a, ts[b])
				}
			case 2:
				u, _ := a.find(ts[b].self.VM.ID)
				a.suspect(u.VM.ID, u.Incarnation, now)
			case 3:
				now = now.Add(3 * time.Second)
				a.expire(now)
			}
			checkTable(t, a, before)
		}
		for range 3 * n {
			for i := range ts {
				for j := range i {
					exchange(ts[i], ts[j])
				}
			}
		}
		for i, a := range ts {
			for _, b := range ts {
				u, ok := a.find(b.self.VM.ID)
				if !ok || u != b.self || u.State != Alive {
					t.Fatalf("table %d has %+v, %v, want %+v", i, u, ok, b.self)
				}
			}
			if a.liveHash != ts[0].liveHash || a.liveCount != n {
				t.Fatalf("table %d has hash %x and %d live members, want %x and %d", i, a.liveHash, a.liveCount, ts[0].liveHash, n)
			}
		}
	})
}

// checkTable checks the hash and the live count of a table, and that each
// changed update overrides the one in before.
func checkTable(t *rapid.T, a *table, before map[string]Update) {
	var hash uint64
	live := 0
	for _, u := range a.updates() {
		if u.State.live() {
			hash ^= memberHash(u)
			live++
		}
		if o, ok := before[u.VM.ID]; ok && o != u && !u.overrides(o) {
			t.Fatalf("%+v replaced %+v", u, o)
		}
	}
	if hash != a.liveHash || live != a.liveCount {
		t.Fatalf("members have hash %x, table has %x; %d members are live, table has %d", hash, a.liveHash, live, a.liveCount)
	}
	if a.self.State != Alive {
		t.Fatalf("the node's own state is %v, want alive", a.self.State)
	}
}

func FuzzUpdate(f *testing.F) {
	f.Add("e-1", "d", "10.0.0.1:1", uint64(1), uint32(2))
	f.Fuzz(func(t *testing.T, id, domain, addr string, incarnation uint64, state uint32) {
		tab := newTable(testVM(1), 1)
		u := Update{VM: vm.VM{ID: id, Domain: failuredomain.Domain(domain), Addr: addr}, Incarnation: incarnation, State: State(state)}
		changed := tab.merge(u, time.Unix(1, 0))
		if changed && u.Validate() != nil {
			t.Errorf("invalid update %+v was merged", u)
		}
		if tab.self.State != Alive || tab.self.Incarnation == 0 && incarnation != 1<<64-1 {
			t.Errorf("the node's own entry became %+v", tab.self)
		}
	})
}
