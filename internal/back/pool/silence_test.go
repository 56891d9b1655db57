package pool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

func TestClassify(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		e    CallTiming
		want CallState
	}{
		{CallTiming{Elapsed: 49 * ms, TypicalService: ms, Overtaken: true}, OnTime},
		{CallTiming{Elapsed: 51 * ms, TypicalService: ms, Overtaken: true}, Silent},
		{CallTiming{Elapsed: 51 * ms, TypicalService: ms}, Late},
		{CallTiming{Elapsed: 390 * ms, TypicalService: 10 * ms, Overtaken: true}, OnTime},
		{CallTiming{Elapsed: 401 * ms, TypicalService: 10 * ms, Overtaken: true}, Silent},
		{CallTiming{Elapsed: 199 * ms, Overtaken: true}, OnTime},
		{CallTiming{Elapsed: 3 * time.Second, TypicalService: time.Second}, Late},
		// A call is found silent while there is time to repeat it.
		{CallTiming{Elapsed: 740 * ms, Allowed: 3 * time.Second, TypicalService: 50 * ms, Overtaken: true}, OnTime},
		{CallTiming{Elapsed: 760 * ms, Allowed: 3 * time.Second, TypicalService: 50 * ms, Overtaken: true}, Silent},
		{CallTiming{Elapsed: 760 * ms, Allowed: 3 * time.Second, TypicalService: 50 * ms}, Late},
		// A slow searcher is not a silent connection.
		{CallTiming{Elapsed: 990 * ms, Allowed: 3 * time.Second, TypicalService: 100 * ms, Overtaken: true}, OnTime},
		{CallTiming{Elapsed: 1010 * ms, Allowed: 3 * time.Second, TypicalService: 100 * ms, Overtaken: true}, Silent},
		{CallTiming{Elapsed: 49 * ms, Allowed: 20 * ms, TypicalService: ms, Overtaken: true}, OnTime},
	} {
		if got := Classify(c.e); got != c.want {
			t.Errorf("%+v: %v, want %v", c.e, got, c.want)
		}
	}
}

// TestDeadlineShortensSilenceTimeout checks that a deadline never makes the timeout
// longer, and that it stays above minSilenceFactor times the service time.
func TestDeadlineShortensSilenceTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "typical service"))
		e := CallTiming{TypicalService: d, Allowed: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "allowed"))}
		got, limit := e.SilenceTimeout(), SilenceTimeout(d)
		if got > limit || got < min(minSilenceFactor*d, limit) || got < minSilenceTimeout {
			t.Fatalf("%+v: %s, without a deadline %s", e, got, limit)
		}
		if i := checkInterval(d); i > limit/2 || i <= 0 {
			t.Fatalf("checked each %s with a timeout of %s", i, limit)
		}
	})
}

// TestFrozenSearcherIsFoundInTime: a searcher that accepts connections but answers
// nothing is found by a probe that fails, which could last until the deadline of the
// calls that wait for it. A call that is late, and a probe after it, take half of the
// time allowed.
func TestFrozenSearcherIsFoundInTime(t *testing.T) {
	e := CallTiming{Allowed: 3 * time.Second, TypicalService: 60 * time.Millisecond}
	if d := e.SilenceTimeout() + e.ProbeTimeout(); d > e.Allowed/2 {
		t.Errorf("found after %s of %s", d, e.Allowed)
	}
	for _, c := range []struct{ typical, want time.Duration }{
		{0, maxSilenceTimeout}, {time.Millisecond, minProbeTimeout}, {10 * time.Millisecond, 400 * time.Millisecond}, {time.Second, maxSilenceTimeout},
	} {
		if got := (CallTiming{TypicalService: c.typical}).ProbeTimeout(); got != c.want {
			t.Errorf("probe of a new link with a service time of %s: %s, want %s", c.typical, got, c.want)
		}
	}
}
