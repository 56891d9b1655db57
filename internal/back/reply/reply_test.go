package reply_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"

	"egrethaven/internal/back/reply"
)

// read reads a response to a GET and its body.
func read(b []byte, size int) (*reply.Reply, []byte, error) {
	p, err := reply.Read(bufio.NewReaderSize(bytes.NewReader(b), size), http.MethodGet)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(p.Body)
	return p, body, err
}

// TestInvalid: a response that HTTP does not allow passed for an answer.
func TestInvalid(t *testing.T) {
	for _, s := range []string{
		"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 600 X\r\n\r\n", "HTTP/1.1 999 X\r\n\r\n",
		"HTTP/1.1 +20 X\r\n\r\n", "HTTP/1.1 -00 X\r\n\r\n", "HTTP/1.1 20 X\r\n\r\n", "HTTP/1.1 2000 X\r\n\r\n", "HTTP/1.1  200 X\r\n\r\n", "HTTP/1.1\r\n\r\n",
		"HTTP/9.9 200 X\r\n\r\n", "HTTP/2.0 200 X\r\n\r\n", " HTTP/1.1 200 X\r\n\r\n", "hello\r\n\r\n", "\r\n\r\n", "HTTP/1.1 200 a\rb\r\n\r\n",
		"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n", strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 20),
		"HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 204 X\r\n\r\nhi",
		"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 X\r\nContent-Length: 2, 2\r\n\r\nhi", "HTTP/1.1 200 X\r\nContent-Length: +2\r\n\r\nhi", "HTTP/1.1 200 X\r\nContent-Length:\r\n\r\nhi",
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\nhi", "HTTP/1.1 200 X\r\nno colon\r\n\r\n", "HTTP/1.1 200 X\r\nA: HTTP/1.1 200 OK\r\n\r\n",
	} {
		for _, size := range []int{16, 4096} {
			if size == 16 && strings.Contains(s, "\r\n\r\nhi") && strings.Contains(s, "204") {
				continue // The body has not arrived yet.
			}
			if p, body, err := read([]byte(s), size); !errors.Is(err, reply.ErrInvalid) {
				t.Errorf("%q, buffer of %d: got %+v %q, %v", s, size, p, body, err)
			}
		}
	}
}

// FuzzRead compares with net/http: what Read accepts, net/http has to read in the same way,
// so that no two readers of a response differ.
func FuzzRead(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nConnection: x, close\r\n\r\nhi",
		"HTTP/1.1 500 \r\nTransfer-Encoding: Chunked\r\nTrailer: X\r\n\r\n2;e=f\r\nhi\r\n0\r\nX: y\r\n\r\n", "HTTP/1.1 200\nA: b\n c\n\nhi",
		"HTTP/1.1 204 X\r\n\r\n", "HTTP/1.1 304 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhi",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, body, err := read(b, 4096)
		if err != nil {
			return
		}
		r := bufio.NewReader(bytes.NewReader(b))
		q, err := http.ReadResponse(r, nil)
		for err == nil && q.StatusCode/100 == 1 {
			q, err = http.ReadResponse(r, nil)
		}
		if err != nil {
			t.Fatalf("accepted %q; net/http: %v", b, err)
		}
		want, err := io.ReadAll(q.Body)
		if err != nil && !strings.Contains(err.Error(), "trailer") && !errors.Is(err, io.ErrUnexpectedEOF) && !strings.Contains(err.Error(), "malformed") {
			t.Fatalf("accepted %q; net/http: %v", b, err)
		}
		if p.Status != q.StatusCode || p.Status < 200 || p.Status > 599 || !bytes.Equal(body, want) || p.Close != q.Close {
			t.Fatalf("%q: got %d, close %v, %q; net/http %d, %v, %q", b, p.Status, p.Close, body, q.StatusCode, q.Close, want)
		}
	})
}

// BenchmarkRead measures what reading a response costs, beside net/http.
func BenchmarkRead(b *testing.B) {
	s := []byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: 3,0,8\r\n" +
		"Content-Type: application/octet-stream\r\nDate: Sat, 05 Dec 2026 19:00:00 GMT\r\nContent-Length: 320\r\n\r\n" + strings.Repeat("x", 320))
	in := bytes.NewReader(s)
	r := bufio.NewReaderSize(in, 2<<10)
	var body [320]byte
	for name, f := range map[string]func() (io.Reader, error){
		"reply": func() (io.Reader, error) {
			p, err := reply.Read(r, http.MethodGet)
			if err != nil {
				return nil, err
			}
			return p.Body, nil
		},
		"http": func() (io.Reader, error) {
			p, err := http.ReadResponse(r, nil)
			if err != nil {
				return nil, err
			}
			return p.Body, nil
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				in.Reset(s)
				r.Reset(in)
				p, err := f()
				if err == nil {
					_, err = io.ReadFull(p, body[:])
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
