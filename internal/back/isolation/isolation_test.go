package isolation

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns three shards with one searcher in each of the domains. All of
// them reacted at start; they were asked again 10 ms later.
func fleet(domains ...string) []Searcher {
	var out []Searcher
	for n := range 3 {
		for _, d := range domains {
			out = append(out, Searcher{Service: fmt.Sprintf("s%d", n), Domain: d, LastContact: start, AskedAt: start.Add(10 * time.Millisecond)})
		}
	}
	return out
}

// react records a reaction of a searcher.
func react(s *Searcher, at time.Time) { s.LastContact, s.AskedAt = at, time.Time{} }

// withoutShard removes the searcher of the first shard in a domain.
func withoutShard(ss []Searcher, domain string) []Searcher {
	for n, s := range ss {
		if s.Service == "s0" && s.Domain == domain {
			return append(ss[:n:n], ss[n+1:]...)
		}
	}
	return ss
}

// update calls Update minUpdates times, the last one at the given time.
func update(d *Detector, at time.Time, ss []Searcher) bool {
	for range minUpdates - 1 {
		d.Update(at, ss)
	}
	return d.Update(at, ss)
}

// TestUpdate checks which silences count as isolation of a VM in domain a, a
// second after they began.
func TestUpdate(t *testing.T) {
	at := start.Add(time.Second)
	for name, c := range map[string]struct {
		searchers func() []Searcher
		want      bool
	}{
		"cut off, a shard has no searcher at home": {func() []Searcher { return withoutShard(fleet("a", "b", "c"), "a") }, true},
		"cut off, all shards at home": {func() []Searcher {
			ss := fleet("a", "b", "c")
			for n := range ss {
				if ss[n].Domain == "a" {
					react(&ss[n], at)
				}
			}
			return ss
		}, false},
		"nothing reacts": {func() []Searcher { return fleet("a", "b", "c") }, true},
		"one remote searcher reacts": {func() []Searcher {
			ss := withoutShard(fleet("a", "b", "c"), "a")
			react(&ss[len(ss)-1], at.Add(-100*time.Millisecond))
			return ss
		}, false},
		"searchers crashed long ago, the others were not asked since": {func() []Searcher {
			ss := withoutShard(fleet("a", "b", "c"), "a")
			for n := range ss {
				switch {
				case ss[n].Domain == "a":
					react(&ss[n], at)
				case ss[n].Service == "s0" || ss[n].Service == "s1":
					ss[n].AskedAt = start.Add(-time.Minute)
				default:
					ss[n].AskedAt = time.Time{}
				}
			}
			return ss
		}, false},
		"searchers crashed just now, another one was asked since": {func() []Searcher {
			ss := withoutShard(fleet("a", "b", "c"), "a")
			react(&ss[len(ss)-1], start.Add(20*time.Millisecond))
			return ss
		}, false},
		"an answer was lost when the partition began": {func() []Searcher {
			ss := withoutShard(fleet("a", "b", "c"), "a")
			ss[len(ss)-1].AskedAt = start.Add(-time.Millisecond)
			return ss
		}, true},
		"this process has just continued": {func() []Searcher {
			ss := withoutShard(fleet("a", "b", "c"), "a")
			for n := range ss {
				ss[n].RunningSince = at.Add(-minSilence / 2)
			}
			return ss
		}, false},
		"this process continued before": {func() []Searcher {
			ss := withoutShard(fleet("a", "b", "c"), "a")
			for n := range ss {
				ss[n].RunningSince = at.Add(-minSilence)
			}
			return ss
		}, true},
		"only one other domain": {func() []Searcher { return withoutShard(fleet("a", "b"), "a") }, false},
		"nothing was asked": {func() []Searcher {
			ss := withoutShard(fleet("a", "b", "c"), "a")
			for n := range ss {
				ss[n].AskedAt = time.Time{}
			}
			return ss
		}, false},
		"too few were asked": {func() []Searcher {
			ss := withoutShard(fleet("a", "b", "c"), "a")
			for n := range ss {
				if ss[n].Service != "s0" {
					ss[n].AskedAt = time.Time{}
				}
			}
			return ss
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := update(New(Config{Domain: "a"}), at, c.searchers()); got != c.want {
				t.Errorf("isolated %t, want %t", got, c.want)
			}
		})
	}
}

// TestSticky checks that isolation lasts without new requests, as a VM that is
// not ready gets none, and ends with the first contact.
func TestSticky(t *testing.T) {
	d, ss := New(Config{Domain: "a"}), withoutShard(fleet("a", "b", "c"), "a")
	at := start.Add(time.Second)
	if !update(d, at, ss) {
		t.Fatal("not isolated")
	}
	for n := range ss {
		ss[n].AskedAt = time.Time{}
	}
	at = at.Add(10 * time.Second)
	if !d.Update(at, ss) {
		t.Error("isolation ended without a contact")
	}
	react(&ss[len(ss)-1], at)
	if d.Update(at, ss) {
		t.Error("still isolated after a contact")
	}
}

// TestPausedProcess wakes a process after a pause: its requests look
// unanswered at the first update, but the answers have arrived.
func TestPausedProcess(t *testing.T) {
	d, ss := New(Config{Domain: "a"}), withoutShard(fleet("a", "b", "c"), "a")
	at := start.Add(2 * time.Second)
	if d.Update(at, ss) {
		t.Error("isolated at the first update after a pause")
	}
	for n := range ss {
		react(&ss[n], at)
	}
	if d.Update(at.Add(100*time.Millisecond), ss) {
		t.Error("isolated although all answers have arrived")
	}
}
