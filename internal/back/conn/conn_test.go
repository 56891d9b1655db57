package conn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// owned takes the answers of one request.
func owned(h http.Header) bool { return h.Get("Id") == "mine" }

// converse sends one request over a pipe whose other end is run by far.
func converse(t *testing.T, far func(net.Conn)) (Result, *Conn) {
	near, other := net.Pipe()
	go func() {
		b := make([]byte, 1024)
		_, _ = other.Read(b)
		far(other)
		_ = other.Close()
	}()
	k := New(near, Config{})
	t.Cleanup(func() { k.Close(); k.Wait() })
	done := make(chan Result, 1)
	if !k.Start(Request{Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\n\r\n"), Matches: owned, Done: func(r Result) { done <- r }}) {
		t.Fatal("a new connection takes no request")
	}
	return <-done, k
}

// TestAnswers plays what a searcher may send, and checks the result and
// whether the connection may be used again.
func TestAnswers(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nhi"
	theirs := strings.Replace(good, "mine", "theirs", 1)
	for name, c := range map[string]struct {
		say  string
		body string
		ok   bool
		next Readiness
	}{
		"good":                {good, "hi", true, Usable},
		"chunked":             {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", true, Usable},
		"until the end":       {"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nhi", "hi", true, Unusable},
		"asks to close":       {strings.Replace(good, "Id:", "Connection: close\r\nId:", 1), "hi", true, Unusable},
		"interim answer":      {"HTTP/1.1 103 Early Hints\r\n\r\n" + good, "hi", true, Usable},
		"another's first":     {theirs + good, "hi", true, Unusable},
		"another's only":      {theirs, "", false, Unusable},
		"short":               {strings.Replace(good, ": 2", ": 5", 1), "", false, Unusable},
		"no protocol":         {"hello\r\n\r\n", "", false, Unusable},
		"nothing":             {"", "", false, Unusable},
		"announces its close": {strings.Replace(good, "Id:", "Keep-Alive: timeout=0\r\nId:", 1), "hi", true, Unusable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hold := make(chan struct{})
				r, k := converse(t, func(far net.Conn) {
					_, _ = io.WriteString(far, c.say)
					if c.ok && c.next == Usable {
						<-hold
					}
				})
				time.Sleep(time.Millisecond)
				if (r.Err == nil) != c.ok || c.ok && string(r.Body) != c.body || !r.Sent {
					t.Errorf("got %q, %v", r.Body, r.Err)
				}
				if got := k.Readiness(time.Now()); got != c.next {
					t.Errorf("readiness %v, want %v", got, c.next)
				}
				close(hold)
			})
		})
	}
}

// TestSurplusBytes gets bytes on an idle connection: it is not used again.
func TestSurplusBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, k := converse(t, func(far net.Conn) {
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(time.Second)
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n")
		})
		if r.Err != nil || k.Readiness(time.Now()) != Usable {
			t.Fatalf("%v, %v", r.Err, k.Readiness(time.Now()))
		}
		time.Sleep(2 * time.Second)
		if got := k.Readiness(time.Now()); got != Unusable {
			t.Errorf("readiness %v after bytes that nobody asked for", got)
		}
	})
}

// TestClose ends an exchange.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		k := New(near, Config{})
		done := make(chan Result, 1)
		k.Start(Request{Method: http.MethodGet, Bytes: []byte("x"), Matches: owned, Done: func(r Result) { done <- r }})
		k.Close()
		if r := <-done; !errors.Is(r.Err, ErrClosed) {
			t.Errorf("ended with %v", r.Err)
		}
		k.Wait()
	})
}
