package conn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/reply"
	"egrethaven/internal/infra/readbudget"
)

// endlessLimit is the number of bytes after which the simulated searcher gives up
// sending an answer without end. It exceeds all limits of this package.
const endlessLimit = 4 * maxBodySize

// TestEndlessAnswers sends answers without end. The exchange has to fail once a
// limit is exceeded, with the connection closed, before the searcher gives up: the
// memory of a VM holds many exchanges at a time.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: mine\r\n"
	for name, c := range map[string]struct {
		start, repeated string
		// most is the number of bytes that may be read, in bytes.
		most int
	}{
		"status line":       {"HTTP/1.1 200 ", "a", maxHeadSize},
		"no protocol":       {"", "a", maxHeadSize},
		"header line":       {head + "X: ", "a", maxHeadSize},
		"header lines":      {head, "X: y\r\n", maxHeadSize},
		"interim answers":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadSize},
		"body":              {head + "\r\n", "a", maxBodySize},
		"body of a length":  {head + "Content-Length: 9999999999\r\n\r\n", "a", maxBodySize},
		"chunk extension":   {head + "Transfer-Encoding: chunked\r\n\r\n2;", "a", maxBodySize},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", maxBodySize},
		"trailer":           {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", maxBodySize},
		"other's answers":   {"", "HTTP/1.1 200 OK\r\nId: theirs\r\nContent-Length: 1\r\n\r\na", maxBodySize},
		"announced, partly": {head + "Content-Length: 16000000\r\n\r\n", "", maxHeadSize},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, gaveUp := 0, false
				stopped := make(chan struct{})
				r, k := roundTrip(t, func(server net.Conn) {
					defer close(stopped)
					n, err := io.WriteString(server, c.start)
					sent += n
					if c.repeated == "" {
						return
					}
					block := strings.Repeat(c.repeated, 4096/len(c.repeated)+1)
					for err == nil && !gaveUp {
						n, err = io.WriteString(server, block)
						sent += n
						gaveUp = sent >= endlessLimit
					}
				})
				k.Wait()
				<-stopped
				if gaveUp {
					t.Fatalf("the searcher gave up after %d bytes; result %v", sent, r.Err)
				}
				if r.Err == nil {
					t.Error("the exchange succeeded")
				}
				if most := c.most + maxHeadSize + readBufferSize; sent > most {
					t.Errorf("%d bytes were read, want at most %d", sent, most)
				}
			})
		})
	}
}

// TestAnnouncedLengthTakesNoMemory checks that a body's memory is allocated as its
// bytes arrive, not by the length that its header announces.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	p := &reply.Reply{Length: maxBodySize}
	allocated := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			p.Body = strings.NewReader("short")
			if _, err := readBody(p, func(int) error { return nil }); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				b.Fatal(err)
			}
		}
	}).AllocedBytesPerOp()
	if allocated > maxDirectSize {
		t.Errorf("%d bytes allocated for five bytes of a body", allocated)
	}
}

// TestEndlessAnswersTogether: each answer without an end was bounded, but the sum of many
// at a time was not. Ordinary ones have to be served meanwhile.
func TestEndlessAnswersTogether(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: mine\r\n"
	const good = head + "Content-Length: 2\r\n\r\nhi"
	const limit, connections, ordinary = 4 << 20, 200, 50
	for name, c := range map[string]struct{ start, repeated string }{
		"no protocol":     {"", "a"},
		"header line":     {head + "X: ", "a"},
		"header lines":    {head, "X: y\r\n"},
		"body":            {head + "\r\n", "a"},
		"announced":       {head + "Content-Length: 60000\r\n\r\n", ""},
		"chunk extension": {head + "Transfer-Encoding: chunked\r\n\r\n2;", "a"},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"},
		"trailer":         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := readbudget.New(readbudget.Config{Limit: limit})
				var ended, served atomic.Int64
				var wg sync.WaitGroup
				for i := range connections + ordinary {
					client, server := net.Pipe()
					k := New(client, Config{Budget: b})
					endless := i < connections
					wg.Go(func() {
						_, _ = server.Read(make([]byte, 1024))
						if !endless {
							// The others have used up the budget by then.
							time.Sleep(time.Second)
							_, _ = io.WriteString(server, good)
							return
						}
						_, err := io.WriteString(server, c.start)
						block := strings.Repeat(c.repeated, 4096/max(len(c.repeated), 1)+1)
						for sent := 0; err == nil && c.repeated != "" && sent < endlessLimit; sent += len(block) {
							_, err = io.WriteString(server, block)
							if used := b.Used(); used > limit {
								t.Errorf("%d bytes in use, limit %d", used, limit)
							}
							time.Sleep(time.Millisecond)
						}
					})
					k.Start(Request{Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\n\r\n"), Matches: matchesMine, Done: func(r Result) {
						if r.Body != nil && r.Err != nil {
							t.Error("the result of a failed exchange holds what was read")
						}
						ended.Add(1)
						if r.Err == nil && !endless {
							served.Add(1)
						}
					}})
					time.AfterFunc(time.Minute, func() { k.Close(); k.Wait(); _ = server.Close() })
				}
				wg.Wait()
				time.Sleep(2 * time.Minute)
				synctest.Wait()
				if served.Load() != ordinary || ended.Load() != connections+ordinary || b.Used() != 0 {
					t.Errorf("%d of %d ordinary answers, %d of %d exchanges ended, %d bytes in use", served.Load(), ordinary, ended.Load(), connections+ordinary, b.Used())
				}
			})
		})
	}
}
