package expiryset_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"egrethaven/internal/infra/expiryset"
	_ "egrethaven/internal/proof/fixedseed"
)

// TestSet compares the set with a map that keeps all members, and bounds what it holds.
func TestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s expiryset.Set[int]
		all, now := map[int]time.Time{}, time.Unix(0, 0)
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "elapsed")) * time.Second)
			k := rapid.IntRange(0, 100).Draw(t, "member")
			if got, want := s.Has(k, now), now.Before(all[k]); got != want {
				t.Fatalf("member %d: got %t, want %t", k, got, want)
			}
			until := now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "time")) * time.Second)
			s.Add(k, now, until)
			if until.After(all[k]) {
				all[k] = until
			}
			live := 0
			for _, u := range all {
				if now.Before(u) {
					live++
				}
			}
			if n := s.Len(); n > 32+2*101 || n < live {
				t.Fatalf("%d members, of which %d are live", n, live)
			}
		}
	})
}

// TestMemory: members that have expired do not pile up.
func TestMemory(t *testing.T) {
	var s expiryset.Set[int]
	now := time.Unix(0, 0)
	for n := range 100_000 {
		now = now.Add(time.Millisecond)
		s.Add(n, now, now.Add(100*time.Millisecond))
		if s.Len() > 300 {
			t.Fatalf("%d members, of which at most 100 are live", s.Len())
		}
	}
}
