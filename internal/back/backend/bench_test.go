package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/record"
)

// cannedServer returns a server that sends the same prepared answer to every
// query.
func cannedServer(b *testing.B) *httptest.Server {
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

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measure(b *testing.B, f func()) {
	b.ReportAllocs()
	f()
	start := cpuTime()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
}

func BenchmarkSearch(b *testing.B) {
	s := cannedServer(b)
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

// BenchmarkPlain is BenchmarkSearch with the client of net/http.
func BenchmarkPlain(b *testing.B) {
	s := cannedServer(b)
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

// BenchmarkDecode measures the decoding of an answer.
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

// BenchmarkStanding measures State, which is called for each replica in a
// choice.
func BenchmarkStanding(b *testing.B) {
	s := cannedServer(b)
	k := New(Config{VM: vm.VM{ID: "s-1", Addr: s.Listener.Addr().String()}})
	defer k.Close()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			_ = k.State()
		}
	})
}

// BenchmarkIdle reports the memory and the CPU time per second of an idle
// backend with two links.
func BenchmarkIdle(b *testing.B) {
	const backends, links = 300, 2
	s := cannedServer(b)
	for b.Loop() {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		far := openFiles(b)
		ks := make([]*Backend, backends)
		for i := range ks {
			ks[i] = New(Config{VM: vm.VM{ID: "s", Addr: s.Listener.Addr().String()}, MaxLinks: links})
		}
		for openFiles(b)-far < 2*backends*links {
			time.Sleep(time.Millisecond)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
		b.ReportMetric(float64(used)/backends, "bytes/backend-both-ends")
		start, at := cpuTime(), time.Now()
		time.Sleep(time.Second)
		b.ReportMetric(float64(cpuTime()-start)/time.Since(at).Seconds()/backends, "cpu-ns/backend/s")
		for _, k := range ks {
			k.Close()
		}
	}
}

// openFiles returns the number of open file descriptors of this process.
func openFiles(b *testing.B) int {
	es, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		b.Fatal(err)
	}
	return len(es)
}

// BenchmarkPoll measures the reading of a status page with two versions.
func BenchmarkPoll(b *testing.B) {
	st := searcher.Status{ID: "s-1", Service: "desk", Slots: 2, MaxConnections: 25,
		Holdings: []searcher.Holding{{Version: 1, Ranges: keyrange.Split(2)}, {Version: 2, Ranges: keyrange.Split(2)}}}
	body, _ := json.Marshal(st)
	b.Logf("page of %d bytes", len(body))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer s.Close()
	k := New(Config{VM: vm.VM{ID: "s-1", Addr: s.Listener.Addr().String()}})
	defer k.Close()
	measure(b, func() {
		if _, err := k.Poll(b.Context()); err != nil {
			b.Fatal(err)
		}
	})
}
