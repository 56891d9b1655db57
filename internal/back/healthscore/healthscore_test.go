package healthscore_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"egrethaven/internal/back/healthscore"
)

// simulate lets 31 VMs of a failure domain together send a searcher 27 requests a
// second, as in a large tier, and returns the searcher's score every 250 ms. ratio
// returns the latency ratio of a request sent at time t.
func simulate(ratio func(t time.Duration, r *rand.Rand) float64) []healthscore.Score {
	const vms, perSecond, seconds = 31, 27, 12
	r := rand.New(rand.NewPCG(7, 7))
	b := healthscore.New()
	start := time.Now()
	searcher := healthscore.Process{ID: "i-1", StartedMs: 5}
	var out []healthscore.Score
	observed := [vms]healthscore.Observation{}
	for step := range seconds * 4 {
		at := time.Duration(step) * 250 * time.Millisecond
		for range perSecond / 4 {
			o := &observed[r.IntN(vms)]
			o.Searcher = searcher
			o.Requests++
			o.LatencyRatioSum += ratio(at+rand.N(250*time.Millisecond), r)
		}
		for i := range observed {
			if observed[i].Requests > 0 {
				b.Add(start.Add(at), observed[i])
				observed[i] = healthscore.Observation{}
			}
		}
		s := healthscore.Score{Searcher: searcher, SlowdownFactor: 1}
		if all := b.Scores(start.Add(at)); len(all) > 0 {
			s = all[0]
		}
		out = append(out, s)
	}
	return out
}

// TestSlowSearcher simulates a searcher that is 11 times slower from 4 s to 8 s. The
// score must show this within 1 s, until the end, and be normal 3 s after it.
func TestSlowSearcher(t *testing.T) {
	for step, s := range simulate(func(at time.Duration, _ *rand.Rand) float64 {
		if at >= 4*time.Second && at < 8*time.Second {
			return 11
		}
		return 1
	}) {
		at := time.Duration(step) * 250 * time.Millisecond
		switch {
		case at < 4*time.Second && s.SlowdownFactor > 1, at >= 11*time.Second && s.SlowdownFactor > 1:
			t.Errorf("at %s: slowdown factor %g of a normal searcher, want 1", at, s.SlowdownFactor)
		case at >= 5*time.Second && at < 8*time.Second && s.SlowdownFactor < 6:
			t.Errorf("at %s: slowdown factor %g of a slow searcher, want at least 6", at, s.SlowdownFactor)
		}
	}
}

// TestPausingSearcher simulates a searcher that pauses for 120 ms every 3 s and
// takes 5 times as long for 1 % of the requests. It must not count as slow.
func TestPausingSearcher(t *testing.T) {
	for step, s := range simulate(func(at time.Duration, r *rand.Rand) float64 {
		if in := (at + 2*time.Second) % (3 * time.Second); in < 120*time.Millisecond {
			return float64(120*time.Millisecond-in) / float64(11*time.Millisecond)
		}
		if r.IntN(100) == 0 {
			return 5
		}
		return 1
	}) {
		if s.SlowdownFactor > 3 {
			t.Errorf("step %d: slowdown factor %g, want at most 3", step, s.SlowdownFactor)
		}
	}
}

// TestFailures checks that a searcher that quickly fails half of its requests is
// reported, and removed a minute after its last observation.
func TestFailures(t *testing.T) {
	b, now := healthscore.New(), time.Now()
	o := healthscore.Observation{Searcher: healthscore.Process{ID: "i"}, Requests: 10, LatencyRatioSum: 5, Failures: 5}
	b.Add(now, o)
	if s := b.Scores(now.Add(time.Second)); len(s) != 1 || s[0].FailureRate < 0.4 || s[0].Age != time.Second {
		t.Errorf("scores after 1 s: %+v", s)
	}
	if s := b.Scores(now.Add(time.Minute)); len(s) != 0 {
		t.Errorf("scores after 1 min: %+v, want none", s)
	}
}
