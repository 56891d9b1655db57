package pool

import (
	"testing"
	"time"
)

func TestJudge(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		e    Evidence
		want Verdict
	}{
		{Evidence{Waited: 49 * ms, Usual: ms, Passed: true}, Patient},
		{Evidence{Waited: 51 * ms, Usual: ms, Passed: true}, Silent},
		{Evidence{Waited: 51 * ms, Usual: ms}, Doubtful},
		{Evidence{Waited: 390 * ms, Usual: 10 * ms, Passed: true}, Patient},
		{Evidence{Waited: 401 * ms, Usual: 10 * ms, Passed: true}, Silent},
		{Evidence{Waited: 199 * ms, Passed: true}, Patient},
		{Evidence{Waited: 3 * time.Second, Usual: time.Second}, Doubtful},
	} {
		if got := Judge(c.e); got != c.want {
			t.Errorf("%+v: %v, want %v", c.e, got, c.want)
		}
	}
}
