package instance_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/state/registry"
)

// limitedInstance returns an instance of a searcher that accepts 4 requests a second from
// two VMs.
func limitedInstance(t *testing.T) *instance.Instance {
	p := &fakeSearcher{}
	i := instance.New(instance.Config{Conns: instance.ConnLimits{MinOpen: 2, MaxOpen: 2}, Dial: p.dial,
		Searcher:   registry.Searcher{ID: "i-1", Slots: 2, State: registry.Ready},
		LimitShare: func(_ string, perSecond float64) float64 { return perSecond / 2 }})
	t.Cleanup(i.Close)
	synctest.Wait()
	i.RecordLimit(4)
	return i
}

// TestQueuedRequestsKeepLimit: requests that waited for a connection, which then leave
// together, must not exceed the limit; those that are not sent must not use it up.
func TestQueuedRequestsKeepLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := limitedInstance(t)
		var sent atomic.Int64
		built := 0
		for range 8 {
			built++
			expired := built%4 == 0
			i.Send(instance.Request{Method: http.MethodGet, Matches: func(http.Header) bool { return true }, Done: func(conn.Result) {},
				Build: func() []byte {
					if expired {
						return nil
					}
					sent.Add(1)
					return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				}})
		}
		for s := 0; s < 4; s++ {
			synctest.Wait()
			if n := sent.Load(); n > int64(2*s+2) {
				t.Errorf("%d requests sent after %d s, at most %d permitted", n, s, 2*s+2)
			}
			time.Sleep(time.Second)
		}
		synctest.Wait()
		if n := sent.Load(); n != 6 {
			t.Errorf("%d of 6 requests sent after 4 s", n)
		}
	})
}

// TestLimitEnds checks that requests are sent at once when the searcher names no limit
// any more, but not because of an answer that was under way when it did.
func TestLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := limitedInstance(t)
		earlier := time.Now().Add(-time.Millisecond)
		i.RecordNoLimit(earlier)
		if c := i.Candidate(time.Now(), "a", time.Millisecond); !c.Limited {
			t.Error("an answer to a request from before ended the limit")
		}
		time.Sleep(time.Millisecond)
		i.RecordNoLimit(time.Now())
		for range 20 {
			if err := sendRequest(i); err != nil {
				t.Fatal(err)
			}
		}
		if c := i.Candidate(time.Now(), "a", time.Millisecond); c.Limited || c.LimitWait != 0 || c.LimitSpare != 1 {
			t.Errorf("%+v", c)
		}
	})
}

// TestUnreadableLimit checks that a limit that is not a number leaves the last one.
func TestUnreadableLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := limitedInstance(t)
		i.RecordUnreadableLimit("many")
		if c := i.Candidate(time.Now(), "a", time.Millisecond); !c.Limited {
			t.Error("no limit")
		}
	})
}

// TestCloseAtLimit checks that closing fails the requests that wait for the limit.
func TestCloseAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := limitedInstance(t)
		for range 3 {
			// Uses up the burst.
			go func() { _ = sendRequest(i) }()
		}
		synctest.Wait()
		failed := make(chan error, 1)
		go func() { failed <- sendRequest(i) }()
		synctest.Wait()
		i.Close()
		if err := <-failed; err == nil {
			t.Error("a request that waited for the limit was sent")
		}
	})
}
