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

// TestNothingWrong runs each arm briefly. It checks counts, not latency, so that it
// also passes on a slow machine.
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
				t.Errorf("violations: %+v", a.Wrong)
			}
			if n, _ := figure.Find(a, "claimed"); n == 0 {
				t.Error("no request was claimed")
			}
			sent, _ := figure.Find(a, "forwards")
			failed, _ := figure.Find(a, "forward_failures")
			if p.name == "calm" && sent <= failed {
				t.Errorf("%v of %v forwards failed", failed, sent)
			}
		})
	}
}

// permissiveStore grants every claim and records no outcome.
type permissiveStore struct{ claimStore }

func (permissiveStore) Claim(context.Context, idempotency.Request) idempotency.Claim {
	return idempotency.Claim{Status: idempotency.Claimed}
}

func (permissiveStore) Record(idempotency.Claim, idempotency.Record) {}

// TestOracleSeesDoubleRuns checks that the oracle reports a request that runs
// twice on a store that grants every claim.
func TestOracleSeesDoubleRuns(t *testing.T) {
	f, err := newFleet(fleetConfig{nodes: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	for _, n := range f.nodes {
		n.claims = permissiveStore{n.claims}
	}
	tr := newTraffic(f, plan{}, rand.New(rand.NewPCG(1, 1)))
	tr.sendWithRetries(t.Context(), time.Now())
	tr.resendAll(t.Context())
	if w := tr.oracle.violations(); w.DoubleRuns != 1 {
		t.Fatalf("violations %+v, want 1 double run", w)
	}
}
