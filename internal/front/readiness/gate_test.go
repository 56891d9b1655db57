package readiness_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/front/readiness"
	"egrethaven/internal/query/outcome"
)

// TestShutdownCompletesRequests checks that a shutdown waits for requests admitted
// before it and during the balancer lag.
func TestShutdownCompletesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := readiness.New(readiness.Config{MaxInFlight: 2})
		if _, o := g.Acquire(); o != outcome.NotRun(outcome.NotReady) {
			t.Error("request before ready:", o)
		}
		g.SetReady()
		first, _ := g.Acquire()
		start := time.Now()
		done := make(chan int)
		go func() { done <- g.Shutdown(t.Context(), 5*time.Second, 30*time.Second) }()
		time.Sleep(time.Second)
		w := httptest.NewRecorder()
		if g.ServeReady(w, nil); w.Code != 503 {
			t.Error("/ready while draining:", w.Code)
		}
		second, o := g.Acquire()
		if !o.OK() {
			t.Error("request during the balancer lag:", o)
		}
		if _, o := g.Acquire(); o != outcome.NotRun(outcome.Shed) {
			t.Error("request above MaxInFlight:", o)
		}
		time.Sleep(5 * time.Second)
		if _, o := g.Acquire(); o != outcome.NotRun(outcome.ShuttingDown) {
			t.Error("request after the balancer lag:", o)
		}
		first()
		time.Sleep(4 * time.Second)
		second()
		if left := <-done; left != 0 || time.Since(start) != 10*time.Second {
			t.Error(left, time.Since(start))
		}
		g.SetReady()
		if ok, _ := g.Ready(); ok {
			t.Error("ready after a shutdown")
		}
	})
}

func TestShutdownDrainLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := readiness.New(readiness.Config{MaxInFlight: 2})
		g.SetReady()
		release, _ := g.Acquire()
		if left := g.Shutdown(t.Context(), time.Second, 2*time.Second); left != 1 {
			t.Error(left)
		}
		release()
	})
}
