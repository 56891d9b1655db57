package sendlimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"egrethaven/internal/back/sendlimit"
	_ "egrethaven/internal/proof/fixedseed"
)

var start = time.Unix(1000, 0)

// TestRate checks that requests at arbitrary times, of which some are not sent after
// all, stay within the part of the limit and a second's burst, also while the part
// changes, and that Wait tells when the next one may be sent.
func TestRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := float64(rapid.IntRange(1, 12).Draw(rt, "vms"))
		limit := rapid.Float64Range(1, 60).Draw(rt, "limit")
		l := sendlimit.New(func(n float64) float64 { return n / vms })
		l.Name(start, limit)
		var sent []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(rt, "wait") == 0 {
				now = now.Add(l.Wait(now, 0))
				if l.Wait(now, 0) != 0 {
					rt.Fatal("not permitted after Wait")
				}
			}
			if !l.Take(now) {
				continue
			}
			if rapid.IntRange(0, 9).Draw(rt, "not sent") == 0 {
				l.Return()
				continue
			}
			sent = append(sent, now)
			l.Name(now, limit)
		}
		rate := limit / vms
		for i := range sent {
			for j := i; j < len(sent); j++ {
				if allowed := rate*sent[j].Sub(sent[i]).Seconds() + max(1, rate); float64(j-i+1) > allowed+1e-6 {
					rt.Fatalf("%d requests in %s, allowed %.2f", j-i+1, sent[j].Sub(sent[i]), allowed)
				}
			}
		}
	})
}

// TestEnd checks that a limit lasts until the answer to a request that was sent after
// the limit was last named.
func TestEnd(t *testing.T) {
	l := sendlimit.New(func(n float64) float64 { return n })
	l.Name(start, 2)
	if l.End(start.Add(-time.Millisecond)) {
		t.Error("an answer that was under way when the limit was named ended it")
	}
	for l.Take(start) {
	}
	if l.Wait(start, 0) == 0 || l.Spare(start, 0) >= 1 {
		t.Error("no wait at the limit")
	}
	if !l.End(start.Add(time.Millisecond)) || l.Wait(start, 5) != 0 || !l.Take(start) || l.Spare(start, 3) != 1 {
		t.Error("the limit lasts after its end")
	}
}

// TestMoreVMs checks that the part follows the number of VMs.
func TestMoreVMs(t *testing.T) {
	vms := 1.0
	l := sendlimit.New(func(n float64) float64 { return n / vms })
	l.Name(start, 10)
	for l.Take(start) {
	}
	vms = 10
	l.Refresh(start)
	if w := l.Wait(start, 1); w < time.Second || w > 2*time.Second+time.Millisecond {
		t.Errorf("the request after the next after %s, want 1s to 2s", w)
	}
}
