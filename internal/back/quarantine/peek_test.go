package quarantine

import (
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestPeek guards against an explanation that differs from what happens to the next request, or
// that ends a quarantine, a suspicion or the trust in a request by asking.
func TestPeek(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.IntRange(0, 9), 60, 60).Draw(rt, "steps")
		trust := rapid.Bool().Draw(rt, "trust")
		synctest.Test(t, func(*testing.T) {
			steps := 0
			q := New(Config{MinIncidents: 3, TrustAnswered: trust, OnStep: func(Step) { steps++ }})
			q.trusted.maxYoung = 4
			state := func() string { return fmt.Sprint(steps, q.suspects, q.quarantined, q.trusted) }
			for n, step := range kinds {
				f := uint64(step % 2)
				switch step {
				case 0, 1, 2, 3:
					q.AddIncident(f, Incident{Searcher: fmt.Sprint("s-", n), Service: "s", At: time.Now(), Weight: 1, Trial: step > 1})
				case 4, 5:
					q.RecordServiceAnswer(f, "s")
				case 6:
					for k := range uint64(3) {
						q.trusted.add(uint64(100*n)+k, time.Now())
					}
				default:
					time.Sleep([]time.Duration{20 * time.Second, trustTTL, DefaultDuration}[step-7])
				}
				for f := range uint64(2) {
					before, first := state(), q.Peek(f)
					if after := state(); after != before {
						rt.Fatalf("asking has changed %s to %s", before, after)
					}
					if v := q.Verdict(f); !reflect.DeepEqual(first, v) {
						rt.Fatalf("step %d: %+v, announced as %+v", n, v, first)
					}
				}
			}
		})
	})
}
