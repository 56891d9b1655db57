package retrybudget

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// TestAnyWindow sends at random and holds the extra sends of each span of the
// window against the users' bound: the allowance, plus the ratio of the first
// sends in that span, the span before it, or the one half a window before,
// whichever has most.
func TestAnyWindow(t *testing.T) {
	const ratio, allowance, window = 0.2, 4.0, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 100, 600).Draw(rt, "gaps_ms")
		firsts := rapid.SliceOfN(rapid.Bool(), len(gaps), len(gaps)).Draw(rt, "firsts")
		over := ""
		synctest.Test(t, func(*testing.T) {
			b := New(Config{Ratio: ratio, Allowance: allowance, Window: window})
			var first, extra []time.Time
			for i, ms := range gaps {
				time.Sleep(time.Duration(ms) * time.Millisecond)
				now := time.Now()
				if firsts[i] {
					b.CountFirst(now)
					first = append(first, now)
				} else if b.AllowExtra(now, Retry) {
					extra = append(extra, now)
				}
				requests := max(count(first, now, window), count(first, now.Add(-window/2), window), count(first, now.Add(-window), window))
				if n, most := count(extra, now, window), ratio*float64(requests)+allowance; float64(n) > most+1e-9 {
					over = fmt.Sprintf("%d extra sends in a window that allows %g", n, most)
				}
			}
		})
		if over != "" {
			rt.Fatal(over)
		}
	})
}

// count counts the times in the span that ends at a time.
func count(ts []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, t := range ts {
		if !t.After(end) && end.Sub(t) < span {
			n++
		}
	}
	return n
}

// TestHedgesLeaveRoom spends what hedges may, and finds room for retries.
func TestHedgesLeaveRoom(t *testing.T) {
	b := New(Config{Ratio: 0.2, Allowance: 5, Window: 10 * time.Second})
	now := time.Now()
	hedges := 0
	for b.AllowExtra(now, LastHedge) {
		hedges++
	}
	if hedges != 5-hedgeReserve || !b.AllowExtra(now, Retry) {
		t.Errorf("%d hedges of an allowance of 5, and no room for a retry", hedges)
	}
}

// TestEarlyHedgesLeaveHalf spends what early hedges may: half of the bound is
// left for those that decide whether an answer is in time.
func TestEarlyHedgesLeaveHalf(t *testing.T) {
	b := New(Config{Ratio: 0.2, Allowance: 2, Window: 10 * time.Second})
	now := time.Now()
	for range 100 {
		b.CountFirst(now)
	}
	early, last := 0, 0
	for b.AllowExtra(now, EarlyHedge) {
		early++
	}
	for b.AllowExtra(now, LastHedge) {
		last++
	}
	if early != 10 || last < early-hedgeReserve {
		t.Errorf("%d early and %d last hedges of a bound of 20", early, last)
	}
}

// TestLargeTier plays one VM of 91 that share an allowance of 222, half of it
// used: 1.4 requests a second, of which a third are late. A fifth of the
// requests may be hedged, so most of the late ones are.
func TestLargeTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{Ratio: 0.2, Allowance: 222.0 / 2 / 91, Window: 10 * time.Second})
		first, hedges := 0, 0
		for range 84 {
			b.CountFirst(time.Now())
			first++
			if first%3 == 0 && b.AllowExtra(time.Now(), LastHedge) {
				hedges++
			}
			time.Sleep(time.Second * 10 / 14)
		}
		if float64(hedges) < 0.18*float64(first) {
			t.Errorf("%d hedges of %d requests", hedges, first)
		}
	})
}

// TestSetKeepsTheCount changes the window: the allowance is not granted anew.
func TestSetKeepsTheCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Config{Allowance: 2, Window: 10 * time.Second}
		b := New(c)
		for b.AllowExtra(time.Now(), Retry) {
		}
		c.Window = 5 * time.Second
		b.SetConfig(c)
		if b.AllowExtra(time.Now(), Retry) {
			t.Error("a change of the window grants the allowance again")
		}
		time.Sleep(c.Window)
		if !b.AllowExtra(time.Now(), Retry) {
			t.Error("the allowance never comes back")
		}
	})
}
