package readbudget_test

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"egrethaven/internal/infra/readbudget"
	_ "egrethaven/internal/proof/fixedseed"
)

// TestLargestGivesWay checks that a small response gets the memory of the largest one, once
// that is released.
func TestLargestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := readbudget.New(readbudget.Config{Limit: 100})
		var sizes []int64
		b.OnAbort(func(size int64) { sizes = append(sizes, size) })
		var large *readbudget.Claim
		large = b.Open(func() {
			time.AfterFunc(time.Millisecond, func() {
				if !large.Release() {
					t.Error("the large response does not know that it was aborted")
				}
			})
		})
		other, small := b.Open(func() { t.Error("the second largest was aborted") }), b.Open(func() { t.Error("the small one was aborted") })
		if large.Grow(60) != nil || other.Grow(30) != nil {
			t.Fatal("no room though the limit is not reached")
		}
		began := time.Now()
		if err := small.Grow(20); err != nil || time.Since(began) != time.Millisecond {
			t.Errorf("the small one: %v after %s", err, time.Since(began))
		}
		if b.Used() != 50 || len(sizes) != 1 || sizes[0] != 60 {
			t.Errorf("%d bytes in use, aborted with %v bytes", b.Used(), sizes)
		}
	})
}

// TestOldestGivesWay checks with ages that what has held memory for longest gives way to what
// has just come, also if that is larger, and that a claim without abort never does.
func TestOldestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := readbudget.New(readbudget.Config{Limit: 100, ByAge: true})
		var old *readbudget.Claim
		old = b.Open(func() { time.AfterFunc(time.Millisecond, func() { old.Release() }) })
		kept, fresh := b.Open(nil), b.Open(func() { t.Error("the one that has just come was aborted") })
		if kept.Grow(50) != nil || old.Grow(20) != nil {
			t.Fatal("no room though the limit is not reached")
		}
		time.Sleep(time.Second)
		if err := fresh.Grow(45); err != nil || b.Used() != 95 {
			t.Errorf("got %v, %d bytes in use", err, b.Used())
		}
		if err := b.Open(nil).Grow(101); !errors.Is(err, readbudget.ErrExhausted) {
			t.Errorf("got %v for more than the limit", err)
		}
	})
}

// TestLargestFails checks that a response which would become the largest fails itself.
func TestLargestFails(t *testing.T) {
	b := readbudget.New(readbudget.Config{Limit: 100})
	closed := false
	a, other := b.Open(func() { closed = true }), b.Open(func() { t.Error("the smaller one was aborted") })
	if a.Grow(40) != nil || other.Grow(45) != nil {
		t.Fatal("no room though the limit is not reached")
	}
	if err := a.Grow(16); !errors.Is(err, readbudget.ErrExhausted) || !closed {
		t.Errorf("got %v, closed %t", err, closed)
	}
	if !a.Release() || b.Used() != 45 || a.Release() {
		t.Errorf("%d bytes in use after the release", b.Used())
	}
}

// TestReleaseStaysAway checks that Grow does not wait for good for a reader that hangs.
func TestReleaseStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := readbudget.New(readbudget.Config{Limit: 100})
		hanging, small := b.Open(func() {}), b.Open(func() {})
		if err := hanging.Grow(90); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := small.Grow(20); !errors.Is(err, readbudget.ErrExhausted) || time.Since(began) > 2*time.Second {
			t.Errorf("%v after %s", err, time.Since(began))
		}
	})
}

// TestLimitHolds checks with responses of random sizes at a time that the limit is never
// exceeded, that the smallest ones are read, and that nothing stays in use.
func TestLimitHolds(t *testing.T) {
	const limit, steps = 1000, 20
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 400), 1, 40).Draw(rt, "step sizes")
		b := readbudget.New(readbudget.Config{Limit: limit})
		var wg sync.WaitGroup
		for _, size := range sizes {
			wg.Go(func() {
				aborted := make(chan struct{}, 1)
				c := b.Open(func() { aborted <- struct{}{} })
				defer c.Release()
				for range steps {
					select {
					case <-aborted:
						return
					default:
					}
					if c.Grow(int64(size)) != nil {
						return
					}
					if used := b.Used(); used > limit {
						rt.Errorf("%d bytes in use, limit %d", used, limit)
					}
				}
			})
		}
		wg.Wait()
		if b.Used() != 0 {
			rt.Errorf("%d bytes in use after all have ended", b.Used())
		}
	})
}

// TestKeptUntilGarbage checks that a long response counts for as long as it is in use, and
// that it makes room then.
func TestKeptUntilGarbage(t *testing.T) {
	const size = 1 << 20
	b := readbudget.New(readbudget.Config{Limit: size + size/2})
	c := b.Open(func() {})
	if err := c.Grow(2 * size); !errors.Is(err, readbudget.ErrExhausted) {
		t.Fatalf("got %v for more than the limit", err)
	}
	c.Release()
	body := make([]byte, size)
	if err := c.Grow(size); err != nil || c.Keep(body) {
		t.Fatal("the response was aborted")
	}
	if b.Used() != size {
		t.Errorf("%d bytes in use, want %d", b.Used(), size)
	}
	runtime.KeepAlive(body)
	if err := c.Grow(size); err != nil {
		t.Errorf("no room after the response has become garbage: %v", err)
	}
	c.Release()
	c.Keep(make([]byte, 100))
	if b.Used() != 0 {
		t.Errorf("%d bytes in use", b.Used())
	}
}

// TestNoBudget checks that a nil budget has no limit.
func TestNoBudget(t *testing.T) {
	var b *readbudget.Budget
	b.OnAbort(func(int64) {})
	c := b.Open(func() {})
	if err := c.Grow(1 << 50); err != nil || c.Release() || c.Keep(nil) || b.Used() != 0 {
		t.Errorf("got %v", err)
	}
}

// TestOfferedGivesWay: memory that is held without use gives way to a claim that becomes as
// large, and does not once it is in use again.
func TestOfferedGivesWay(t *testing.T) {
	for _, again := range []bool{false, true} {
		b := readbudget.New(readbudget.Config{Limit: 100})
		var held *readbudget.Claim
		held = b.Open(func() { go func() { held.Release() }() })
		err := held.Grow(60)
		held.Offer()
		if again {
			err = held.Grow(0)
		}
		if err != nil || (b.Open(func() {}).Grow(60) != nil) != again || b.Used() != 60 {
			t.Errorf("used again %v: %v, %d bytes in use", again, err, b.Used())
		}
	}
}
