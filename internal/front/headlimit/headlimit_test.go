package headlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egrethaven/internal/front/headlimit"
	"egrethaven/internal/infra/readbudget"
	_ "egrethaven/internal/proof/fixedseed"
)

// server is an HTTP server behind a Listener. It answers with the target and the body.
type server struct {
	addr string
	// taken counts the requests that reached the handler.
	taken atomic.Int64
	work  time.Duration
	// hold keeps requests under way until it is closed; nil for none.
	hold <-chan struct{}
}

// start starts a server.
func start(t testing.TB, c headlimit.Config, work time.Duration) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: l.Addr().String(), work: work}
	c.Listener = l
	h := &http.Server{Handler: s, MaxHeaderBytes: headlimit.NoMaxHeaderBytes, ConnState: headlimit.ConnState}
	var wg sync.WaitGroup
	wg.Go(func() { _ = h.Serve(headlimit.New(c)) })
	t.Cleanup(func() {
		_ = h.Close()
		wg.Wait()
	})
	return s
}

// ServeHTTP answers a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if status := headlimit.Status(err); status != 0 {
		w.Header().Set("Connection", "close")
		w.WriteHeader(status)
		return
	}
	s.taken.Add(1)
	time.Sleep(s.work)
	if s.hold != nil {
		<-s.hold
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, b)
}

// client is a connection to a server.
type client struct {
	t rapid.TB
	net.Conn
	r *bufio.Reader
}

// dial connects to the server.
func (s *server) dial(t rapid.TB) *client {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return &client{t, c, bufio.NewReader(c)}
}

// expect reads a response, and checks its status and, with status 200, its body.
func (c *client) expect(status int, body string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("%v instead of status %d", err, status)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != status || status == http.StatusOK && string(b) != body {
		c.t.Fatalf("got %d %q, %v, want %d %q", r.StatusCode, b, err, status, body)
	}
}

// TestRequestsPassUnchanged sends random requests within the limits, several of them at once
// and in random pieces. Each has to be answered as it was sent, in its order.
func TestRequestsPassUnchanged(t *testing.T) {
	b := readbudget.New(readbudget.Config{Limit: 4 << 20, ByAge: true})
	s := start(t, headlimit.Config{Budget: b, MaxConns: 10, Limits: func() headlimit.Limits {
		return headlimit.Limits{Bytes: 16384, HeadTimeout: 10 * time.Second}
	}}, 100*time.Microsecond)
	rapid.Check(t, func(rt *rapid.T) {
		c := s.dial(rt)
		defer c.Close()
		var sent strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
			target := fmt.Sprintf("/a%%2F//%d?b=c&", i)
			if rapid.Bool().Draw(rt, "absolute") {
				target = "http://h" + target
			}
			body := strings.Repeat("GET /x HTTP/1.1\r\n\r\n", rapid.IntRange(0, 600).Draw(rt, "body"))
			more := strings.Repeat("X: "+strings.Repeat("y", 100)+"\r\n", rapid.IntRange(0, 150).Draw(rt, "lines"))
			method := "POST"
			switch kind := rapid.IntRange(0, 3).Draw(rt, "kind"); {
			case kind == 0:
				method, body = "GET", ""
				more += "\r\n"
			case kind == 1:
				more += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
				if rapid.Bool().Draw(rt, "empty line") {
					more += "\r\n"
				}
			default:
				more += "Transfer-Encoding: chunked\r\n\r\n"
				for rest := body; rest != ""; {
					n := min(len(rest), rapid.IntRange(1, 9000).Draw(rt, "chunk"))
					more += fmt.Sprintf("%x;e=1\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				more += "0\r\nX: y\r\n\r\n"
			}
			fmt.Fprintf(&sent, "%s %s HTTP/1.1\r\nHost: h\r\n%s", method, target, more)
			want = append(want, fmt.Sprintf("%s %s %s", method, target, body))
		}
		step := rapid.SampledFrom([]int{1 << 20, 5000, 1000, 333}).Draw(rt, "step")
		var wg sync.WaitGroup
		wg.Go(func() {
			for rest := sent.String(); rest != ""; rest = rest[min(len(rest), step):] {
				_, _ = io.WriteString(c, rest[:min(len(rest), step)])
			}
		})
		defer wg.Wait()
		for _, w := range want {
			c.expect(http.StatusOK, w)
		}
	})
	for end := time.Now().Add(10 * time.Second); b.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes in use after all requests", b.Used())
		}
	}
}

// TestRefusals checks that a request which is refused does not run, and that one before it on
// the same connection is answered first.
func TestRefusals(t *testing.T) {
	for _, refused := range []struct {
		request string
		status  int
	}{
		{"GET /2 HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400},
		{"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400},
		{"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400},
		{"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("e", 5000), 413},
		{"GET /2 HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 20000), 431},
		{"GET /2 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", 200), 431},
		{strings.Repeat("\r\n", 10), 431},
		{"\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n", 408},
	} {
		s := start(t, headlimit.Config{Limits: func() headlimit.Limits {
			return headlimit.Limits{Bytes: 16384, Lines: 100, HeadTimeout: 200 * time.Millisecond}
		}}, time.Millisecond)
		for _, first := range []string{"", "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"} {
			c := s.dial(t)
			if _, err := io.WriteString(c, first+refused.request); err != nil {
				t.Fatal(err)
			}
			if first != "" {
				c.expect(http.StatusOK, "GET /1 ")
			}
			c.expect(refused.status, "")
			_ = c.Close()
		}
		if n := s.taken.Load(); n != 1 {
			t.Errorf("%.60q: %d requests ran, want only the one before it", refused.request, n)
		}
	}
}

// TestLimitsInForce: a limit above 64 KB was not honored, and changes did not apply to open
// connections before the head was parsed.
func TestLimitsInForce(t *testing.T) {
	var limit atomic.Int64
	s := start(t, headlimit.Config{Limits: func() headlimit.Limits { return headlimit.Limits{Bytes: int(limit.Load())} }}, 0)
	limit.Store(256 << 10)
	c := s.dial(t)
	defer c.Close()
	large := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 200<<10) + "\r\n\r\n"
	for range 2 {
		_, _ = io.WriteString(c, large)
		c.expect(http.StatusOK, "GET / ")
	}
	limit.Store(1 << 10)
	_, _ = io.WriteString(c, large[:2<<10])
	c.expect(http.StatusRequestHeaderFieldsTooLarge, "")
}

// TestHeadsTogether: the head of each connection was bounded, but the sum of many was not.
// What holds memory gives way to an ordinary request, and no memory stays in use.
func TestHeadsTogether(t *testing.T) {
	const limit = 256 << 10
	b := readbudget.New(readbudget.Config{Limit: limit, ByAge: true})
	s := start(t, headlimit.Config{Budget: b, Limits: func() headlimit.Limits { return headlimit.Limits{Bytes: 16384} }}, 0)
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: "+strings.Repeat("a", 1000)+"\r\n", 14)
	var open []*client
	for range 50 {
		c := s.dial(t)
		open = append(open, c)
		_, _ = io.WriteString(c, head)
	}
	for range 20 {
		c := s.dial(t)
		_, _ = io.WriteString(c, head+"\r\n")
		c.expect(http.StatusOK, "GET / ")
		_ = c.Close()
		if used := b.Used(); used > limit {
			t.Errorf("%d bytes in use, of %d", used, limit)
		}
	}
	for _, c := range open {
		_ = c.Close()
	}
	for end := time.Now().Add(10 * time.Second); b.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes in use after all connections were closed", b.Used())
		}
	}
}

// TestLargeHeadsUnderWay: the memory of a parsed head counts until its request ends, so that
// requests with large heads are bounded together. Those under way are answered, further ones
// are refused and have not run, and ordinary ones are served beside them.
func TestLargeHeadsUnderWay(t *testing.T) {
	const limit, clients = 256 << 10, 30
	b := readbudget.New(readbudget.Config{Limit: limit, ByAge: true})
	release := make(chan struct{})
	s := start(t, headlimit.Config{Budget: b}, 0)
	s.hold = release
	large := "GET /large HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: "+strings.Repeat("a", 1000)+"\r\n", 14) + "\r\n"
	// The claim of a parsed head is larger than the head itself.
	fit := limit / len(large)
	var refused, answered atomic.Int64
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			c := s.dial(t)
			defer c.Close()
			_, _ = io.WriteString(c, large)
			r, err := http.ReadResponse(c.r, nil)
			switch {
			case err != nil:
				t.Error(err)
			case r.StatusCode == http.StatusOK:
				answered.Add(1)
			case r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") == "0.100":
				refused.Add(1)
			default:
				t.Errorf("got %d with Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
			}
		})
	}
	for end := time.Now().Add(20 * time.Second); refused.Load()+s.taken.Load() < clients; time.Sleep(time.Millisecond) {
		if used := b.Used(); used > limit || time.Now().After(end) {
			t.Errorf("%d bytes in use, of %d; %d requests refused, %d under way", used, limit, refused.Load(), s.taken.Load())
			break
		}
	}
	taken := s.taken.Load()
	if used := b.Used(); taken == 0 || taken > int64(fit) || used < taken*int64(len(large)) {
		t.Errorf("%d requests under way with %d bytes in use", taken, used)
	}
	c := s.dial(t)
	defer c.Close()
	_, _ = io.WriteString(c, "GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n")
	for end := time.Now().Add(20 * time.Second); s.taken.Load() == taken && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	close(release)
	c.expect(http.StatusOK, "GET /ordinary ")
	wg.Wait()
	if answered.Load() != taken {
		t.Errorf("%d requests were answered, of %d under way", answered.Load(), taken)
	}
	for end := time.Now().Add(10 * time.Second); b.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes in use after all requests", b.Used())
		}
	}
}

// TestSilentConnections: connections without a whole request took all descriptors. The one
// that is silent for longest gives way, and none with a request under way.
func TestSilentConnections(t *testing.T) {
	const maximum = 4
	s := start(t, headlimit.Config{MaxConns: maximum}, time.Second)
	busy := s.dial(t)
	defer busy.Close()
	_, _ = io.WriteString(busy, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n")
	var silent []*client
	for range 2 * maximum {
		c := s.dial(t)
		defer c.Close()
		silent = append(silent, c)
		_, _ = io.WriteString(c, "POST /last HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	}
	if _, err := silent[0].r.ReadByte(); err != io.EOF {
		t.Errorf("the connection that was silent for longest: %v", err)
	}
	busy.expect(http.StatusOK, "GET /busy ")
	last := silent[len(silent)-1]
	_, _ = io.WriteString(last, "hello")
	last.expect(http.StatusOK, "POST /last hello")
}

// FuzzConn checks that a request which may be passed on is answered in the same way however
// its bytes are cut, and that no bytes end the server.
func FuzzConn(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"), 3)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a\r\nb\r\n0\r\nX: y\r\n\r\n\r\nGET / HTTP/1.0\r\n\r\n"), 70)
	f.Add([]byte("\r\n\nPOST / HTTP/1.1\r\nContent-Length: 5\r\nHost: h\r\n\r\nab"), 1)
	s := start(f, headlimit.Config{Budget: readbudget.New(readbudget.Config{Limit: 1 << 20, ByAge: true})}, 0)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		send := func(pieces ...[]byte) string {
			c := s.dial(t)
			defer c.Close()
			for _, p := range pieces {
				_, _ = c.Write(p)
			}
			_ = c.Conn.(*net.TCPConn).CloseWrite()
			r, err := http.ReadResponse(c.r, nil)
			if err != nil {
				return ""
			}
			defer r.Body.Close()
			body, _ := io.ReadAll(r.Body)
			return fmt.Sprint(r.StatusCode, string(body))
		}
		cut = min(max(cut, 0), len(b))
		if one, two := send(b), send(b[:cut], b[cut:]); one != two {
			t.Errorf("%q at once, %q cut at %d", one, two, cut)
		}
		c := s.dial(t)
		defer c.Close()
		_, _ = io.WriteString(c, "GET /after HTTP/1.1\r\nHost: h\r\n\r\n")
		c.expect(http.StatusOK, "GET /after ")
	})
}
