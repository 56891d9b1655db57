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

// countingSender sends requests to an instance and counts those that were sent.
type countingSender struct {
	i    *instance.Instance
	sent atomic.Int64
}

// send sends n requests.
func (s *countingSender) send(n int) {
	for range n {
		s.i.Send(instance.Request{Method: http.MethodGet, Matches: func(http.Header) bool { return true }, Done: func(conn.Result) {},
			Build: func() []byte { s.sent.Add(1); return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }})
	}
	synctest.Wait()
}

// TestCold: a cold searcher got as many requests as others. It becomes cold by its entry or by
// an answer, and what it got just before counts.
func TestCold(t *testing.T) {
	for name, becomeCold := range map[string]func(i *instance.Instance, s registry.Searcher, d time.Duration){
		"entry": func(i *instance.Instance, s registry.Searcher, d time.Duration) {
			s.ColdUntil = time.Now().Add(d)
			i.Update(s, instance.ConnLimits{MinOpen: 2, MaxOpen: 2})
		},
		"answer": func(i *instance.Instance, _ registry.Searcher, d time.Duration) { i.RecordCold(time.Now(), d) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, r := &fakeSearcher{}, registry.Searcher{ID: "i-1", Slots: 2, State: registry.Ready}
				s := countingSender{i: instance.New(instance.Config{Conns: instance.ConnLimits{MinOpen: 2, MaxOpen: 2}, Dial: p.dial, Searcher: r})}
				defer s.i.Close()
				s.i.SetColdShare(2)
				time.Sleep(2 * instance.ColdWindow)
				s.send(1)
				s.send(1)
				s.send(1)
				if n := s.sent.Load(); n != 3 {
					t.Fatalf("%d of 3 requests sent to a warm searcher", n)
				}
				becomeCold(s.i, r, 4*instance.ColdWindow-time.Millisecond)
				c := s.i.Candidate(time.Now(), "a", time.Millisecond)
				if !c.Cold || !c.Limited || c.LimitSpare != 0 || c.LimitWait <= 0 || c.LimitWait > instance.ColdWindow+time.Millisecond {
					t.Errorf("%+v", c)
				}
				s.send(8)
				for w := range 3 {
					if n := s.sent.Load(); n != int64(3+2*w) {
						t.Errorf("%d requests sent after %d windows, want %d", n, w, 3+2*w)
					}
					time.Sleep(instance.ColdWindow + 2*time.Millisecond)
					synctest.Wait()
				}
				// Warm again.
				time.Sleep(instance.ColdWindow)
				synctest.Wait()
				if n := s.sent.Load(); n != 11 {
					t.Errorf("%d of 11 requests sent once the searcher is warm", n)
				}
			})
		})
	}
}

// TestColdShares checks the ends of the limit: no share, a new instance, which does not know
// what an earlier one has sent, no limit, and an answer that says that it is over.
func TestColdShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSearcher{}
		i := instance.New(instance.Config{Conns: instance.ConnLimits{MinOpen: 2, MaxOpen: 2}, Dial: p.dial, Searcher: registry.Searcher{ID: "i-1", Slots: 2, State: registry.Ready}})
		defer i.Close()
		synctest.Wait()
		wait := func() time.Duration { return i.Candidate(time.Now(), "a", time.Millisecond).LimitWait }
		i.RecordCold(time.Now(), time.Minute)
		if w := wait(); w != 0 {
			t.Errorf("without a limit: wait %s", w)
		}
		if i.SetColdShare(3); wait() != instance.ColdWindow {
			t.Errorf("new instance: wait %s, want %s", wait(), instance.ColdWindow)
		}
		time.Sleep(instance.ColdWindow)
		if w := wait(); w != 0 {
			t.Errorf("after a window: wait %s", w)
		}
		if i.SetColdShare(0); wait() != time.Minute-instance.ColdWindow {
			t.Errorf("without a share: wait %s, want the rest of a minute", wait())
		}
		early := time.Now()
		time.Sleep(time.Second)
		i.RecordCold(time.Now(), time.Minute)
		if i.RecordCold(early, 0); wait() != time.Minute {
			t.Errorf("after an answer to an earlier request: wait %s", wait())
		}
		time.Sleep(time.Millisecond)
		if i.RecordCold(time.Now(), 0); wait() != 0 {
			t.Errorf("after the searcher said that it is warm: wait %s", wait())
		}
		i.RecordCold(time.Now(), time.Minute)
		if i.SetColdShare(-1); wait() != 0 {
			t.Errorf("limit removed: wait %s", wait())
		}
	})
}

// TestColdEntryReadAgain: a searcher stayed cold for its whole time again whenever its entry
// was read again, and after it had said in an answer that it is warm.
func TestColdEntryReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSearcher{}
		entry := func(seq int64, cold time.Duration) registry.Searcher {
			return registry.Searcher{ID: "i-1", Slots: 2, State: registry.Ready, StartedMs: 7, Seq: seq, ColdUntil: time.Now().Add(cold)}
		}
		i := instance.New(instance.Config{Conns: instance.ConnLimits{MinOpen: 2, MaxOpen: 2}, Dial: p.dial, Searcher: entry(1, 4*time.Second)})
		defer i.Close()
		synctest.Wait()
		for n, c := range []struct {
			change func()
			cold   bool
		}{
			{func() {}, true},
			{func() { i.Update(entry(1, 4*time.Second), instance.ConnLimits{}) }, true},
			{func() { time.Sleep(4 * time.Second) }, false},
			{func() { i.Update(entry(2, time.Minute), instance.ConnLimits{}) }, true},
			{func() { i.RecordCold(time.Now().Add(-time.Second), 0) }, true},
			{func() { i.RecordCold(time.Now(), 0) }, false},
			{func() { i.Update(entry(2, time.Minute), instance.ConnLimits{}) }, false},
			{func() { i.Update(entry(3, time.Minute), instance.ConnLimits{}) }, true},
			{func() { i.Update(entry(4, 0), instance.ConnLimits{}) }, false},
			{func() { i.RecordCold(time.Now(), time.Minute) }, true},
			{func() { i.Update(entry(5, 0), instance.ConnLimits{}) }, true},
		} {
			time.Sleep(time.Millisecond)
			c.change()
			if got := i.Candidate(time.Now(), "a", time.Millisecond).Cold; got != c.cold {
				t.Errorf("step %d: cold %t, want %t", n, got, c.cold)
			}
		}
	})
}
