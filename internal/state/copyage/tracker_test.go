package copyage_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/copyage"
)

// recorder records the events by number.
type recorder struct {
	mu      sync.Mutex
	numbers []event.Number
}

func (r *recorder) Emit(n event.Number, _, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers = append(r.numbers, n)
}

// events returns the events so far.
func (r *recorder) events() []event.Number {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.numbers)
}

// TestReportsOutdatedCopy checks that a copy is reported when it reaches the limit
// without any call returning, and when it is current again.
func TestReportsOutdatedCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		a := copyage.New(copyage.Config{Limit: 3 * time.Second, Events: r})
		defer a.Close()
		for range 4 {
			a.Confirm("the store", boottime.Now())
			time.Sleep(2 * time.Second)
		}
		if len(r.events()) != 0 {
			t.Fatal("a copy that is confirmed in time was reported:", r.events())
		}
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if !slices.Equal(r.events(), []event.Number{event.CopyOutdated}) {
			t.Fatal("after 3.5 s:", r.events())
		}
		// The relay answers, but has lost the store itself.
		a.Confirm("relay", boottime.Now().Add(-3100*time.Millisecond))
		if len(r.events()) != 1 {
			t.Fatal("an answer that is as old as the copy:", r.events())
		}
		a.Confirm("the store", boottime.Now())
		if !slices.Equal(r.events(), []event.Number{event.CopyOutdated, event.CopyCurrent}) {
			t.Fatal("after a confirmation:", r.events())
		}
	})
}

// TestOlderConfirmation checks that a confirmation never makes the copy older.
func TestOlderConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := copyage.New(copyage.Config{})
		defer a.Close()
		a.Confirm("the store", boottime.Now())
		a.Confirm("relay", boottime.Now().Add(-time.Second))
		if d := a.Age(); d >= time.Second {
			t.Errorf("age %s", d)
		}
	})
}
