package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"egrethaven/internal/infra/readbudget"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answerBytes and requestBytes are the body sizes of a typical call.
const (
	answerBytes  = 500
	requestBytes = 200
)

func server(t testing.TB) *httptest.Server {
	body := bytes.Repeat([]byte("a"), answerBytes)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	return s
}

// dialServer returns a link to a server that runs f on its connection.
func dialServer(t *testing.T, f func(c net.Conn)) *Link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan bool)
	go func() {
		defer close(done)
		c, err := ln.Accept()
		if err == nil {
			f(c)
			_ = c.Close()
		}
	}()
	l, err := Dial(t.Context(), Config{Addr: ln.Addr().String(), MaxBody: 1000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); _ = ln.Close(); <-done })
	return l
}

// readRequest reads one request from c.
func readRequest(c net.Conn) {
	b := make([]byte, 4096)
	_, _ = c.Read(b)
}

func TestFailures(t *testing.T) {
	say := func(s string) func(net.Conn) {
		return func(c net.Conn) { readRequest(c); _, _ = io.WriteString(c, s) }
	}
	cases := map[string]struct {
		server   func(net.Conn)
		ok       bool
		reusable bool
	}{
		"good":         {say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), true, true},
		"chunked":      {say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), true, true},
		"close":        {say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"), true, false},
		"interim":      {say("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), true, true},
		"status 000":   {say("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi"), false, false},
		"status 600":   {say("HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nhi"), false, false},
		"switching":    {say("HTTP/1.1 101 X\r\n\r\nhi"), false, false},
		"204, body":    {say("HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\nhi"), false, false},
		"two lengths":  {say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi"), false, false},
		"surplus":      {say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n"), true, false},
		"short":        {say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi"), false, false},
		"too large":    {say("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n"), false, false},
		"large chunks": {say("HTTP/1.1 200 OK\r\n\r\n" + string(bytes.Repeat([]byte("a"), 1001))), false, false},
		"no http":      {say("hello\r\n\r\n"), false, false},
		"half open":    {func(c net.Conn) { readRequest(c); _ = c.(*net.TCPConn).CloseWrite(); readRequest(c) }, false, false},
		"reset":        {func(c net.Conn) { readRequest(c); _ = c.(*net.TCPConn).SetLinger(0) }, false, false},
	}
	for name, c := range cases {
		l := dialServer(t, c.server)
		r := l.Call(t.Context(), http.MethodPost, "/search", []byte("{}"))
		if (r.Err == nil) != c.ok || l.Reusable() != c.reusable || !r.Sent {
			t.Errorf("%s: %+v, reusable %v", name, r, l.Reusable())
		}
		if c.ok && string(r.Body) != "hi" {
			t.Errorf("%s: body %q", name, r.Body)
		}
		if !c.reusable && l.Call(t.Context(), http.MethodGet, "/", nil).Err != ErrBroken {
			t.Errorf("%s: call on a broken link did not return ErrBroken", name)
		}
		l.Close()
	}
}

func TestCancelAndAbortEndCall(t *testing.T) {
	for name, want := range map[string]error{"cancel": context.Canceled, "silent": ErrSilent, "deadline": context.DeadlineExceeded} {
		arrived := make(chan bool)
		l := dialServer(t, func(c net.Conn) { readRequest(c); close(arrived); readRequest(c) })
		ctx, cancel := context.WithCancel(t.Context())
		if name == "deadline" {
			ctx, cancel = context.WithTimeout(t.Context(), time.Millisecond)
		}
		go func() {
			<-arrived
			switch name {
			case "cancel":
				cancel()
			case "silent":
				l.Abort(ErrSilent)
			}
		}()
		r := l.Call(ctx, http.MethodPost, "/search", []byte("{}"))
		cancel()
		if !errors.Is(r.Err, want) || l.Reusable() {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

func TestEndedContextSendsNothing(t *testing.T) {
	l := dialServer(t, func(c net.Conn) { readRequest(c) })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r := l.Call(ctx, http.MethodPost, "/search", []byte("{}")); r.Sent || r.Err != context.Canceled || !l.Reusable() {
		t.Fatalf("%+v, reusable %v", r, l.Reusable())
	}
}

func TestAliveDetectsClosedConnection(t *testing.T) {
	closed := make(chan bool)
	l := dialServer(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		<-closed
	})
	l.Call(t.Context(), http.MethodGet, "/", nil)
	if !l.Alive() {
		t.Fatal("open connection reported as closed")
	}
	close(closed)
	for i := 0; l.Alive(); i++ {
		if i > 1e6 {
			t.Fatal("closed connection reported as open")
		}
	}
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure reports the CPU time per operation besides the default metrics.
func measure(b *testing.B, f func()) {
	b.ReportAllocs()
	f()
	start := cpuTime()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
}

func BenchmarkLink(b *testing.B) {
	s := server(b)
	l, err := Dial(b.Context(), Config{Addr: s.Listener.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	body := bytes.Repeat([]byte("q"), requestBytes)
	ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
	defer cancel()
	measure(b, func() {
		r := l.Call(ctx, http.MethodPost, "/search", body)
		if r.Err != nil || len(r.Body) != answerBytes {
			b.Fatal(fmt.Sprint(r.Err))
		}
	})
}

func BenchmarkTransport(b *testing.B) {
	s := server(b)
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	body := bytes.Repeat([]byte("q"), requestBytes)
	ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
	defer cancel()
	measure(b, func() {
		q, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/search", bytes.NewReader(body))
		r, err := c.Do(q)
		if err != nil {
			b.Fatal(err)
		}
		n, _ := io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		if n != answerBytes {
			b.Fatal(n)
		}
	})
}

// TestEndlessHeader calls searchers that send a header without end. The call has
// to fail after a bounded number of bytes, with an error that does not quote them.
func TestEndlessHeader(t *testing.T) {
	for name, start := range map[string]string{"status line": "HTTP/1.1 200 ", "no protocol": "", "header": "HTTP/1.1 200 OK\r\nX: "} {
		t.Run(name, func(t *testing.T) {
			const giveUp = 16 << 20
			sent := make(chan int, 1)
			l := dialServer(t, func(c net.Conn) {
				readRequest(c)
				n, err := io.WriteString(c, start)
				block := bytes.Repeat([]byte("a"), 4096)
				for total := n; ; total += n {
					if err != nil || total >= giveUp {
						sent <- total
						return
					}
					n, err = c.Write(block)
				}
			})
			r := l.Call(t.Context(), http.MethodGet, "/", nil)
			l.Close()
			if r.Err == nil {
				t.Fatal("the call succeeded")
			}
			if n := len(r.Err.Error()); n > 1000 {
				t.Errorf("the error has %d bytes", n)
			}
			if n := <-sent; n >= giveUp {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

// TestEndlessResponsesTogether: the response of each link was bounded, but the sum of many
// at a time was not, and a link kept the memory of its longest one.
func TestEndlessResponsesTogether(t *testing.T) {
	const limit, links = 4 << 20, 32
	b := readbudget.New(readbudget.Config{Limit: limit})
	for name, start := range map[string]string{
		"until close": "HTTP/1.1 200 OK\r\n\r\n",
		"announced":   "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n",
		"header":      "HTTP/1.1 200 OK\r\nX: ",
	} {
		t.Run(name, func(t *testing.T) {
			var wg sync.WaitGroup
			for range links {
				near, far := net.Pipe()
				l := New(near, Config{Budget: b})
				wg.Go(func() {
					defer far.Close()
					_, _ = far.Read(make([]byte, 1024))
					_, err := io.WriteString(far, start)
					block := bytes.Repeat([]byte("a"), 64<<10)
					for err == nil {
						_, err = far.Write(block)
						if used := b.Used(); used > limit {
							t.Errorf("%d bytes in use, limit %d", used, limit)
						}
					}
				})
				wg.Go(func() {
					defer l.Close()
					if r := l.Call(t.Context(), http.MethodGet, "/", nil); r.Err == nil && len(r.Body) != 4000000 {
						t.Errorf("a response of %d bytes without an error", len(r.Body))
					}
					if cap(l.body) > maxKeptBodyBytes {
						t.Errorf("the link keeps %d bytes", cap(l.body))
					}
				})
			}
			wg.Wait()
		})
	}
}
