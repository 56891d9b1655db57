package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBound checks the promise of the package: whatever the order of calls,
// what was spent never exceeds the fraction of what was earned plus the
// tokens at the start.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := rapid.Float64Range(0, 0.2).Draw(t, "fraction")
		b := New(Config{Fraction: f})
		earned, spent := 0, 0
		for _, n := range rapid.SliceOf(rapid.IntRange(-30, 200)).Draw(t, "calls") {
			switch {
			case n > 0:
				b.Earn(n)
				earned += n
			case n < 0 && b.Spend(-n):
				spent -= n
			}
			if float64(spent) > f*float64(earned)+initial {
				t.Fatalf("spent %d of %d at fraction %v", spent, earned, f)
			}
		}
	})
}

func TestBurst(t *testing.T) {
	b := New(Config{Fraction: 0.02})
	b.Earn(100000)
	if b.Level() != capTokens || !b.Spend(capTokens) || b.Spend(1) {
		t.Fatalf("level %v after earning past the cap", b.Level())
	}
}
