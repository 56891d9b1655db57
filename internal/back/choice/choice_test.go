package choice

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

func TestPickReturnsUsableUntriedAndLocalFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
			return Candidate{Local: rapid.Bool().Draw(t, "local"), Usable: rapid.Bool().Draw(t, "usable"),
				LoadScore: rapid.Float64Range(0, 9).Draw(t, "load"), Weight: rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "weight")}
		}), 0, 6).Draw(t, "candidates")
		tried := Tried(rapid.Uint64Range(0, 63).Draw(t, "tried"))
		i := Pick(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), cs, tried)
		anyLocal, anyAvailable := false, false
		for k, c := range cs {
			available := c.Usable && !tried.Has(k)
			anyAvailable, anyLocal = anyAvailable || available, anyLocal || available && c.Local
		}
		if (i >= 0) != anyAvailable {
			t.Fatalf("picked %d of %+v", i, cs)
		}
		if i >= 0 && (!cs[i].Usable || tried.Has(i) || anyLocal && !cs[i].Local) {
			t.Fatalf("picked %d of %+v, tried %b", i, cs, tried)
		}
	})
}

// pickShares returns the fraction of calls that each candidate gets.
func pickShares(p Policy, cs []Candidate) []float64 {
	r, shares := rand.New(rand.NewPCG(1, 0)), make([]float64, len(cs))
	const rounds = 30_000
	for range rounds {
		shares[p(r, cs, 0)] += 1.0 / rounds
	}
	return shares
}

func TestPickFollowsLoadAndWeight(t *testing.T) {
	cs := []Candidate{{true, true, 0, 1}, {true, true, 5, 1}, {true, true, 9, 1}}
	if s := pickShares(Pick, cs); s[0] < 0.6 || s[1] < 0.3 || s[2] > 0 {
		t.Fatalf("shares %v, want two thirds, one third, none", s)
	}
	cs = []Candidate{{true, true, 0, 0.1}, {true, true, 1, 1}, {true, true, 1, 1}}
	if s := pickShares(Pick, cs); s[0] < 0.05 || s[0] > 0.25 {
		t.Fatalf("a searcher of weight 0.1 gets %v", s[0])
	}
	if s := pickShares(PickUniform, cs); s[0] < 0.3 || s[0] > 0.37 {
		t.Fatalf("random choice is not uniform: %v", s)
	}
}
