// Package holders is the second level of the fan-out between entry VMs, over
// drpc: a coordinator asks a Holder for a part, which a Server answers there.
//
// # Usage
//
//	s := holders.Server{Engine: engine}
//	err := scatterrpc.DRPCRegisterScatter(mux, s)
//
//	h := holders.Holder{VM: v, Dialer: dialer}
//	r := h.Part(ctx, scatter.PartRequest{...})
package holders

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/scatterrpc"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/scatter"
)

const (
	// mostSpans bounds the ranges of one part.
	mostSpans = 10_000
	// mostTime bounds the time that a coordinator may give, in milliseconds.
	mostTime = int64(10 * time.Minute / time.Millisecond)
)

// Engine answers parts. *scatter.Engine is one.
type Engine interface {
	Part(ctx context.Context, p scatter.PartRequest) scatter.PartReply
}

// Server answers the parts that other entry VMs ask for.
type Server struct {
	Engine Engine
}

// Part answers one part.
func (s Server) Part(ctx context.Context, m *scatterrpc.PartRequest) (*scatterrpc.PartReply, error) {
	p, err := part(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := s.Engine.Part(ctx, p)
	if !r.Outcome.OK() {
		return &scatterrpc.PartReply{QueryId: m.QueryId, Version: m.Version, Refused: string(r.Outcome.Reason)}, nil
	}
	return message(m, r), nil
}

// part reads a request and checks its bounds.
func part(m *scatterrpc.PartRequest) (scatter.PartRequest, error) {
	if m.QueryId == "" || len(m.Spans) == 0 || len(m.Spans) > mostSpans || m.TimeLeftMs <= 0 || m.TimeLeftMs > mostTime || m.Limit <= 0 {
		return scatter.PartRequest{}, errors.NotValidf("part of query %q with %d spans", m.QueryId, len(m.Spans))
	}
	p := scatter.PartRequest{Version: m.Version, Query: ask.Query{
		QueryID:       m.QueryId,
		Search:        m.Search,
		Text:          m.Text,
		Limit:         int(m.Limit),
		Deadline:      time.Now().Add(time.Duration(m.TimeLeftMs) * time.Millisecond),
		AcceptPartial: true,
		Explain:       m.Explain,
	}}
	for _, f := range m.Filters {
		p.Query.Filters = append(p.Query.Filters, ask.Filter{Field: f.GetField(), Value: f.GetValue()})
	}
	for _, s := range m.Spans {
		r := keyrange.Range{First: s.GetFirst(), Last: s.GetLast()}
		if !r.Valid() {
			return scatter.PartRequest{}, errors.NotValidf("span %v", r)
		}
		p.Ranges = append(p.Ranges, r)
	}
	return p, nil
}

// message is the reply to a request.
func message(m *scatterrpc.PartRequest, r scatter.PartReply) *scatterrpc.PartReply {
	out := &scatterrpc.PartReply{QueryId: m.QueryId, Version: m.Version, Cost: &scatterrpc.Cost{
		Primaries: int32(r.Cost.Primaries), Hedges: int32(r.Cost.Hedges), Retries: int32(r.Cost.Retries), Dropped: int32(r.Cost.Dropped),
	}}
	for _, c := range r.Covered {
		out.Covered = append(out.Covered, &scatterrpc.Covered{Span: span(c.Range), Total: int32(c.Total)})
	}
	for _, g := range r.Gaps {
		out.Gaps = append(out.Gaps, &scatterrpc.Gap{Span: span(g.Range), Reason: string(g.Reason)})
	}
	for _, h := range r.Hits {
		out.Hits = append(out.Hits, &scatterrpc.Hit{
			Key: h.Key, SchemaVersion: int32(h.SchemaVersion), Revision: h.Revision, Source: h.Source, Fields: h.Fields, Score: h.Score,
		})
	}
	for _, s := range r.Steps {
		out.Steps = append(out.Steps, &scatterrpc.Step{AtUs: s.AtMicros, What: s.What, Searcher: s.Searcher, Range: s.Range, Detail: s.Detail})
	}
	return out
}
