package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/query/ask"
)

// fleet is a few nodes that tell each other at once what they see.
func fleet(n int) []*Quarantine {
	qs := make([]*Quarantine, n)
	for i := range qs {
		qs[i] = New(Config{
			OnSuspect: func(f uint64, in Incident) {
				for k, o := range qs {
					if k != i {
						o.AddRemoteIncident(f, in)
					}
				}
			},
			OnQuarantine: func(f uint64, until time.Time) {
				for _, o := range qs {
					o.AddRemote(f, until)
				}
			},
		})
	}
	return qs
}

func TestPoisonCostsTwoSearchers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.SliceOfN(rapid.IntRange(0, 8), 30, 30).Draw(rt, "nodes")
		loads := rapid.SliceOfN(rapid.IntRange(1, 25), 30, 30).Draw(rt, "in flight")
		synctest.Test(t, func(t *testing.T) {
			qs, lost := fleet(9), 0
			for i, n := range nodes {
				if qs[n].Classify(7) == Quarantined {
					continue
				}
				lost++
				qs[n].RecordLoss(7, fmt.Sprint("s-", i), loads[i])
				qs[n].AwaitPropagation(t.Context(), 7)
			}
			if lost > 2 {
				rt.Fatalf("%d searchers lost", lost)
			}
			time.Sleep(DefaultDuration)
			if qs[0].Classify(7) == Quarantined {
				rt.Fatal("quarantine does not end")
			}
		})
	})
}

// TestKilledSearchersQuarantineNoInnocent loses searchers under load, several
// at once, while every request that is sent again is answered.
func TestKilledSearchersQuarantineNoInnocent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		waves := rapid.IntRange(1, 12).Draw(rt, "waves")
		popular := rapid.IntRange(1, 4).Draw(rt, "requests")
		kills := rapid.IntRange(1, 8).Draw(rt, "searchers a wave")
		synctest.Test(t, func(*testing.T) {
			qs := fleet(3)
			for w := range waves {
				for k := range kills {
					for f := range popular {
						qs[(w+f)%3].RecordLoss(uint64(f), fmt.Sprint(w, "-", k), popular)
					}
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(waveTime)
				for f := range popular {
					for n, q := range qs {
						for range acquitting {
							if q.Classify(uint64(f)) == Quarantined {
								rt.Fatalf("request %d refused on node %d in wave %d", f, n, w)
							}
							q.RecordAnswer(uint64(f))
						}
					}
				}
			}
		})
	})
}

func TestVerdicts(t *testing.T) {
	synctest.Test(t, verdicts)
}

func verdicts(t *testing.T) {
	q := New(Config{})
	if v := q.Classify(1); v != Unseen {
		t.Fatal(v)
	}
	q.RecordAnswer(1)
	if v := q.Classify(1); v != Trusted {
		t.Fatal(v)
	}
	q.RecordLoss(1, "a", 1)
	if v := q.Classify(1); v != Suspect {
		t.Fatal(v)
	}
	q.RecordLoss(1, "a", 1)
	if v := q.Classify(1); v != Suspect {
		t.Fatalf("%v after the same searcher was lost twice", v)
	}
	time.Sleep(waveTime)
	q.RecordLoss(1, "b", 20)
	if v := q.Classify(1); v != Quarantined {
		t.Fatalf("%v after a second searcher was lost in a trial", v)
	}
	q.RecordLoss(2, "c", 1)
	time.Sleep(DefaultDuration + suspectTime)
	q.RecordLoss(3, "d", 1)
	if len(q.suspects) != 1 || len(q.held) != 0 {
		t.Fatalf("%d suspects, %d held after all is over", len(q.suspects), len(q.held))
	}
}

func TestFingerprintKeepsFieldsApart(t *testing.T) {
	a := Fingerprint("s", "ab", []ask.Filter{{Field: "c", Value: "d"}}, 1)
	for _, b := range []uint64{
		Fingerprint("sa", "b", []ask.Filter{{Field: "c", Value: "d"}}, 1),
		Fingerprint("s", "ab", []ask.Filter{{Field: "cd"}}, 1),
		Fingerprint("s", "ab", []ask.Filter{{Field: "c", Value: "d"}}, 2),
	} {
		if a == b {
			t.Fatal("two requests share a fingerprint")
		}
	}
}
