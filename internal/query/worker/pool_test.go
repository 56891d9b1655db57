package worker

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestTasksNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New()
		var ran atomic.Int64
		release := make(chan struct{})
		for range 100 {
			p.Go(func() { <-release; ran.Add(1) })
		}
		close(release)
		synctest.Wait()
		for range 100 {
			p.Go(func() { ran.Add(1) })
		}
		synctest.Wait()
		if ran.Load() != 200 {
			t.Fatalf("%d of 200 tasks ran", ran.Load())
		}
		time.Sleep(3 * trimInterval)
		p.Go(func() { ran.Add(1) })
		p.Close()
		if ran.Load() != 201 {
			t.Fatal("a task did not run after the idle goroutines had ended")
		}
	})
}
