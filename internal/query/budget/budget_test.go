package budget

import (
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// TestBound checks the limits of the budget for any order of calls: the tokens
// spent never exceed the tokens earned plus the initial ones, and the tokens
// spent from the bucket since some call never exceed those earned since then
// plus the size of the bucket.
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
			if float64(spent) > f*float64(earned)+initialTokens+1e-6 {
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
		t.Fatalf("%v in the bucket, %v in the reserve", p, r)
	}
	if !b.Spend(140) || b.Spend(1) || !b.SpendReserve(reserveSize) || b.SpendReserve(1) {
		t.Fatal("bucket and reserve can't be spent exactly once")
	}
}

// TestHedgesLeaveReserve: hedges spent all that the first queries of a process earned,
// and nothing was left to restart a query whose version went.
func TestHedgesLeaveReserve(t *testing.T) {
	b := New(Config{Fraction: 0.5})
	for range 8 {
		b.Earn(6)
		for b.Spend(1) {
		}
	}
	if !b.SpendReserve(12) {
		_, reserve := b.Level()
		t.Errorf("%v of 24 earned tokens are left to repeat calls, want half", reserve)
	}
}
