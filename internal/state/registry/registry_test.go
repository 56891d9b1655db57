package registry

import (
	"testing"
	"time"
)

// ids returns the IDs of the known searchers, each followed by a space.
func ids(r *Registry) string {
	s := ""
	for _, e := range r.Searchers() {
		s += e.ID + " "
	}
	return s
}

// TestOutage checks that a removed entry disappears at once in normal operation,
// and after the grace period following an outage.
func TestOutage(t *testing.T) {
	now := time.Now()
	r := New(Config{Grace: 2 * time.Second})
	r.Replace(now, []Searcher{{ID: "a", State: Ready}, {ID: "b", State: Ready}, {ID: "c", State: Ready}})
	r.Remove(now, "a")
	if got := ids(r); got != "b c " {
		t.Fatalf("after a removal: %q", got)
	}
	r.MarkOutage(now)
	r.Replace(now, []Searcher{{ID: "c", State: Ready}})
	if got := ids(r); got != "b c " {
		t.Fatalf("missing after an outage: %q", got)
	}
	if next := r.Expire(now.Add(time.Second)); next.Sub(now) != 2*time.Second || ids(r) != "b c " {
		t.Fatalf("within the grace period: %q, next expiry in %s", ids(r), next.Sub(now))
	}
	if r.Expire(now.Add(2 * time.Second)); ids(r) != "c " {
		t.Fatalf("after the grace period: %q", ids(r))
	}
}

// TestReturn checks that an entry that is registered again within the grace period
// does not expire.
func TestReturn(t *testing.T) {
	now := time.Now()
	r := New(Config{Grace: 2 * time.Second})
	r.Put(Searcher{ID: "a", State: Ready})
	r.MarkOutage(now)
	r.Remove(now, "a")
	r.Put(Searcher{ID: "a", State: Ready})
	r.Expire(now.Add(time.Hour))
	if ids(r) != "a " {
		t.Error("an entry that was registered again has expired")
	}
}

// TestDrainingIsNotKept checks that a draining entry is removed at once even during
// a grace period.
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

// TestOldProcess checks that Put ignores an entry of an older process with the same
// ID.
func TestOldProcess(t *testing.T) {
	r := New(Config{})
	r.Put(Searcher{ID: "a", StartedMs: 7, Addr: "new"})
	r.Put(Searcher{ID: "a", StartedMs: 3, Addr: "old"})
	if got := r.Searchers()[0].Addr; got != "new" {
		t.Errorf("got the entry of the %s process, want that of the new one", got)
	}
}
