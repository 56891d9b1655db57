package partrpc

import (
	"context"
	"fmt"
	"testing"
	"time"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/scatterrpc"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/query/scatter"
)

// fakeEngine covers all ranges of a part except the last one, which times out.
type fakeEngine struct{ request scatter.PartRequest }

func (e *fakeEngine) Part(_ context.Context, p scatter.PartRequest) scatter.PartReply {
	e.request = p
	r := scatter.PartReply{Outcome: outcome.OK(), Cost: ask.Cost{Primaries: len(p.Ranges), Hedges: 1}}
	last := len(p.Ranges) - 1
	for _, kr := range p.Ranges[:last] {
		r.Covered = append(r.Covered, scatter.CoveredRange{Range: kr, Total: 3})
	}
	r.Gaps = []coverage.Gap{{Range: p.Ranges[last], Reason: outcome.Timeout}}
	for i := range p.Query.Limit {
		r.Hits = append(r.Hits, ask.Hit{Score: 1, Record: record.Record{
			Key: fmt.Sprintf("S-%d", i), SchemaVersion: 2, Revision: 7, Source: "old_ledger", Fields: record.Fields{"name": "Kato", "work": "skylight"},
		}})
	}
	return r
}

// startServer returns a client that reaches a server over drpc, and the engine of
// the server.
func startServer(t testing.TB) (Client, *fakeEngine) {
	s, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", SharedKey: "a shared key of the test"})
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEngine{}
	if err := scatterrpc.DRPCRegisterScatter(s.Mux(), Server{Engine: e}); err != nil {
		t.Fatal(err)
	}
	s.Serve()
	d := rpc.NewDialer(rpc.DialerConfig{SharedKey: "a shared key of the test"})
	t.Cleanup(func() {
		_ = d.Close()
		_ = s.Close()
	})
	return Client{VM: vm.VM{ID: "h", Addr: s.Addr()}, Dialer: d}, e
}

// newRequest returns a request for a part with n ranges.
func newRequest(n int) scatter.PartRequest {
	a := ask.Query{QueryID: "q1", Search: "warranty", Text: "joint", Limit: 10, Deadline: time.Now().Add(time.Minute),
		Filters: []ask.Filter{{Field: "city", Value: "Otaru"}}}
	return scatter.PartRequest{Query: a, Version: 4, Ranges: keyrange.Split(n)}
}

func TestPartOverTheWire(t *testing.T) {
	c, e := startServer(t)
	p := newRequest(18)
	r := c.Part(t.Context(), p)
	if !r.Outcome.OK() || len(r.Covered) != 17 || r.Covered[3].Total != 3 || len(r.Gaps) != 1 || r.Gaps[0].Reason != outcome.Timeout || len(r.Hits) != 10 || r.Hits[2].Fields["name"] != "Kato" || r.Cost.Hedges != 1 {
		t.Fatalf("reply %+v", r)
	}
	if e.request.Version != 4 || len(e.request.Ranges) != 18 || e.request.Query.Text != "joint" || e.request.Query.Filters[0].Value != "Otaru" || !e.request.Query.AcceptPartial {
		t.Fatalf("request received by the engine: %+v", e.request)
	}
}

func TestInvalidRequestIsNotRun(t *testing.T) {
	c, e := startServer(t)
	p := newRequest(2)
	p.Query.Limit = 0
	if r := c.Part(t.Context(), p); r.Outcome.OK() || e.request.Version != 0 {
		t.Fatalf("invalid request: reply %+v", r)
	}
	c.VM.Addr = "127.0.0.1:1"
	if r := c.Part(t.Context(), newRequest(2)); r.Outcome != outcome.NotRun(outcome.ConnectionRefused) {
		t.Fatalf("unreachable VM: outcome %v", r.Outcome)
	}
}

// BenchmarkPart measures client and server for a part with 18 ranges and 10 hits.
func BenchmarkPart(b *testing.B) {
	c, _ := startServer(b)
	p := newRequest(18)
	b.ReportAllocs()
	for b.Loop() {
		if r := c.Part(b.Context(), p); !r.Outcome.OK() {
			b.Fatal(r.Outcome)
		}
	}
}
