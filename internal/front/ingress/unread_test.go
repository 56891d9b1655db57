package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"egrethaven/internal/front/ingress"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/state/routing"
)

// TestUnreadAnswers: answers that clients do not read were not bounded together. The oldest give
// way, so that a client that reads gets its answer whole.
func TestUnreadAnswers(t *testing.T) {
	const limit, answerSize, silent = 32 << 20, 8 << 20, 12
	b, responses := readbudget.New(readbudget.Config{Limit: limit, ByAge: true, MinKept: 4 << 10}), readbudget.New(readbudget.Config{Limit: limit})
	s, err := ingress.New(ingress.Config{Addr: "127.0.0.1:0", Dialect: patientDialect{}, Budget: b, Responses: responses, Limits: func() routing.Limits { return routing.Limits{} },
		Do: func(context.Context, forward.Request) forward.Answer {
			body := make([]byte, answerSize)
			responses.Open(nil).Keep(body)
			return forward.Answer{Status: http.StatusOK, Body: body}
		}})
	if err != nil {
		t.Fatal(err)
	}
	s.Serve()
	defer func() { _ = s.Stop(time.Now(), time.Now().Add(time.Second)) }()
	var conns []net.Conn
	for range silent {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET /x/ HTTP/1.1\r\nHost: h\r\n\r\n")
		// The answer has begun, and the rest does not fit into the connection.
		_, _ = io.ReadFull(c, make([]byte, 1))
		conns = append(conns, c)
	}
	r, err := http.Get(fmt.Sprintf("http://%s/x/", s.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	if n != answerSize || err != nil {
		t.Errorf("a client that reads got %d bytes of %d, %v", n, answerSize, err)
	}
	whole := 0
	for _, c := range conns {
		// The header lines are left out.
		if n, _ := io.CopyN(io.Discard, c, answerSize); n == answerSize {
			whole++
		}
	}
	if whole == 0 || whole > limit/answerSize {
		t.Errorf("%d of %d answers that were not read at first were still held, in memory for %d", whole, silent, limit/answerSize)
	}
	if used := responses.Used(); used != 0 {
		t.Errorf("%d bytes count as responses that are being read", used)
	}
}
