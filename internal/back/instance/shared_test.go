package instance_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/scoreboard"
	"egrethaven/internal/state/registry"
)

// TestSharedSpeed plays a VM of a large tier that meets a pause and, later, is
// told by the others of a searcher that is slow. One slow answer is forgotten
// within a second, as the others saw nothing; what the others saw lasts for
// seconds, and fades once nobody sees it any more.
func TestSharedSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peer{}
		told := 0
		i := instance.New(instance.Config{Searcher: registry.Searcher{ID: "i", Slots: 4}, Dial: p.dial,
			Observe: func(float64, bool) { told++ }})
		defer i.Close()
		factor := func() float64 {
			return i.Candidate(time.Now(), "", 10*time.Millisecond).SlowdownFactor
		}
		time.Sleep(time.Minute)
		i.Hear(time.Now(), scoreboard.Score{Factor: 1})
		i.Learn(instance.Served, 110*time.Millisecond, 10*time.Millisecond)
		if f := factor(); f < 5 || told != 1 {
			t.Errorf("just met a pause: factor %g, told %d times", f, told)
		}
		time.Sleep(time.Second)
		i.Hear(time.Now(), scoreboard.Score{Factor: 1})
		if f := factor(); f > 1.5 {
			t.Errorf("a second after a pause that nobody else saw: factor %g", f)
		}
		i.Hear(time.Now(), scoreboard.Score{Factor: 11, Failures: 0.5})
		time.Sleep(250 * time.Millisecond)
		if f := factor(); f < 4 {
			t.Errorf("just told that it is slow: factor %g", f)
		}
		for range 120 {
			time.Sleep(250 * time.Millisecond)
			i.Hear(time.Now(), scoreboard.Score{Factor: 11, Age: 30 * time.Second})
		}
		if f := factor(); f > 2 {
			t.Errorf("nobody saw it for half a minute: factor %g", f)
		}
	})
}

// TestSharingEnds stops telling a VM what others see: it goes by what it sees
// itself, as long as that counts for a VM on its own.
func TestSharingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peer{}
		i := instance.New(instance.Config{Searcher: registry.Searcher{ID: "i", Slots: 4}, Dial: p.dial})
		defer i.Close()
		time.Sleep(time.Minute)
		i.Hear(time.Now(), scoreboard.Score{Factor: 20})
		i.Learn(instance.Served, 50*time.Millisecond, 10*time.Millisecond)
		time.Sleep(2 * time.Second)
		if f := i.Candidate(time.Now(), "", 10*time.Millisecond).SlowdownFactor; f < 1.5 || f > 5 {
			t.Errorf("factor %g", f)
		}
	})
}

// TestCrowded asks a searcher that accepts a connection and resets it a moment
// later, as one does that still has those of a process before. While searchers
// may be crowded, nothing is sent on such a connection, so nothing is lost.
func TestCrowded(t *testing.T) {
	for crowded, sent := range map[bool]bool{true: false, false: true} {
		synctest.Test(t, func(t *testing.T) {
			i := instance.New(instance.Config{Searcher: registry.Searcher{ID: "i", Slots: 4}, Conns: instance.Conns{Most: 1},
				Crowded: func(time.Time) bool { return crowded },
				Dial: func(context.Context, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						_, _ = io.CopyN(io.Discard, far, 1)
						_ = far.Close()
					}()
					time.AfterFunc(3*time.Millisecond, func() { _ = far.Close() })
					return near, nil
				}})
			defer i.Close()
			done := make(chan conn.Result, 1)
			i.Send(instance.Request{Method: "GET", Build: func() []byte { return []byte("GET / HTTP/1.1\r\n\r\n") },
				Owns: func(http.Header) bool { return true }, Done: func(r conn.Result) { done <- r }})
			if r := <-done; r.Err == nil || r.Sent != sent {
				t.Errorf("crowded %v: sent %v, error %v", crowded, r.Sent, r.Err)
			}
		})
	}
}
