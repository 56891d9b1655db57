package writes

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/state/idempotency"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestNothingWrong runs the arms for a moment. Calls are counted, not timed,
// so the verdict is the same on a slow machine.
func TestNothingWrong(t *testing.T) {
	o := scenario.Options{Nodes: 4, Rate: 100, Duration: 600 * time.Millisecond}
	ps, err := plans(naive)
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range ps {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			a, err := runPlan(t.Context(), p, o, rand.New(rand.NewPCG(1, uint64(i))))
			if err != nil {
				t.Fatal(err)
			}
			if a.Wrong.Total() != 0 {
				t.Errorf("%+v", a.Wrong)
			}
			if n, _ := figure.Find(a, "claimed"); n == 0 {
				t.Error("nothing ran")
			}
			sent, _ := figure.Find(a, "forwards")
			failed, _ := figure.Find(a, "forward_failures")
			if p.name == "calm" && sent <= failed {
				t.Errorf("%v of %v forwards failed", failed, sent)
			}
		})
	}
}

// forgetful allows every claim, as a store without a guard would.
type forgetful struct{ claims }

func (forgetful) Claim(context.Context, idempotency.Request) idempotency.Claim {
	return idempotency.Claim{Status: idempotency.Claimed}
}

func (forgetful) Record(idempotency.Claim, idempotency.Record) {}

// TestOracleSeesDoubleRuns shows that the check can fail.
func TestOracleSeesDoubleRuns(t *testing.T) {
	f, err := newFleet(fleetConfig{nodes: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	for _, n := range f.nodes {
		n.claims = forgetful{n.claims}
	}
	r := newTraffic(f, plan{}, rand.New(rand.NewPCG(1, 1)))
	r.caller(t.Context(), time.Now())
	r.repeatAll(t.Context())
	if w := r.oracle.verdict(); w.DoubleRuns != 1 {
		t.Fatalf("%+v", w)
	}
}
