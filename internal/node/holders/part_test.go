package holders

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

// engine answers every part with all its ranges but the last.
type engine struct{ got scatter.PartRequest }

func (e *engine) Part(_ context.Context, p scatter.PartRequest) scatter.PartReply {
	e.got = p
	r := scatter.PartReply{Outcome: outcome.OK(), Cost: ask.Cost{Primaries: len(p.Ranges), Hedges: 1}}
	last := len(p.Ranges) - 1
	for _, g := range p.Ranges[:last] {
		r.Covered = append(r.Covered, scatter.CoveredRange{Range: g, Total: 3})
	}
	r.Gaps = []coverage.Gap{{Range: p.Ranges[last], Reason: outcome.Timeout}}
	for i := range p.Query.Limit {
		r.Hits = append(r.Hits, ask.Hit{Score: 1, Record: record.Record{
			Key: fmt.Sprintf("S-%d", i), SchemaVersion: 2, Revision: 7, Source: "old_ledger", Fields: record.Fields{"name": "Kato", "work": "skylight"},
		}})
	}
	return r
}

// start returns a holder that is reached over drpc, and its engine.
func start(t testing.TB) (Holder, *engine) {
	s, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", SharedKey: "a shared key of the test"})
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{}
	if err := scatterrpc.DRPCRegisterScatter(s.Mux(), Server{Engine: e}); err != nil {
		t.Fatal(err)
	}
	s.Serve()
	d := rpc.NewDialer(rpc.DialerConfig{SharedKey: "a shared key of the test"})
	t.Cleanup(func() {
		_ = d.Close()
		_ = s.Close()
	})
	return Holder{VM: vm.VM{ID: "h", Addr: s.Addr()}, Dialer: d}, e
}

// parts is a part of n ranges.
func parts(n int) scatter.PartRequest {
	a := ask.Query{QueryID: "q1", Search: "warranty", Text: "joint", Limit: 10, Deadline: time.Now().Add(time.Minute),
		Filters: []ask.Filter{{Field: "city", Value: "Otaru"}}}
	return scatter.PartRequest{Query: a, Version: 4, Ranges: keyrange.Split(n)}
}

func TestPartOverTheWire(t *testing.T) {
	h, e := start(t)
	p := parts(18)
	r := h.Part(t.Context(), p)
	if !r.Outcome.OK() || len(r.Covered) != 17 || r.Covered[3].Total != 3 || len(r.Gaps) != 1 || r.Gaps[0].Reason != outcome.Timeout || len(r.Hits) != 10 || r.Hits[2].Fields["name"] != "Kato" || r.Cost.Hedges != 1 {
		t.Fatalf("%+v", r)
	}
	if e.got.Version != 4 || len(e.got.Ranges) != 18 || e.got.Query.Text != "joint" || e.got.Query.Filters[0].Value != "Otaru" || !e.got.Query.AcceptPartial {
		t.Fatalf("%+v", e.got)
	}
}

func TestBadPartRunsNothing(t *testing.T) {
	h, e := start(t)
	p := parts(2)
	p.Query.Limit = 0
	if r := h.Part(t.Context(), p); r.Outcome.OK() || e.got.Version != 0 {
		t.Fatalf("%+v", r)
	}
	h.VM.Addr = "127.0.0.1:1"
	if r := h.Part(t.Context(), parts(2)); r.Outcome != outcome.NotRun(outcome.ConnectionRefused) {
		t.Fatalf("holder that is gone: %v", r.Outcome)
	}
}

// BenchmarkPart measures both ends of one part of 18 ranges and 10 hits.
func BenchmarkPart(b *testing.B) {
	h, _ := start(b)
	p := parts(18)
	b.ReportAllocs()
	for b.Loop() {
		if r := h.Part(b.Context(), p); !r.Outcome.OK() {
			b.Fatal(r.Outcome)
		}
	}
}
