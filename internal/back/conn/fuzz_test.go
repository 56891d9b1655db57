package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzAnswer sends arbitrary bytes as the answer and closes the connection. The
// exchange must end exactly once, and an accepted answer must match the request
// and have a body if it announces one.
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
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			b := make([]byte, 64)
			if _, err := server.Read(b); err != nil {
				return
			}
			_ = server.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = server.Write(answer)
		}()
		k := New(client, Config{})
		results := make(chan Result, 2)
		matches := func(h http.Header) bool { return h.Get("Id") == "a" }
		if !k.Start(Request{Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\n\r\n"), Matches: matches,
			Done: func(r Result) { results <- r }}) {
			t.Fatal("Start returned false on a new connection")
		}
		r := <-results
		k.Close()
		k.Wait()
		if len(results) > 0 {
			t.Fatal("the exchange ended twice")
		}
		if !r.Sent {
			t.Error("Sent is false for a request that was sent")
		}
		if r.Err == nil && !matches(r.Header) {
			t.Errorf("accepted the answer %d %v to another request", r.Status, r.Header)
		}
		if n := r.Header.Get("Content-Length"); r.Err == nil && n != "" && n != "0" && len(r.Body) == 0 && r.Status/100 == 2 && r.Status != http.StatusNoContent {
			t.Errorf("Content-Length %s, but the body is empty", n)
		}
	})
}

// TestEndInBody truncates an answer after each byte and checks that only the
// complete answer is accepted.
func TestEndInBody(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd"
	for n := range len(whole) + 1 {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Read(make([]byte, 64))
			_, _ = io.WriteString(server, whole[:n])
			_ = server.Close()
		}()
		k, err := Dial(t.Context(), Config{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }})
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

// TestEndInHead: an answer that ended within its head, with the connection closed, must
// not be taken for a whole one with an empty or short body, however it is framed.
func TestEndInHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1200\r\nStamp: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nId: mine\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: mine\r\n\r\n",
		"HTTP/1.1 200 OK\nId: mine\n\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nId: mine\r\n\r\n",
	} {
		for n := range len(head) {
			r, _ := roundTrip(t, func(server net.Conn) { _, _ = io.WriteString(server, head[:n]) })
			if r.Err == nil {
				t.Errorf("accepted %q as status %d with body %q", head[:n], r.Status, r.Body)
			}
		}
	}
}
