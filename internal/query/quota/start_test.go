package quota

import (
	"slices"
	"testing"
	"time"

	"egrethaven/internal/infra/boottime"
)

// TestRestart guards against a quota that nobody may use for seconds after a restart: of one
// VM, whose fraction its coordinator still holds, and of all VMs at once.
func TestRestart(t *testing.T) {
	const vms = 4
	limit, now := Limit{Rate: 40, Burst: 40}, boottime.Now()
	pool := func() *Pool {
		return NewPool(PoolConfig{Incarnation: uint64(now.Sub(boottime.Instant{})), Rule: Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, Start: now,
			Limit: func(uint64) (Limit, bool) { return limit, true }})
	}
	session := uint64(0)
	member := func(vm string) *Member {
		session += 1000
		m := NewMember(MemberConfig{VM: vm, Session: session, Start: now})
		m.SetVMs(vms)
		return m
	}
	call := func(p *Pool, m *Member) {
		c := m.Begin(now, "coordinator")
		if r, ok := p.Serve(now, c); ok {
			m.End(now, c, r)
		}
		now = now.Add(10 * time.Millisecond)
	}
	names := []string{"a", "b", "c", "d"}
	p, members := pool(), map[string]*Member{}
	start := func() {
		for _, name := range names {
			members[name] = member(name)
		}
	}
	rounds := func(n int) {
		for range n {
			for _, name := range names {
				call(p, members[name])
			}
			// The one that learns first that all are starting calls before the others.
			slices.Reverse(names)
		}
	}
	start()
	rounds(4)
	if f := p.Fraction(now); f < 0.99 {
		t.Errorf("all are starting: fraction %g", f)
	}
	now = now.Add(minStart)
	rounds(3)
	members["b"] = member("b")
	rounds(4)
	if f := p.Fraction(now); f < 0.99 {
		t.Errorf("one was restarted: fraction %g", f)
	}
	now = now.Add(time.Second)
	p = pool()
	start()
	rounds(4)
	if f := p.Fraction(now); f < 0.99 {
		t.Errorf("all were restarted: fraction %g", f)
	}
	// The coordinator alone was restarted with one VM, whose fraction another one may hold.
	now = now.Add(minStart)
	rounds(3)
	now = now.Add(time.Second)
	p = pool()
	members["b"] = member("b")
	call(p, members["b"])
	call(p, members["b"])
	call(p, members["b"])
	if f := p.Fraction(now); f > 0 {
		t.Errorf("coordinator and one VM were restarted: fraction %g", f)
	}
}

// TestKeepEmpty guards against fractions that add up to more than 1 after VMs were restarted one
// after the other: all said that they were starting and had their fractions freed, while the pool of
// one of them held a fraction of a process that had ended before.
func TestKeepEmpty(t *testing.T) {
	for _, first := range []bool{true, false} {
		start := boottime.Now()
		now := start.Add(minStart)
		p := NewPool(PoolConfig{Incarnation: 1, Start: now, Limit: func(uint64) (Limit, bool) { return Limit{}, false }})
		m := NewMember(MemberConfig{VM: "a", Session: 1, Start: start})
		m.SetVMs(2)
		call := func() {
			c := m.Begin(now, "b")
			if r, ok := p.Serve(now, c); ok {
				m.End(now, c, r)
			}
			now = now.Add(10 * time.Millisecond)
		}
		starting := Call{Coordinator: 2, Starting: 2, Lease: minLease}
		if p.KeepEmpty(now, Call{Starting: 2, Lease: minLease}).Starting == 0 {
			t.Error("a call without an echo does not say that the VM is starting")
		}
		want := 0.5
		if first {
			want = 0
			if p.KeepEmpty(now, starting).Starting == 0 {
				t.Error("an empty pool cannot be kept empty")
			}
		}
		call()
		call()
		if f := p.Fraction(now); f != want {
			t.Errorf("kept empty %t: fraction %g, want %g", first, f, want)
		}
		if got := p.KeepEmpty(now, starting).Starting > 0; got != first {
			t.Errorf("kept empty %t: says later that the VM is starting: %t", first, got)
		}
		now = now.Add(2 * minLease)
		call()
		call()
		if f := p.Fraction(now); f != 0.5 {
			t.Errorf("kept empty %t: fraction %g two leases later, want 0.5", first, f)
		}
	}
}
