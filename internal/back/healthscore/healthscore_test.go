package healthscore_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"egrethaven/internal/back/healthscore"
)

// play has the VMs of a failure domain send a searcher 27 requests a second, as
// 31 VMs of a large tier do, and returns the score at each step of a quarter of
// a second. ratio is what a request takes that is sent at a time.
func play(ratio func(t time.Duration, r *rand.Rand) float64) []healthscore.Score {
	const vms, perSecond, seconds = 31, 27, 12
	r := rand.New(rand.NewPCG(7, 7))
	b := healthscore.New()
	began := time.Now()
	name := healthscore.Process{ID: "i-1", StartedMs: 5}
	var out []healthscore.Score
	told := [vms]healthscore.Observation{}
	for step := range seconds * 4 {
		at := time.Duration(step) * 250 * time.Millisecond
		for range perSecond / 4 {
			o := &told[r.IntN(vms)]
			o.Searcher = name
			o.Requests++
			o.LatencyRatioSum += ratio(at+rand.N(250*time.Millisecond), r)
		}
		for i := range told {
			if told[i].Requests > 0 {
				b.Add(began.Add(at), told[i])
				told[i] = healthscore.Observation{}
			}
		}
		s := healthscore.Score{Searcher: name, SlowdownFactor: 1}
		if all := b.Scores(began.Add(at)); len(all) > 0 {
			s = all[0]
		}
		out = append(out, s)
	}
	return out
}

// TestSlowSearcher plays a searcher that takes eleven times as long from 4 to 8
// seconds: all VMs know within a second, and for as long as it lasts.
func TestSlowSearcher(t *testing.T) {
	for step, s := range play(func(at time.Duration, _ *rand.Rand) float64 {
		if at >= 4*time.Second && at < 8*time.Second {
			return 11
		}
		return 1
	}) {
		at := time.Duration(step) * 250 * time.Millisecond
		switch {
		case at < 4*time.Second && s.SlowdownFactor > 1, at >= 11*time.Second && s.SlowdownFactor > 1:
			t.Errorf("at %s, as usual: factor %g", at, s.SlowdownFactor)
		case at >= 5*time.Second && at < 8*time.Second && s.SlowdownFactor < 6:
			t.Errorf("at %s, slow: factor %g", at, s.SlowdownFactor)
		}
	}
}

// TestPausingSearcher plays a searcher that pauses for 120 ms each 3 s and takes
// long for one request in a hundred: it is not taken for a slow one.
func TestPausingSearcher(t *testing.T) {
	for step, s := range play(func(at time.Duration, r *rand.Rand) float64 {
		if in := (at + 2*time.Second) % (3 * time.Second); in < 120*time.Millisecond {
			return float64(120*time.Millisecond-in) / float64(11*time.Millisecond)
		}
		if r.IntN(100) == 0 {
			return 5
		}
		return 1
	}) {
		if s.SlowdownFactor > 3 {
			t.Errorf("step %d: factor %g", step, s.SlowdownFactor)
		}
	}
}

// TestFailures tells of a searcher that fails half of its requests, fast, and
// forgets it once nothing was seen of it for long.
func TestFailures(t *testing.T) {
	b, now := healthscore.New(), time.Now()
	o := healthscore.Observation{Searcher: healthscore.Process{ID: "i"}, Requests: 10, LatencyRatioSum: 5, Failures: 5}
	b.Add(now, o)
	if s := b.Scores(now.Add(time.Second)); len(s) != 1 || s[0].FailureRate < 0.4 || s[0].Age != time.Second {
		t.Errorf("%+v", s)
	}
	if s := b.Scores(now.Add(time.Minute)); len(s) != 0 {
		t.Errorf("after a minute: %+v", s)
	}
}
