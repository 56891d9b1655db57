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

// TestTables lets a few tables exchange messages, suspicions and pauses at
// random. Incarnations never go back, the hash always matches the members, and
// after some exchanges without loss every live node is live everywhere.
func TestTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		const n = 4
		var ts []*table
		for i := range n {
			ts = append(ts, newTable(testVM(i), uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))))
		}
		talk := func(a, b *table) {
			for _, x := range [][2]*table{{a, b}, {b, a}} {
				for _, u := range x[0].news(x[1].self.VM.ID, 1000) {
					x[1].merge(u, now)
				}
				x[1].heard(x[0].self, Digest{}, now)
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
					talk(a, ts[b])
				}
			case 2:
				u, _ := a.find(ts[b].self.VM.ID)
				a.suspect(u.VM.ID, u.Incarnation, now)
			case 3:
				now = now.Add(3 * time.Second)
				a.expire(now)
			}
			verify(t, a, before)
		}
		for range 3 * n {
			for i := range ts {
				for j := range i {
					talk(ts[i], ts[j])
				}
			}
		}
		for i, a := range ts {
			for _, b := range ts {
				u, ok := a.find(b.self.VM.ID)
				if !ok || u != b.self || u.State != Alive {
					t.Fatalf("%d has %+v of %+v", i, u, b.self)
				}
			}
			if a.hash != ts[0].hash || a.live != n {
				t.Fatalf("tables differ in hash or in live members: %d", a.live)
			}
		}
	})
}

// verify checks one table against what it was before.
func verify(t *rapid.T, a *table, before map[string]Update) {
	var hash uint64
	live := 0
	for _, u := range a.updates() {
		if u.State.live() {
			hash ^= liveHash(u)
			live++
		}
		if o, ok := before[u.VM.ID]; ok && o != u && !u.overrides(o) {
			t.Fatalf("%+v replaced %+v", u, o)
		}
	}
	if hash != a.hash || live != a.live {
		t.Fatalf("hash %x of members, %x kept; %d live, %d kept", hash, a.hash, live, a.live)
	}
	if a.self.State != Alive {
		t.Fatal("a node believes that it is not alive")
	}
}

func FuzzUpdate(f *testing.F) {
	f.Add("e-1", "d", "10.0.0.1:1", uint64(1), uint32(2))
	f.Fuzz(func(t *testing.T, id, domain, addr string, incarnation uint64, state uint32) {
		tab := newTable(testVM(1), 1)
		u := Update{VM: vm.VM{ID: id, Domain: failuredomain.Domain(domain), Addr: addr}, Incarnation: incarnation, State: State(state)}
		changed := tab.merge(u, time.Unix(1, 0))
		if changed && u.Valid() != nil {
			t.Errorf("took %+v", u)
		}
		if tab.self.State != Alive || tab.self.Incarnation == 0 && incarnation != 1<<64-1 {
			t.Errorf("this node became %+v", tab.self)
		}
	})
}
