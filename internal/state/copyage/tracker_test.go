package copyage_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/copyage"
)

// recorder records the events by number.
type recorder struct{ numbers []event.Number }

func (r *recorder) Emit(n event.Number, _, _ string) {
	r.numbers = append(r.numbers, n)
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
		if len(r.numbers) != 0 {
			t.Fatal("a copy that is confirmed in time was reported:", r.numbers)
		}
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if !slices.Equal(r.numbers, []event.Number{event.CopyOutdated}) {
			t.Fatal("after 3.5 s:", r.numbers)
		}
		// The relay answers, but has lost the store itself.
		a.Confirm("relay", boottime.Now().Add(-3100*time.Millisecond))
		if len(r.numbers) != 1 {
			t.Fatal("an answer that is as old as the copy:", r.numbers)
		}
		a.Confirm("the store", boottime.Now())
		if !slices.Equal(r.numbers, []event.Number{event.CopyOutdated, event.CopyCurrent}) {
			t.Fatal("after a confirmation:", r.numbers)
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
