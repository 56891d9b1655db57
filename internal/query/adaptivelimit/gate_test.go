package adaptivelimit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

// measure runs one window of queries, so that the gate knows the mean elapsed
// time.
func measure(g *Gate, mean time.Duration) {
	for range windowQueries {
		g.Acquire(context.Background(), "other", 0, time.Now().Add(time.Hour))
		g.Release("other", Feedback{Elapsed: mean})
	}
}

func TestRefusesQueriesThatWouldBeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{})
		measure(g, 100*time.Millisecond)
		deadline := time.Now().Add(200 * time.Millisecond)
		for range initialLimit {
			if o := g.Acquire(context.Background(), "a", 0, deadline); !o.OK() {
				t.Fatalf("below the limit: %v", o)
			}
		}
		if o := g.Acquire(context.Background(), "b", 0, time.Now().Add(90*time.Millisecond)); o != outcome.NotRun(outcome.Shed) {
			t.Fatalf("query with too little time left: %v", o)
		}
		if o := g.Acquire(context.Background(), "b", 0, deadline); o != outcome.NotRun(outcome.Shed) {
			t.Fatalf("query that waited until its deadline: %v", o)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		if o := g.Acquire(ctx, "b", 0, time.Now().Add(time.Hour)); o != outcome.NotRun(outcome.Canceled) {
			t.Fatalf("canceled query: %v", o)
		}
		if _, n := g.Limit(); n != initialLimit || len(g.waiting) != 0 {
			t.Fatalf("%d in flight, %d waiting", n, len(g.waiting))
		}
	})
}

func TestCallerOverShareIsAdmittedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{Shares: []search.Share{{Caller: "night_job", Fraction: 0.25}}})
		measure(g, time.Millisecond)
		for range initialLimit {
			g.Acquire(context.Background(), "night_job", 0, time.Now().Add(time.Hour))
		}
		var order []string
		enter := func(caller string, d time.Duration) {
			if g.Acquire(context.Background(), caller, 0, time.Now().Add(d)).OK() {
				order = append(order, caller)
				g.Release(caller, Feedback{Elapsed: time.Millisecond})
			}
		}
		go enter("night_job", time.Hour)
		synctest.Wait()
		go enter("claims_desk", 2*time.Hour)
		synctest.Wait()
		g.Release("night_job", Feedback{Elapsed: time.Millisecond})
		synctest.Wait()
		if len(order) != 2 || order[0] != "claims_desk" {
			t.Fatalf("order of admission %v", order)
		}
	})
}

func TestLimitFallsUnderCongestionAndRecovers(t *testing.T) {
	g := New(Config{})
	run := func(elapsed time.Duration, congested bool, windows int) int {
		for range windows * windowQueries {
			g.m.Lock()
			g.limit.observe(Feedback{Elapsed: elapsed, Congested: congested}, g.limit.current())
			g.m.Unlock()
		}
		n, _ := g.Limit()
		return n
	}
	raised := run(time.Second, false, 20)
	if raised <= initialLimit {
		t.Fatalf("limit %d after windows without congestion", raised)
	}
	if n := run(3*time.Second, false, 20); n >= raised/2 {
		t.Fatalf("limit %d with three times the elapsed time, was %d", n, raised)
	}
	if n := run(time.Second, true, 50); n != minLimit {
		t.Fatalf("limit %d under congestion", n)
	}
	if n := run(time.Second, false, 50); n < raised {
		t.Fatalf("limit %d after recovery, was %d", n, raised)
	}
}

// TestPriorities guards against priorities that have no effect on waiting queries, and against
// queries of a low priority that wait for as long as others come.
func TestPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{})
		measure(g, time.Millisecond)
		for range initialLimit {
			g.Acquire(context.Background(), "first", 0, time.Now().Add(time.Hour))
		}
		var order []int
		deadline := time.Now().Add(time.Hour)
		for _, priority := range []int{2, 1, 1, 0, 0, 0, 0} {
			go func() {
				if g.Acquire(context.Background(), "a", priority, deadline).OK() {
					order = append(order, priority)
					g.Release("a", Feedback{Elapsed: time.Millisecond})
				}
			}()
			synctest.Wait()
		}
		g.Release("first", Feedback{Elapsed: time.Millisecond})
		synctest.Wait()
		if got, want := fmt.Sprint(order), "[0 0 0 2 0 1 1]"; got != want {
			t.Errorf("order of admission %s, want %s", got, want)
		}
	})
}
