package headlimit

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"egrethaven/internal/infra/connlimit"
)

const benchmarkRequest = "POST /one/x?q=1 HTTP/1.1\r\nHost: search.example\r\nUser-Agent: client/1.0\r\nAccept: */*\r\n" +
	"X-Attempt: a1002-5f66b086\r\nX-Deadline: 2000\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"

// sameConn is a connection with deadlines that receives the same request again and again.
type sameConn struct {
	net.Conn
	request string
	n       int
}

// Read returns the request, or as much of the rest of it as there is room for.
func (c *sameConn) Read(p []byte) (int, error) {
	n := copy(p, c.request[c.n:])
	c.n = (c.n + n) % len(c.request)
	return n, nil
}

// Write discards a response.
func (*sameConn) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkChecks measures what the checks add to a request, with a deadline of a write:
// to an ordinary one, and to one with a head of 14 KB.
func BenchmarkChecks(b *testing.B) {
	l := New(Config{MaxConns: 10})
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer n.Close()
	d, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	large := "GET /one/x HTTP/1.1\r\nHost: search.example\r\n" + strings.Repeat("X-Large: "+strings.Repeat("a", 1<<10)+"\r\n", 13) + "\r\n"
	for name, request := range map[string]string{"ordinary": benchmarkRequest, "large": large} {
		b.Run(name, func(b *testing.B) {
			c := &Conn{Conn: &sameConn{Conn: d, request: request}, l: l}
			c.entry, _ = connlimit.New(10).Add(func() {})
			p := make([]byte, bufferSize)
			b.ReportAllocs()
			for b.Loop() {
				for left := len(request); left > 0; {
					n, err := c.Read(p)
					if err != nil {
						b.Fatal(err)
					}
					left -= n
				}
				_, _ = c.Write(p[:100])
				ConnState(c, http.StateIdle)
			}
		})
	}
}
