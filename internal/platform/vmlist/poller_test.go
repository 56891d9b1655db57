package vmlist_test

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/vmlist"
	"egrethaven/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout limits the wait for an expected condition.
const waitTimeout = 20 * time.Second

// countingSink counts events by number.
type countingSink struct {
	mu sync.Mutex
	n  map[event.Number]int
}

func (s *countingSink) Emit(n event.Number, _, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n[n]++
}

func (s *countingSink) count(n event.Number) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n[n]
}

// waitFor waits until condition returns true. After waitTimeout, the test fails with
// message.
func waitFor(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(message)
		}
	}
}

func TestListSurvivesOutage(t *testing.T) {
	s, err := platform.New(platform.Config{Addr: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	s.SetVMs([]vm.VM{{ID: "a"}})
	events := &countingSink{n: map[event.Number]int{}}
	p := vmlist.New(vmlist.Config{Addr: s.Addr(), Interval: 5 * time.Millisecond, Events: events})
	defer func() { _ = p.Close() }()
	<-p.Ready()
	s.SetFaults(platform.Faults{Down: true})
	s.SetVMs([]vm.VM{{ID: "b"}})
	waitFor(t, "no VMListStale event in an outage", func() bool { return events.count(event.VMListStale) > 0 })
	_, ageBefore := p.List()
	waitFor(t, "the age of the list does not increase in an outage", func() bool { _, age := p.List(); return age > ageBefore })
	if l, _ := p.List(); len(l) != 1 || l[0].ID != "a" || p.Revision() != 1 {
		t.Fatalf("list %v with revision %d in an outage", l, p.Revision())
	}
	s.SetFaults(platform.Faults{})
	waitFor(t, "no new list after the outage", func() bool { l, _ := p.List(); return l[0].ID == "b" })
	if p.Revision() != 2 {
		t.Fatalf("revision %d after the second list, want 2", p.Revision())
	}
	if n := events.count(event.VMListStale); n != 1 {
		t.Fatalf("%d VMListStale events in one outage, want 1", n)
	}
}
