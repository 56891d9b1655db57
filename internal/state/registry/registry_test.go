package registry

import (
	"testing"
	"time"
)

// ids lists the searchers that are known.
func ids(r *Registry) string {
	s := ""
	for _, e := range r.Searchers() {
		s += e.ID + " "
	}
	return s
}

// TestOutage removes entries in ordinary work, and after an outage.
func TestOutage(t *testing.T) {
	now := time.Now()
	r := New(Config{Grace: 2 * time.Second})
	r.Replace(now, []Searcher{{ID: "a", State: Ready}, {ID: "b", State: Ready}, {ID: "c", State: Ready}})
	r.Remove(now, "a")
	if got := ids(r); got != "b c " {
		t.Fatalf("removed at once: %q", got)
	}
	r.MarkOutage(now)
	r.Replace(now, []Searcher{{ID: "c", State: Ready}})
	if got := ids(r); got != "b c " {
		t.Fatalf("missing after an outage: %q", got)
	}
	if next := r.Expire(now.Add(time.Second)); next.Sub(now) != 2*time.Second || ids(r) != "b c " {
		t.Fatalf("within the grace time: %q, next %s", ids(r), next.Sub(now))
	}
	if r.Expire(now.Add(2 * time.Second)); ids(r) != "c " {
		t.Fatalf("after the grace time: %q", ids(r))
	}
}

// TestReturn keeps an entry that is back within the grace time.
func TestReturn(t *testing.T) {
	now := time.Now()
	r := New(Config{Grace: 2 * time.Second})
	r.Put(Searcher{ID: "a", State: Ready})
	r.MarkOutage(now)
	r.Remove(now, "a")
	r.Put(Searcher{ID: "a", State: Ready})
	r.Expire(now.Add(time.Hour))
	if ids(r) != "a " {
		t.Error("an entry that came back was forgotten")
	}
}

// TestDrainingIsNotKept forgets a draining entry at once, also after an
// outage: it is leaving anyway.
func TestDrainingIsNotKept(t *testing.T) {
	now := time.Now()
	r := New(Config{Grace: 2 * time.Second})
	r.Put(Searcher{ID: "a", State: Draining})
	r.MarkOutage(now)
	r.Remove(now, "a")
	if ids(r) != "" {
		t.Error("a draining entry was kept")
	}
}

// TestOldProcess ignores what an older process of the same ID wrote.
func TestOldProcess(t *testing.T) {
	r := New(Config{})
	r.Put(Searcher{ID: "a", StartedMs: 7, Addr: "new"})
	r.Put(Searcher{ID: "a", StartedMs: 3, Addr: "old"})
	if got := r.Searchers()[0].Addr; got != "new" {
		t.Errorf("the entry of the %s process is used", got)
	}
}
