package headlimit

import (
	"net"
	"net/http"
	"testing"

	"egrethaven/internal/infra/connlimit"
)

const benchmarkRequest = "POST /one/x?q=1 HTTP/1.1\r\nHost: search.example\r\nUser-Agent: client/1.0\r\nAccept: */*\r\n" +
	"X-Attempt: a1002-5f66b086\r\nX-Deadline: 2000\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"

// sameConn is a connection with deadlines that receives the same request again and again.
type sameConn struct{ net.Conn }

// Read returns the request.
func (sameConn) Read(p []byte) (int, error) { return copy(p, benchmarkRequest), nil }

// Write discards a response.
func (sameConn) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkChecks measures what the checks add to a request, with a deadline of a write.
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
	c := &Conn{Conn: sameConn{d}, l: l}
	c.entry, _ = connlimit.New(10).Add(func() {})
	p := make([]byte, bufferSize)
	for b.Loop() {
		if n, err := c.Read(p); n != len(benchmarkRequest) || err != nil {
			b.Fatalf("%d bytes, %v", n, err)
		}
		_, _ = c.Write(p[:100])
		ConnState(c, http.StateIdle)
	}
}
