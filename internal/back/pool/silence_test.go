package pool

import (
	"testing"
	"time"
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
	} {
		if got := Classify(c.e); got != c.want {
			t.Errorf("%+v: %v, want %v", c.e, got, c.want)
		}
	}
}
