package vmlist_test

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/vmlist"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/world/vm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// giveUp bounds the wait for something that must come.
const giveUp = 20 * time.Second

// sink counts events.
type sink struct {
	mu sync.Mutex
	n  map[event.Number]int
}

func (s *sink) Emit(n event.Number, _, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n[n]++
}

func (s *sink) count(n event.Number) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n[n]
}

func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(giveUp); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
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
	events := &sink{n: map[event.Number]int{}}
	p := vmlist.New(vmlist.Config{Addr: s.Addr(), Interval: 5 * time.Millisecond, Events: events})
	defer func() { _ = p.Close() }()
	<-p.First()
	s.SetFaults(platform.Faults{Down: true})
	s.SetVMs([]vm.VM{{ID: "b"}})
	until(t, "the list never grew stale", func() bool { return events.count(event.VMListStale) > 0 })
	_, before := p.List()
	until(t, "the age does not grow", func() bool { _, d := p.List(); return d > before })
	if l, _ := p.List(); len(l) != 1 || l[0].ID != "a" || p.Revision() != 1 {
		t.Fatalf("list %v of revision %d in the outage", l, p.Revision())
	}
	s.SetFaults(platform.Faults{})
	until(t, "the new list never came", func() bool { l, _ := p.List(); return l[0].ID == "b" })
	if p.Revision() != 2 {
		t.Fatalf("revision %d", p.Revision())
	}
	if n := events.count(event.VMListStale); n != 1 {
		t.Fatalf("%d events of one outage", n)
	}
}
