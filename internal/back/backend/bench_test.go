package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/record"
	"egrethaven/internal/world/vm"
)

// canned answers every query with the same few hits, as cheaply as it can.
func canned(b *testing.B) *httptest.Server {
	a := searcher.Answer{QueryID: "0197aaaa-bbbb-7ccc-8ddd-eeeeffff0000", AttemptID: "a", Version: 3, Range: keyrange.Whole, Total: 2}
	for i := range 2 {
		a.Hits = append(a.Hits, ask.Hit{Score: 1.5, Record: record.Record{Key: fmt.Sprintf("S-%04d", i), SchemaVersion: 2, Revision: 7,
			Source: "ledger", Fields: record.Fields{"owner": "Takahashi", "street": "Kita 3", "job": "joint"}}})
	}
	body, _ := json.Marshal(a)
	b.Logf("answer of %d bytes", len(body))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(body)
	}))
	b.Cleanup(s.Close)
	return s
}

func benchQuery() searcher.Query {
	q := query("a")
	q.QueryID, q.Text, q.SchemaVersions = "0197aaaa-bbbb-7ccc-8ddd-eeeeffff0000", "joint", []int{1, 2}
	return q
}

// cpu returns the processor time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measure(b *testing.B, f func()) {
	b.ReportAllocs()
	f()
	start := cpu()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(cpu()-start)/float64(b.N), "cpu-ns/op")
}

func BenchmarkSearch(b *testing.B) {
	s := canned(b)
	k := New(Config{VM: vm.VM{ID: "s-1", Addr: s.Listener.Addr().String()}})
	defer k.Close()
	q := benchQuery()
	measure(b, func() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		defer cancel()
		if r := k.Search(ctx, q); !r.Outcome.OK() {
			b.Fatal(r.Outcome)
		}
	})
}

// BenchmarkPlain does the same with a plain client of net/http.
func BenchmarkPlain(b *testing.B) {
	s := canned(b)
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	q := benchQuery()
	measure(b, func() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		defer cancel()
		body, _ := json.Marshal(q)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+searcher.SearchPath, bytes.NewReader(body))
		resp, err := c.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		var a searcher.Answer
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err := json.Unmarshal(raw, &a); err != nil {
			b.Fatal(err)
		}
	})
}

// BenchmarkDecode is the part that reading the answer takes.
func BenchmarkDecode(b *testing.B) {
	a := searcher.Answer{QueryID: "q", AttemptID: "a", Version: 3, Range: keyrange.Whole}
	body, _ := json.Marshal(a)
	measure(b, func() {
		var a searcher.Answer
		if err := json.Unmarshal(body, &a); err != nil {
			b.Fatal(err)
		}
	})
}

// BenchmarkStanding is what a choice among replicas costs, for each of them.
func BenchmarkStanding(b *testing.B) {
	s := canned(b)
	k := New(Config{VM: vm.VM{ID: "s-1", Addr: s.Listener.Addr().String()}})
	defer k.Close()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			_ = k.Standing()
		}
	})
}
