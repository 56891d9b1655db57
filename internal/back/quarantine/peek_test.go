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
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 60, 60).Draw(rt, "steps")
		trust := rapid.Bool().Draw(rt, "trust")
		synctest.Test(t, func(*testing.T) {
			ended := 0
			q := New(Config{MinIncidents: 3, TrustAnswered: trust, OnStep: func(Step) { ended++ }})
			q.trusted.maxYoung = 4
			for n, step := range steps {
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
					before, since, young := ended, q.trusted.youngSince, len(q.trusted.young)
					suspects, quarantined := len(q.suspects), len(q.quarantined)
					first, again := q.Peek(f), q.Peek(f)
					if ended != before || q.trusted.youngSince != since || len(q.trusted.young) != young || len(q.suspects) != suspects || len(q.quarantined) != quarantined {
						rt.Fatal("asking has changed what is known")
					}
					if v := q.Verdict(f); !reflect.DeepEqual(first, v) || !reflect.DeepEqual(again, v) {
						rt.Fatalf("step %d: %+v, announced as %+v and %+v", n, v, first, again)
					}
				}
			}
		})
	})
}
