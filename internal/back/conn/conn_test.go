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

// matchesMine reports whether an answer belongs to the test's request.
func matchesMine(h http.Header) bool { return h.Get("Id") == "mine" }

// roundTrip sends one request over a pipe to a searcher simulated by serve.
func roundTrip(t *testing.T, serve func(net.Conn)) (Result, *Conn) {
	client, server := net.Pipe()
	go func() {
		b := make([]byte, 1024)
		_, _ = server.Read(b)
		serve(server)
		_ = server.Close()
	}()
	k := New(client, Config{})
	t.Cleanup(func() { k.Close(); k.Wait() })
	done := make(chan Result, 1)
	if !k.Start(Request{Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\n\r\n"), Matches: matchesMine, Done: func(r Result) { done <- r }}) {
		t.Fatal("Start returned false on a new connection")
	}
	return <-done, k
}

// TestAnswers checks the result and the connection's readiness for various
// answers of a searcher.
func TestAnswers(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nhi"
	theirs := strings.Replace(good, "mine", "theirs", 1)
	for name, c := range map[string]struct {
		answer    string
		body      string
		ok        bool
		readiness Readiness
	}{
		"good":                {good, "hi", true, Usable},
		"chunked":             {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", true, Usable},
		"until EOF":           {"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nhi", "hi", true, Unusable},
		"asks to close":       {strings.Replace(good, "Id:", "Connection: close\r\nId:", 1), "hi", true, Unusable},
		"interim answer":      {"HTTP/1.1 103 Early Hints\r\n\r\n" + good, "hi", true, Usable},
		"other answer first":  {theirs + good, "hi", true, Unusable},
		"other answer only":   {theirs, "", false, Unusable},
		"short":               {strings.Replace(good, ": 2", ": 5", 1), "", false, Unusable},
		"no protocol":         {"hello\r\n\r\n", "", false, Unusable},
		"nothing":             {"", "", false, Unusable},
		"status 000":          {strings.Replace(good, "200", "000", 1), "", false, Unusable},
		"status 600":          {strings.Replace(good, "200", "600", 1), "", false, Unusable},
		"switching":           {strings.Replace(good, "200", "101", 1), "", false, Unusable},
		"204 with a body":     {strings.Replace(good, "200", "204", 1), "", false, Unusable},
		"two lengths":         {strings.Replace(good, "Id:", "Content-Length: 2\r\nId:", 1), "", false, Unusable},
		"announces its close": {strings.Replace(good, "Id:", "Keep-Alive: timeout=0\r\nId:", 1), "hi", true, Unusable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				release := make(chan struct{})
				r, k := roundTrip(t, func(server net.Conn) {
					_, _ = io.WriteString(server, c.answer)
					if c.ok && c.readiness == Usable {
						<-release
					}
				})
				time.Sleep(time.Millisecond)
				if (r.Err == nil) != c.ok || c.ok && string(r.Body) != c.body || !r.Sent {
					t.Errorf("got %q, %v", r.Body, r.Err)
				}
				if got := k.Readiness(time.Now()); got != c.readiness {
					t.Errorf("readiness %v, want %v", got, c.readiness)
				}
				close(release)
			})
		})
	}
}

// TestSurplusBytes checks that a connection is not reused after unsolicited bytes.
func TestSurplusBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, k := roundTrip(t, func(server net.Conn) {
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(time.Second)
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n")
		})
		// Over a pipe the end of the write may be recorded after the answer.
		synctest.Wait()
		if r.Err != nil || k.Readiness(time.Now()) != Usable {
			t.Fatalf("%v, %v", r.Err, k.Readiness(time.Now()))
		}
		time.Sleep(2 * time.Second)
		if got := k.Readiness(time.Now()); got != Unusable {
			t.Errorf("readiness %v after unsolicited bytes, want Unusable", got)
		}
	})
}

// TestClose checks that Close ends an exchange in progress with ErrClosed.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer server.Close()
		go func() { _, _ = io.Copy(io.Discard, server) }()
		k := New(client, Config{})
		done := make(chan Result, 1)
		k.Start(Request{Method: http.MethodGet, Bytes: []byte("x"), Matches: matchesMine, Done: func(r Result) { done <- r }})
		k.Close()
		if r := <-done; !errors.Is(r.Err, ErrClosed) {
			t.Errorf("exchange ended with %v, want ErrClosed", r.Err)
		}
		k.Wait()
	})
}
