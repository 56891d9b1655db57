package readbudget_test

import (
	"runtime"
	"testing"
	"time"

	"egrethaven/internal/infra/readbudget"
)

// TestForce: memory that is in use already counts at once, and older claims give way to it.
func TestForce(t *testing.T) {
	b := readbudget.New(readbudget.Config{Limit: 100, ByAge: true})
	aborted := map[string]int{}
	open := func(name string) *readbudget.Claim {
		return b.Open(func() { aborted[name]++ })
	}
	old, fixed := open("old"), b.Open(nil)
	old.Force(60)
	fixed.Force(30)
	time.Sleep(10 * time.Millisecond)
	fresh := open("fresh")
	fresh.Force(50)
	if b.Used() != 140 || aborted["old"] != 1 || aborted["fresh"] != 0 {
		t.Errorf("%d bytes in use, aborted %v", b.Used(), aborted)
	}
	// The memory of what was aborted is as good as free, so that nothing else has to give way.
	fresh.Force(10)
	old.Force(1000)
	if !old.Release() || b.Used() != 90 || len(aborted) != 1 {
		t.Errorf("%d bytes in use after the release, aborted %v", b.Used(), aborted)
	}
	// What does not give way may exceed the limit.
	fixed.Force(100)
	if b.Used() != 190 || aborted["fresh"] != 1 {
		t.Errorf("%d bytes in use, aborted %v", b.Used(), aborted)
	}
}

// TestDisown: a response that is handed to another budget counts there only, also once its
// memory is used again.
func TestDisown(t *testing.T) {
	const size = 1 << 20
	from, to := readbudget.New(readbudget.Config{Limit: 2 * size}), readbudget.New(readbudget.Config{Limit: 2 * size, MinKept: 1})
	body := make([]byte, size)
	from.Open(nil).Keep(body)
	from.Disown(body)
	from.Disown(body)
	from.Disown(nil)
	c := to.Open(nil)
	c.Force(size)
	if from.Used() != 0 || to.Used() != size {
		t.Errorf("%d and %d bytes in use", from.Used(), to.Used())
	}
	c.Keep(body)
	if to.Used() != size {
		t.Errorf("%d bytes in use after the response was written", to.Used())
	}
	runtime.KeepAlive(body)
	if err := to.Open(func() {}).Grow(2 * size); err != nil {
		t.Errorf("no room once the response is garbage: %v", err)
	}
	if from.Used() != 0 {
		t.Errorf("%d bytes in use where the response did not count any more", from.Used())
	}
}
