package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"egrethaven/internal/front/ingress"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/state/routing"
)

// patientDialect is a dialect whose clients wait for longer than any test takes.
type patientDialect struct{}

// ExtractAttempt returns a time that does not run out on a busy machine, where a body that
// waits for memory or processor time would be refused with 408 instead of 503.
func (patientDialect) ExtractAttempt(http.Header) (string, time.Duration) { return "a1", time.Hour }

// TestLongBodiesTogether: the body of each request was bounded, but the sum of many at a
// time was not. Long ones are refused as not run, with the time at which to come back.
func TestLongBodiesTogether(t *testing.T) {
	const limit, bodySize, long, short = 1 << 20, 500 << 10, 8, 8
	b := readbudget.New(readbudget.Config{Limit: limit})
	var taken atomic.Int64
	s, err := ingress.New(ingress.Config{Addr: "127.0.0.1:0", Dialect: patientDialect{}, Budget: b, Limits: func() routing.Limits { return routing.Limits{} },
		Do: func(_ context.Context, q forward.Request) forward.Answer {
			if taken.Add(1); len(q.Body) != bodySize && len(q.Body) != 2 {
				t.Errorf("a body of %d bytes", len(q.Body))
			}
			return forward.Answer{Status: http.StatusOK}
		}})
	if err != nil {
		t.Fatal(err)
	}
	s.Serve()
	defer func() { _ = s.Stop(time.Now(), time.Now().Add(time.Second)) }()
	post := func(body io.Reader) (int, string) {
		c := &http.Client{Transport: &http.Transport{}}
		defer c.CloseIdleConnections()
		r, err := c.Post(fmt.Sprintf("http://%s/x/", s.Addr()), "", body)
		if err != nil {
			return 0, ""
		}
		_ = r.Body.Close()
		return r.StatusCode, r.Header.Get("Retry-After")
	}
	// The long bodies hold at their last byte until all of them have come.
	var wg, halfway sync.WaitGroup
	var ok, refused atomic.Int64
	for range long {
		pr, pw := io.Pipe()
		halfway.Add(1)
		wg.Go(func() {
			var once sync.Once
			defer once.Do(halfway.Done)
			defer pw.Close()
			block := make([]byte, 1<<10)
			for n := 0; n < bodySize; n += len(block) {
				if n == bodySize/2 {
					once.Do(halfway.Done)
					halfway.Wait()
				}
				if _, err := pw.Write(block); err != nil {
					return
				}
			}
		})
		wg.Go(func() {
			status, retryAfter := post(pr)
			_ = pr.Close()
			switch {
			case status == http.StatusOK:
				ok.Add(1)
			case status == 0, status == http.StatusServiceUnavailable && retryAfter == "0.100":
				refused.Add(1)
			default:
				t.Errorf("got %d with Retry-After %q", status, retryAfter)
			}
		})
	}
	for range short {
		wg.Go(func() {
			if status, _ := post(strings.NewReader("hi")); status != http.StatusOK {
				t.Errorf("a short body got %d", status)
			}
		})
	}
	wg.Wait()
	if refused.Load() == 0 || taken.Load() != ok.Load()+short || b.Used() > limit {
		t.Errorf("%d long bodies refused, %d served, %d requests run, %d bytes in use", refused.Load(), ok.Load(), taken.Load(), b.Used())
	}
}
