package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzAnswer sends arbitrary bytes in the place of an answer and ends the
// connection. The exchange ends once; an answer that is taken belongs to it
// and has the length that it announced, and the connection is used again only
// after a whole one.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nId: a\r\nConnection: close\r\n\r\nlate",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\nsurplus",
		"\x00\xff no answer",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			b := make([]byte, 64)
			if _, err := far.Read(b); err != nil {
				return
			}
			_ = far.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = far.Write(answer)
		}()
		k := New(near, Config{})
		results := make(chan Result, 2)
		owns := func(h http.Header) bool { return h.Get("Id") == "a" }
		if !k.Start(Request{Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\n\r\n"), Matches: owns,
			Done: func(r Result) { results <- r }}) {
			t.Fatal("a new connection carries no exchange")
		}
		r := <-results
		k.Close()
		k.Wait()
		if len(results) > 0 {
			t.Fatal("the exchange ended twice")
		}
		if !r.Sent {
			t.Error("the request was sent, but is not said to have been")
		}
		if r.Err == nil && !owns(r.Header) {
			t.Errorf("took the answer %d %v of another request", r.Status, r.Header)
		}
		if n := r.Header.Get("Content-Length"); r.Err == nil && n != "" && n != "0" && len(r.Body) == 0 && r.Status/100 == 2 && r.Status != http.StatusNoContent {
			t.Errorf("%s bytes announced, none taken", n)
		}
	})
}

// TestEndInBody breaks an answer off at each of its bytes: none of them but
// the whole one is taken.
func TestEndInBody(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd"
	for n := range len(whole) + 1 {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 64))
			_, _ = io.WriteString(far, whole[:n])
			_ = far.Close()
		}()
		k, err := Dial(t.Context(), Config{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan Result, 1)
		k.Start(Request{Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\n\r\n"),
			Matches: func(http.Header) bool { return true }, Done: func(r Result) { done <- r }})
		if r := <-done; (r.Err == nil) != (n == len(whole)) {
			t.Errorf("after %d of %d bytes: %d %q, %v", n, len(whole), r.Status, r.Body, r.Err)
		}
		k.Close()
		k.Wait()
	}
}
