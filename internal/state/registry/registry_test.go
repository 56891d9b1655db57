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
	r.Put(time.Now(), Searcher{ID: "a", State: Ready})
	r.MarkOutage(now)
	r.Remove(now, "a")
	r.Put(time.Now(), Searcher{ID: "a", State: Ready})
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
	r.Put(time.Now(), Searcher{ID: "a", State: Draining})
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
	r.Put(time.Now(), Searcher{ID: "a", StartedMs: 7, Addr: "new"})
	r.Put(time.Now(), Searcher{ID: "a", StartedMs: 3, Addr: "old"})
	if got := r.Searchers()[0].Addr; got != "new" {
		t.Errorf("got the entry of the %s process, want that of the new one", got)
	}
}

// restored returns a registry at the time of a restore of its store.
func restored(now time.Time, before func(r *Registry)) *Registry {
	r := New(Config{Grace: 2 * time.Second})
	before(r)
	r.MarkOutage(now)
	return r
}

// ready returns the IDs of the searchers that accept requests.
func ready(r *Registry) string {
	s := ""
	for _, e := range r.Ready() {
		s += e.ID + " "
	}
	return s
}

// TestRestoredEntryOfDrainingSearcher: a searcher that drains, or has drained and left,
// was used again when the restored store showed it as ready.
func TestRestoredEntryOfDrainingSearcher(t *testing.T) {
	now := time.Now()
	r := restored(now, func(r *Registry) {
		r.Replace(now, []Searcher{{ID: "drains", StartedMs: 1, Seq: 4, State: Draining}, {ID: "left", StartedMs: 1, Seq: 6, State: Draining}})
		r.Remove(now, "left")
	})
	r.Replace(now, []Searcher{{ID: "drains", StartedMs: 1, Seq: 3, State: Ready}, {ID: "left", StartedMs: 1, Seq: 5, State: Ready}})
	r.Expire(now.Add(time.Minute))
	if got := ready(r); got != "" {
		t.Errorf("in use: %s", got)
	}
	r.Put(now, Searcher{ID: "left", StartedMs: 2, State: Ready})
	r.Put(now, Searcher{ID: "drains", StartedMs: 1, Seq: 5, State: Draining})
	if got := ready(r); got != "left " || r.Len() != 2 {
		t.Errorf("after a new process and a rewritten entry: %s in use, %d known", got, r.Len())
	}
}

// TestRestoredEntryOfSearcherThatLeft: a searcher whose entry had been deleted was used
// again when the restored store still held the entry.
func TestRestoredEntryOfSearcherThatLeft(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		after func(r *Registry)
		at    time.Duration
		want  string
	}{
		"held back":               {func(*Registry) {}, holdTime - time.Second, ""},
		"still there":             {func(*Registry) {}, holdTime, "a "},
		"deleted again":           {func(r *Registry) { r.Remove(now, "a") }, holdTime, ""},
		"missing in another read": {func(r *Registry) { r.Replace(now, nil) }, holdTime, ""},
		"writes its entry again":  {func(r *Registry) { r.Put(now, Searcher{ID: "a", StartedMs: 1, Seq: 5, State: Ready}) }, 0, "a "},
	} {
		t.Run(name, func(t *testing.T) {
			r := restored(now, func(r *Registry) {
				r.Put(now, Searcher{ID: "a", StartedMs: 1, Seq: 4, State: Ready})
				r.Remove(now, "a")
			})
			r.Replace(now, []Searcher{{ID: "a", StartedMs: 1, Seq: 4, State: Ready}})
			c.after(r)
			r.Expire(now.Add(c.at))
			if got := ready(r); got != c.want {
				t.Errorf("in use: %q, want %q", got, c.want)
			}
		})
	}
}

// TestMissingInRestoredStore checks that searchers whose entries the restored store lacks
// are kept until they can have written them again.
func TestMissingInRestoredStore(t *testing.T) {
	now := time.Now()
	r := restored(now, func(r *Registry) { r.Put(now, Searcher{ID: "a", StartedMs: 1, Seq: 1, State: Ready}) })
	r.Replace(now, nil)
	if got := ready(r); got != "a " {
		t.Errorf("in use: %q", got)
	}
	if r.Expire(now.Add(2 * time.Second)); ready(r) != "" {
		t.Errorf("after the grace period: %q", ready(r))
	}
}

// TestLateWriteOfSearcherThatLeft: a write that the store made seconds late brought a
// searcher that had left into use again.
func TestLateWriteOfSearcherThatLeft(t *testing.T) {
	now := time.Now()
	last := Searcher{ID: "a", StartedMs: 5, Seq: 9, State: Ready}
	drained := last
	drained.State = Draining
	for name, c := range map[string]struct {
		last  Searcher
		after func(r *Registry)
		at    time.Duration
		want  string
	}{
		"earlier write":               {last, func(r *Registry) { r.Put(now, Searcher{ID: "a", StartedMs: 5, Seq: 6, State: Ready}) }, holdTime - 1, ""},
		"last write once more":        {last, func(r *Registry) { r.Put(now, last) }, holdTime - 1, ""},
		"earlier write, read anew":    {last, func(r *Registry) { r.Replace(now, []Searcher{{ID: "a", StartedMs: 5, Seq: 6, State: Ready}}) }, holdTime - 1, ""},
		"earlier process":             {last, func(r *Registry) { r.Put(now, Searcher{ID: "a", StartedMs: 4, Seq: 99, State: Ready}) }, holdTime - 1, ""},
		"earlier write after a drain": {drained, func(r *Registry) { r.Put(now, Searcher{ID: "a", StartedMs: 5, Seq: 6, State: Ready}) }, time.Minute, ""},
		"earlier write, still listed": {last, func(r *Registry) { r.Put(now, Searcher{ID: "a", StartedMs: 5, Seq: 6, State: Ready}) }, holdTime, "a "},
		"later write":                 {last, func(r *Registry) { r.Put(now, Searcher{ID: "a", StartedMs: 5, Seq: 10, State: Ready}) }, 0, "a "},
		"later write after an earlier": {last, func(r *Registry) {
			r.Put(now, Searcher{ID: "a", StartedMs: 5, Seq: 6, State: Ready})
			r.Put(now, Searcher{ID: "a", StartedMs: 5, Seq: 10, State: Ready})
		}, 0, "a "},
		"later process": {last, func(r *Registry) { r.Put(now, Searcher{ID: "a", StartedMs: 6, Seq: 1, State: Ready}) }, 0, "a "},
		"earlier write after its process": {last, func(r *Registry) {
			r.Put(now, Searcher{ID: "a", StartedMs: 6, Seq: 1, State: Draining})
			r.Put(now, Searcher{ID: "a", StartedMs: 5, Seq: 6, State: Ready})
		}, time.Minute, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Grace: 2 * time.Second})
			r.Put(now, c.last)
			r.Remove(now, "a")
			c.after(r)
			r.Expire(now.Add(c.at))
			if got := ready(r); got != c.want {
				t.Errorf("in use: %q, want %q", got, c.want)
			}
		})
	}
}
