package partrpc

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

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

// Dialer opens connections to other entry VMs. *rpc.Dialer implements it.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Client requests parts from another entry VM. It implements scatter.Holder.
type Client struct {
	VM     vm.VM
	Dialer Dialer
}

// ID returns the VM ID.
func (c Client) ID() string { return c.VM.ID }

// Part runs a part on the VM. The outcome is not run if the VM could not be
// reached or refused the part, and unknown if its reply was lost or does not match
// the request.
func (c Client) Part(ctx context.Context, p scatter.PartRequest) scatter.PartReply {
	conn, err := c.Dialer.Conn(ctx, c.VM.Addr)
	if err != nil {
		return scatter.PartReply{Outcome: outcome.NotRun(outcome.ConnectionRefused)}
	}
	m, err := scatterrpc.NewDRPCScatterClient(conn).Part(ctx, encodeRequest(p))
	if errors.Is(err, rpc.ErrUnreachable) {
		return scatter.PartReply{Outcome: outcome.NotRun(outcome.ConnectionRefused)}
	}
	if err != nil {
		return scatter.PartReply{Outcome: outcome.Unknown(outcome.ConnectionLost)}
	}
	if m.Refused != "" {
		return scatter.PartReply{Outcome: outcome.NotRun(outcome.Reason(m.Refused))}
	}
	if m.QueryId != p.Query.QueryID || m.Version != p.Version {
		return scatter.PartReply{Outcome: outcome.Unknown(outcome.BadAnswer)}
	}
	return decodeReply(m)
}

// encodeRequest converts a request.
func encodeRequest(p scatter.PartRequest) *scatterrpc.PartRequest {
	m := &scatterrpc.PartRequest{
		QueryId:    p.Query.QueryID,
		Search:     p.Query.Search,
		Text:       p.Query.Text,
		Limit:      int32(p.Query.Limit),
		TimeLeftMs: time.Until(p.Query.Deadline).Milliseconds(),
		Version:    p.Version,
		Explain:    p.Query.Explain,
	}
	for _, f := range p.Query.Filters {
		m.Filters = append(m.Filters, &scatterrpc.Filter{Field: f.Field, Value: f.Value})
	}
	for _, r := range p.Ranges {
		m.Spans = append(m.Spans, encodeRange(r))
	}
	return m
}

// decodeReply converts a reply.
func decodeReply(m *scatterrpc.PartReply) scatter.PartReply {
	r := scatter.PartReply{Outcome: outcome.OK()}
	for _, c := range m.Covered {
		r.Covered = append(r.Covered, scatter.CoveredRange{Range: decodeRange(c.GetSpan()), Total: int(c.GetTotal())})
	}
	for _, g := range m.Gaps {
		r.Gaps = append(r.Gaps, coverage.Gap{Range: decodeRange(g.GetSpan()), Reason: outcome.Reason(g.GetReason())})
	}
	for _, h := range m.Hits {
		r.Hits = append(r.Hits, ask.Hit{Score: h.GetScore(), Record: record.Record{
			Key: h.GetKey(), SchemaVersion: int(h.GetSchemaVersion()), Revision: h.GetRevision(), Source: h.GetSource(), Fields: h.GetFields(),
		}})
	}
	for _, s := range m.Steps {
		r.Steps = append(r.Steps, ask.Step{AtMicros: s.GetAtUs(), What: s.GetWhat(), Searcher: s.GetSearcher(), Range: s.GetRange(), Detail: s.GetDetail()})
	}
	c := m.GetCost()
	r.Cost = ask.Cost{Primaries: int(c.GetPrimaries()), Hedges: int(c.GetHedges()), Retries: int(c.GetRetries()), Dropped: int(c.GetDropped())}
	return r
}

// encodeRange converts a key range.
func encodeRange(r keyrange.Range) *scatterrpc.Span {
	return &scatterrpc.Span{First: r.First, Last: r.Last}
}

// decodeRange converts a key range message.
func decodeRange(s *scatterrpc.Span) keyrange.Range {
	return keyrange.Range{First: s.GetFirst(), Last: s.GetLast()}
}
