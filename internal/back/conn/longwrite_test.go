package conn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// longRequest is a request that a searcher does not read at once.
var longRequest = "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 100_000)

// TestAnswerBeforeRequestIsWritten: an exchange hung in the write of its request, though the
// searcher had answered it, or its caller gave it up.
func TestAnswerBeforeRequestIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		// serve is what the searcher does with the connection.
		serve func(server net.Conn)
		// closeAfter is when the caller closes the connection; 0 for never.
		closeAfter time.Duration
		status     int
		endsAfter  time.Duration
		// usableAfter is when the connection can carry another exchange; 0 for never.
		usableAfter time.Duration
	}{
		"answers early, reads on later": {func(server net.Conn) {
			_, _ = server.Read(make([]byte, 64))
			_, _ = io.WriteString(server, "HTTP/1.1 503 X\r\nId: mine\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(2 * time.Second)
			_, _ = io.ReadFull(server, make([]byte, len(longRequest)-64))
			time.Sleep(time.Minute)
		}, 0, 503, 0, 2 * time.Second},
		"answers early, reads no more": {func(server net.Conn) {
			_, _ = server.Read(make([]byte, 64))
			_, _ = io.WriteString(server, "HTTP/1.1 200 X\r\nId: mine\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(time.Minute)
		}, 0, 200, 0, 0},
		"reads nothing": {func(net.Conn) { time.Sleep(time.Minute) }, 3 * time.Second, 0, 3 * time.Second, 0},
		"reads one byte a second": {func(server net.Conn) {
			for b := make([]byte, 1); ; time.Sleep(time.Second) {
				if _, err := server.Read(b); err != nil {
					return
				}
			}
		}, 3 * time.Second, 0, 3 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					c.serve(server)
				}()
				var ready atomic.Int64
				began := time.Now()
				k := New(client, Config{OnReady: func() { ready.Store(int64(time.Since(began))) }})
				done := make(chan Result, 1)
				k.Start(Request{Method: http.MethodPost, Bytes: []byte(longRequest), Matches: matchesMine, Done: func(r Result) { done <- r }})
				if took := time.Since(began); took > 0 {
					t.Errorf("Start took %s", took)
				}
				if c.closeAfter > 0 {
					time.AfterFunc(c.closeAfter, k.Close)
				}
				r := <-done
				if r.Status != c.status || time.Since(began) != c.endsAfter {
					t.Errorf("status %d, %v after %s, want %d after %s", r.Status, r.Err, time.Since(began), c.status, c.endsAfter)
				}
				if k.Readiness(time.Now()) == Usable {
					t.Error("the connection is usable before the request is written")
				}
				time.Sleep(10 * time.Second)
				want := Unusable
				if c.usableAfter > 0 {
					want = Usable
				}
				if got := k.Readiness(time.Now()); got != want || time.Duration(ready.Load()) != c.usableAfter {
					t.Errorf("readiness %d later, want %d; ready after %s, want %s", got, want, time.Duration(ready.Load()), c.usableAfter)
				}
				k.Close()
				k.Wait()
				// The searcher ends.
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
