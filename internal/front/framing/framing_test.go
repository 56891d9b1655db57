package framing_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/juju/errors"

	"egrethaven/internal/front/framing"
)

// limits are those of the platform.
var limits = framing.Limits{Bytes: 16384, Lines: 4096}

// scan reads a request whose bytes arrive in pieces of at most step bytes. It returns the size
// of its head and of the whole request, 0 if it has not ended.
func scan(b []byte, step int) (head, size int, err error) {
	var h framing.Head
	for n := 0; head == 0; {
		if n == len(b) {
			return 0, 0, nil
		}
		n = min(len(b), n+step)
		if head, err = h.Scan(b[:n], limits); err != nil {
			return 0, 0, err
		}
	}
	body := h.Body()
	for size = head; ; {
		n, done, err := body.Scan(b[size:min(len(b), size+step)], limits)
		size += n
		switch {
		case err != nil:
			return head, 0, err
		case done:
			return head, size, nil
		case n == 0:
			return head, 0, nil
		}
	}
}

// requests maps requests to the status of their refusal, 0 if they are passed on.
var requests = map[string]int{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n":                                                    0,
	"GET / HTTP/1.0\r\n\r\n":                                                               0,
	"GET http://h/%2F//x?a=b&c HTTP/1.1\r\nHost: h\r\n\r\n":                                0,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc":                           0,
	"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\ncontent-length:  3 \r\n\r\nabc": 0,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\nab\r\n0A\r\n0123456789\r\n0\r\nX: y\r\n\r\n":         0,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc":                                                  400,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc":                                                                    400,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc":                                                                      400,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x3\r\n\r\nabc":                                                                     400,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n":                                                                            400,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                                   400,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                          501,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":                                                  501,
	"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                                                                   400,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n":                                                       400,
	"GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n":                                                                                     400,
	"GET / HTTP/1.1\nHost: h\r\n\r\n":                                                                                                  400,
	"GET / HTTP/1.1\r\nHost: h\r\n\n":                                                                                                  400,
	"GET / HTTP/1.1\r\nHost: h\r\nA: b\rC: d\r\n\r\n":                                                                                  400,
	"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n":                                                                                  400,
	"GET / HTTP/1.1\r\nHost: h\r\n\tA: b\r\n\r\n":                                                                                      400,
	"GET / HTTP/1.1\r\nHost: h\r\nA\r\n\r\n":                                                                                           400,
	"GET / HTTP/1.1\r\nHost: h\r\n: a\r\n\r\n":                                                                                         400,
	"GET  / HTTP/1.1\r\nHost: h\r\n\r\n":                                                                                               400,
	"GET /\r\n\r\n":                                                                                                                    400,
	"PRI * HTTP/2.0\r\n\r\n":                                                                                                           505,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n":                                               400,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nab\r\n0\r\n\r\n":                                            400,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;a\nb\r\nab\r\n0\r\n\r\n":                                        400,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n":                                            400,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX : y\r\n\r\n":                                               400,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\n\r\n":                                                  400,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", 1000):                         431,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 5000):                                   413,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 3000)+"\r\nx\r\n", 6): 413,
	"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", 4095) + "\r\n":                                                          0,
	"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", 4096) + "\r\n":                                                          431,
	"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 16300) + "\r\n\r\n":                                                       0,
	"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 16500):                                                                    431,
}

// TestScan checks whole requests and requests that arrive byte by byte: framing that two
// readers could read differently was passed on to searchers.
func TestScan(t *testing.T) {
	for request, want := range requests {
		for _, step := range []int{1, 7, len(request) + 1} {
			_, size, err := scan([]byte(request+"GET /next"), step)
			status := 0
			var f *framing.Fault
			if errors.As(err, &f) {
				status = f.Status
			}
			if status != want || want == 0 && size != len(request) {
				t.Errorf("%.120q in steps of %d: %d of %d bytes, %v, want status %d", request, step, size, len(request), err, want)
			}
		}
	}
}

// FuzzScan checks that net/http reads each request that is passed on as this package does:
// with the same head, the same body and the same end. It reads no request differently if its
// bytes arrive one by one.
func FuzzScan(f *testing.F) {
	for request := range requests {
		f.Add([]byte(request + "GET /next HTTP/1.1\r\n\r\n"))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		head, size, err := scan(b, len(b)+1)
		head1, size1, err1 := scan(b, 1)
		if head != head1 || size != size1 || (err == nil) != (err1 == nil) {
			t.Fatalf("at once %d, %d, %v, byte by byte %d, %d, %v", head, size, err, head1, size1, err1)
		}
		if size == 0 {
			return
		}
		r := bufio.NewReader(bytes.NewReader(b))
		q, err := http.ReadRequest(r)
		if err != nil {
			// net/http refuses more, such as invalid targets.
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(r)
		if !bytes.Equal(rest, b[size:]) {
			t.Fatalf("%d bytes behind the request, net/http has %d", len(b)-size, len(rest))
		}
		if n := q.Header.Get("Content-Length"); n != "" && n != strconv.Itoa(len(body)) {
			t.Fatalf("a body of %d bytes, announced are %s", len(body), n)
		}
	})
}
