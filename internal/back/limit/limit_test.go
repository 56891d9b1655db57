package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

var start = time.Unix(1_000_000, 0)

func TestLimitStaysWithinTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxCalls := rapid.IntRange(1, 30).Draw(t, "max")
		l, now := New(Config{Max: maxCalls}), start
		for range rapid.IntRange(0, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			l.Update(now, Sample{Service: time.Duration(rapid.IntRange(0, 100).Draw(t, "service")) * time.Millisecond,
				Shed: rapid.Bool().Draw(t, "shed"), InFlight: rapid.IntRange(0, 40).Draw(t, "in flight")})
			if a := l.Allowed(); a < 1 || a > maxCalls {
				t.Fatalf("%d calls allowed, want 1 to %d", a, maxCalls)
			}
		}
	})
}

// feed reports the end of n calls, one per millisecond.
func feed(l *Limit, now *time.Time, n int, s Sample) {
	for range n {
		*now = now.Add(time.Millisecond)
		s.InFlight = l.Allowed()
		l.Update(*now, s)
	}
}

func TestLimitAdaptsToServiceTime(t *testing.T) {
	l, now := New(Config{Max: 16}), start
	feed(&l, &now, 100, Sample{Service: time.Millisecond})
	if l.Allowed() != 16 {
		t.Fatalf("%d allowed after successful calls only, want 16", l.Allowed())
	}
	for range 20 {
		feed(&l, &now, 99, Sample{Service: time.Millisecond})
		feed(&l, &now, 1, Sample{Service: 20 * time.Millisecond})
	}
	if l.Allowed() != 16 {
		t.Fatalf("%d allowed with one straggler in a hundred", l.Allowed())
	}
	feed(&l, &now, 1, Sample{Shed: true})
	once := l.Allowed()
	feed(&l, &now, 1, Sample{Shed: true})
	if once >= 16 || l.Allowed() != once {
		t.Fatalf("%d, then %d allowed: a burst of shed calls must lower the limit once", once, l.Allowed())
	}
	feed(&l, &now, 200, Sample{Service: 20 * time.Millisecond})
	low := l.Allowed()
	if low > 4 {
		t.Fatalf("%d allowed at 20 times the service time, want at most 4", low)
	}
	feed(&l, &now, 3000, Sample{Service: time.Millisecond})
	if l.Allowed() != 16 {
		t.Fatalf("%d allowed after the service time recovered, want 16", l.Allowed())
	}
	feed(&l, &now, 60_000, Sample{Service: 20 * time.Millisecond})
	if l.Allowed() <= low {
		t.Fatalf("limit of a permanently slower searcher stays at %d", l.Allowed())
	}
	f := New(Config{Max: 4, Fixed: true})
	feed(&f, &now, 9, Sample{Shed: true})
	if f.Allowed() != 4 {
		t.Fatal("fixed limit changed")
	}
}
