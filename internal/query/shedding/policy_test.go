package shedding_test

import (
	"testing"
	"time"

	"egrethaven/internal/query/shedding"
)

// TestRanks checks that priorities count by rank among those in use, so that a deployment
// whose routes all have priority 2 is treated like one whose routes have none.
func TestRanks(t *testing.T) {
	p, now := shedding.NewPolicy(), time.Unix(1000, 0)
	if s := p.Standing(now, shedding.Class{Route: "a"}, 2); s.Rank != 0 {
		t.Errorf("the only priority has rank %d", s.Rank)
	}
	if s := p.Peek(now, shedding.Class{Route: "b"}, 1); s.Rank != 0 || p.Standing(now, shedding.Class{Route: "a2"}, 2).Rank != 0 {
		t.Errorf("asking about a priority that is not in use gave rank %d, or changed the others", s.Rank)
	}
	p.Standing(now, shedding.Class{Route: "b"}, 1)
	p.Standing(now, shedding.Class{Route: "c"}, 9)
	now = now.Add(time.Second)
	for route, want := range map[string]struct{ priority, rank int }{"b": {1, 0}, "a": {2, 1}, "c": {9, 2}} {
		if s := p.Standing(now, shedding.Class{Route: route}, want.priority); s.Rank != want.rank {
			t.Errorf("route %s has rank %d, want %d", route, s.Rank, want.rank)
		}
	}
}

// TestClassCatchesUp checks that a class that is served less often than others of its
// priority goes ahead of them until it has caught up, and that one far behind all goes ahead
// of higher priorities.
func TestClassCatchesUp(t *testing.T) {
	p, now := shedding.NewPolicy(), time.Unix(1000, 0)
	poor, rich := shedding.Class{Route: "r", Account: "poor"}, shedding.Class{Route: "r", Account: "rich"}
	standing := func(c shedding.Class) shedding.Standing {
		now = now.Add(time.Second)
		first, again := p.Peek(now, c, 1), p.Peek(now, c, 1)
		s := p.Standing(now, c, 1)
		if first != s || again != s {
			t.Errorf("standing %+v, announced as %+v and %+v", s, first, again)
		}
		return s
	}
	for n := range 20 {
		p.Ended(rich, 1, true)
		p.Ended(poor, 1, n%4 > 0)
		p.Ended(shedding.Class{Route: "first"}, 0, true)
	}
	if s := standing(poor); !s.Behind || s.Starved || s.Patience(time.Second, 0) != time.Second {
		t.Errorf("served 3 of 4: %+v", s)
	}
	if s := standing(rich); s.Behind || s.Patience(time.Second, 0) == time.Second {
		t.Errorf("served always: %+v", s)
	}
	for range 60 {
		p.Ended(poor, 1, false)
	}
	low, high := shedding.Request{Standing: standing(poor), Service: time.Millisecond}, shedding.Request{Service: time.Millisecond}
	if !low.Standing.Starved || low.Value(now) <= high.Value(now) {
		t.Errorf("served 1 of 5: %+v", low.Standing)
	}
	for range 600 {
		p.Ended(poor, 1, true)
	}
	if s := standing(poor); s.Behind || s.Starved {
		t.Errorf("after it has caught up: %+v", s)
	}
}

// TestReturnsAreSpread checks that clients refused together do not return together, also
// when searchers have named the time before which they take nothing.
func TestReturnsAreSpread(t *testing.T) {
	const wait = 100 * time.Millisecond
	for _, notBefore := range []time.Duration{0, time.Second} {
		first, last := shedding.ReturnAfter(wait, notBefore, 0), shedding.ReturnAfter(wait, notBefore, 0.99)
		if first < notBefore || last-first < wait/2 {
			t.Errorf("return after %s to %s, not before %s", first, last, notBefore)
		}
	}
}
