package latency

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestQuantileFollowsChange(t *testing.T) {
	h := New(Config{})
	if _, ok := h.Quantile(0.5); ok {
		t.Fatal("an empty histogram returned an estimate")
	}
	r := rand.New(rand.NewPCG(1, 2))
	add := func(n int, scale time.Duration) {
		for range n {
			h.Add(time.Duration(r.Float64() * float64(scale)))
		}
	}
	check := func(q float64, want time.Duration) {
		t.Helper()
		got, ok := h.Quantile(q)
		if !ok || got < want*9/10 || got > want*11/10 {
			t.Errorf("quantile %v is %v, want about %v", q, got, want)
		}
	}
	add(20000, 100*time.Millisecond)
	check(0.5, 50*time.Millisecond)
	check(0.98, 98*time.Millisecond)
	add(200000, 10*time.Millisecond)
	check(0.9, 9*time.Millisecond)
}
