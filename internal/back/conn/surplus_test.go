package conn

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// moment is when the bytes behind a response arrive.
type moment int

const (
	// withResponse means in one segment with the response, afterResponse right behind it,
	// and afterRequest when the next request has been written.
	withResponse moment = iota
	afterResponse
	afterRequest
)

// surplus is a case of bytes behind a response: the start of a second one to the same
// exchange.
type surplus struct {
	second string
	at     moment
	// next is the response to the next exchange.
	next string
}

// response encodes a response with its header lines in the given order.
func response(status int, lines []string, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n\r\n%s", status, strings.Join(lines, "\r\n"), body)
}

// checkOnce refuses a header with two signatures or two IDs.
func checkOnce(h http.Header) error {
	if len(h["Stamp"]) > 1 || len(h["Id"]) > 1 {
		return errors.New("contradiction")
	}
	return nil
}

// play makes one exchange, and the next one as soon as the connection can carry it, as a
// queued request is sent. It returns the result of the next one; nil if the connection was
// not handed on.
func (c surplus) play(t *testing.T) *Result {
	var got *Result
	synctest.Test(t, func(*testing.T) {
		client, server := net.Pipe()
		first := response(200, []string{"Stamp: s1", "Id: a1", "Content-Length: 2"}, "hi")
		out := make(chan string, 10)
		go func() {
			for s := range out {
				_, _ = server.Write([]byte(s))
			}
			time.Sleep(time.Second)
			_ = server.Close()
		}()
		go func() {
			defer close(out)
			b := make([]byte, 1024)
			_, _ = server.Read(b)
			switch c.at {
			case withResponse:
				out <- first + c.second
			case afterResponse:
				out <- first
				out <- c.second
			default:
				out <- first
			}
			if _, err := server.Read(b); err != nil {
				return
			}
			if c.at == afterRequest {
				out <- c.second
			}
			out <- c.next
		}()
		k := New(client, Config{})
		exchange := func(id string, done func(Result)) {
			k.Start(Request{Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\n\r\n"), Check: checkOnce,
				Matches: func(h http.Header) bool { return h.Get("Id") == id }, Done: done})
		}
		exchange("a1", func(Result) {
			for k.Readiness(time.Now()) == Busy {
				time.Sleep(time.Microsecond)
			}
			if k.Readiness(time.Now()) == Usable {
				exchange("a2", func(r Result) { got = &r })
			}
		})
		k.Wait()
		k.Close()
		time.Sleep(2 * time.Second)
	})
	return got
}

// TestBytesBehindResponse: a second response that broke off in its header became part of the
// next one, whose client got the signature of another request.
func TestBytesBehindResponse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		status, nextStatus := rapid.SampledFrom([]int{200, 200, 500, 503, 421}).Draw(rt, "status"), rapid.SampledFrom([]int{200, 500}).Draw(rt, "next status")
		lines := rapid.Permutation([]string{"Stamp: s1", "Id: a1", "Content-Length: 2", "Content-Type: text/plain", "Not-Run: 1"}).Draw(rt, "lines")
		nextLines := rapid.Permutation([]string{"Stamp: s2", "Id: a2", "Content-Length: 5"}).Draw(rt, "next lines")
		second := response(status, lines, "hi")
		next := response(nextStatus, nextLines, "yours")
		at := rapid.SampledFrom([]moment{withResponse, afterResponse, afterRequest}).Draw(rt, "moment")
		for cut := 1; cut <= len(second); cut++ {
			r := surplus{second[:cut], at, next}.play(t)
			if r == nil || r.Err != nil {
				continue
			}
			if r.Status != nextStatus || r.Header.Get("Stamp") != "s2" || r.Header.Get("Not-Run") != "" || string(r.Body) != "yours" {
				rt.Fatalf("%q behind the response: got %d %v %q", second[:cut], r.Status, r.Header, r.Body)
			}
		}
	})
}

// TestSecondResponseIsDropped checks that a whole second response does not cost the next
// exchange its own.
func TestSecondResponseIsDropped(t *testing.T) {
	second := response(200, []string{"Stamp: s1", "Id: a1", "Content-Length: 2"}, "hi")
	next := response(200, []string{"Stamp: s2", "Id: a2", "Content-Length: 5"}, "yours")
	if r := (surplus{second, afterRequest, next}).play(t); r == nil || r.Err != nil || string(r.Body) != "yours" {
		t.Errorf("got %+v", r)
	}
	if r := (surplus{second, withResponse, next}).play(t); r != nil {
		t.Errorf("the connection was used again with bytes behind the response: %+v", r)
	}
}

// TestTwoSignatures checks that a response with two signatures is none.
func TestTwoSignatures(t *testing.T) {
	for _, line := range []string{"Stamp: s1", "Id: other", "X: y\r\nStamp: s3"} {
		next := response(200, []string{line, "Stamp: s2", "Id: a2", "Content-Length: 5"}, "yours")
		if r := (surplus{"", afterResponse, next}).play(t); r == nil || r.Err == nil {
			t.Errorf("with %q: got %+v", line, r)
		}
	}
}
