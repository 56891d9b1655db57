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
	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/state/registry"
)

// TestSharedScore checks how a VM combines its own observations with shared
// scores: a slow answer that no other VM saw is forgotten within a second; a
// shared slowdown lasts for seconds and decays when no VM observes it any more.
func TestSharedScore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSearcher{}
		observed := 0
		i := instance.New(instance.Config{Searcher: registry.Searcher{ID: "i", Slots: 4}, Dial: p.dial,
			Observe: func(float64, bool) { observed++ }})
		defer i.Close()
		factor := func() float64 {
			return i.Candidate(time.Now(), "", 10*time.Millisecond).SlowdownFactor
		}
		time.Sleep(time.Minute)
		i.SetSharedScore(time.Now(), healthscore.Score{SlowdownFactor: 1})
		i.RecordOutcome(instance.Served, 110*time.Millisecond, 10*time.Millisecond)
		if f := factor(); f < 5 || observed != 1 {
			t.Errorf("after a slow answer: factor %g, observed %d times", f, observed)
		}
		time.Sleep(time.Second)
		i.SetSharedScore(time.Now(), healthscore.Score{SlowdownFactor: 1})
		if f := factor(); f > 1.5 {
			t.Errorf("1 s after a slow answer that no other VM saw: factor %g", f)
		}
		i.SetSharedScore(time.Now(), healthscore.Score{SlowdownFactor: 11, FailureRate: 0.5})
		time.Sleep(250 * time.Millisecond)
		if f := factor(); f < 4 {
			t.Errorf("after a shared score of 11: factor %g", f)
		}
		for range 120 {
			time.Sleep(250 * time.Millisecond)
			i.SetSharedScore(time.Now(), healthscore.Score{SlowdownFactor: 11, Age: 30 * time.Second})
		}
		if f := factor(); f > 2 {
			t.Errorf("30 s after the last observation by any VM: factor %g", f)
		}
	})
}

// TestSharedScoreExpires checks that a VM that gets no more shared scores uses
// its own observations, with their slower decay.
func TestSharedScoreExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSearcher{}
		i := instance.New(instance.Config{Searcher: registry.Searcher{ID: "i", Slots: 4}, Dial: p.dial})
		defer i.Close()
		time.Sleep(time.Minute)
		i.SetSharedScore(time.Now(), healthscore.Score{SlowdownFactor: 20})
		i.RecordOutcome(instance.Served, 50*time.Millisecond, 10*time.Millisecond)
		time.Sleep(2 * time.Second)
		if f := i.Candidate(time.Now(), "", 10*time.Millisecond).SlowdownFactor; f < 1.5 || f > 5 {
			t.Errorf("factor %g, want 1.5 to 5", f)
		}
	})
}

// TestNewConnReset connects to a searcher that resets a new connection shortly
// after accepting it, as at its connection limit. While AtConnLimit reports true,
// no request is sent on such a connection, so none is lost.
func TestNewConnReset(t *testing.T) {
	for atConnLimit, sent := range map[bool]bool{true: false, false: true} {
		synctest.Test(t, func(t *testing.T) {
			i := instance.New(instance.Config{Searcher: registry.Searcher{ID: "i", Slots: 4}, Conns: instance.ConnLimits{MaxOpen: 1},
				AtConnLimit: func(time.Time) bool { return atConnLimit },
				Dial: func(context.Context, string) (net.Conn, error) {
					client, server := net.Pipe()
					go func() {
						_, _ = io.CopyN(io.Discard, server, 1)
						_ = server.Close()
					}()
					time.AfterFunc(3*time.Millisecond, func() { _ = server.Close() })
					return client, nil
				}})
			defer i.Close()
			done := make(chan conn.Result, 1)
			i.Send(instance.Request{Method: "GET", Build: func() []byte { return []byte("GET / HTTP/1.1\r\n\r\n") },
				Matches: func(http.Header) bool { return true }, Done: func(r conn.Result) { done <- r }})
			if r := <-done; r.Err == nil || r.Sent != sent {
				t.Errorf("at connection limit %v: sent %v, error %v", atConnLimit, r.Sent, r.Err)
			}
		})
	}
}
