package budget

import (
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// TestBound checks the promise of the package: whatever the order of calls,
// what was spent never exceeds the fraction of what was earned plus the
// tokens at the start, and what the purse paid in any span never exceeds the
// fraction earned in it plus the size of the purse.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := rapid.Float64Range(0, 0.2).Draw(t, "fraction")
		b := New(Config{Fraction: f})
		earned, spent, hedged, mark := 0, 0, 0, 0
		for i, n := range rapid.SliceOf(rapid.IntRange(-60, 100)).Draw(t, "calls") {
			switch {
			case n > 0:
				b.Earn(n)
				earned += n
			case n < -30 && b.SpendReserve(-n-30):
				spent += -n - 30
			case n < 0 && n >= -30 && b.Spend(-n):
				spent -= n
				hedged -= n
			}
			if float64(spent) > f*float64(earned)+initial+1e-6 {
				t.Fatalf("spent %d of %d at fraction %v", spent, earned, f)
			}
			if i == 10 {
				mark, hedged = earned, 0
			}
			if i >= 10 && float64(hedged) > f*float64(earned-mark)+100+1e-6 {
				t.Fatalf("purse paid %d since %d were earned", hedged, earned-mark)
			}
		}
	})
}

func TestReserve(t *testing.T) {
	b := New(Config{Fraction: 0.02})
	for range 1000 {
		b.Earn(140)
		b.Earn(1)
	}
	if p, r := b.Level(); p != 140 || r != reserveSize {
		t.Fatalf("%v in the purse, %v in the reserve", p, r)
	}
	if !b.Spend(140) || b.Spend(1) || !b.SpendReserve(reserveSize) || b.SpendReserve(1) {
		t.Fatal("purse and reserve are not what they hold")
	}
}
