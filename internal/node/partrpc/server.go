// Package partrpc implements the second level of the fan-out, between entry VMs,
// over drpc. A coordinator uses a Client to request a part of a query from another
// entry VM, whose Server runs the part.
//
// # Usage
//
//	s := partrpc.Server{Engine: engine}
//	err := scatterrpc.DRPCRegisterScatter(mux, s)
//
//	c := partrpc.Client{VM: v, Dialer: dialer}
//	r := c.Part(ctx, scatter.PartRequest{...})
package partrpc

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
	// maxSpans limits the number of key ranges of one part.
	maxSpans = 10_000
	// maxTimeLeftMS limits the timeout set by a coordinator.
	maxTimeLeftMS = int64(10 * time.Minute / time.Millisecond)
)

// Engine runs parts. *scatter.Engine implements it.
type Engine interface {
	Part(ctx context.Context, p scatter.PartRequest) scatter.PartReply
}

// Server runs the parts requested by other entry VMs.
type Server struct {
	Engine Engine
}

// Part runs one part. It returns an error if the request is not valid.
func (s Server) Part(ctx context.Context, m *scatterrpc.PartRequest) (*scatterrpc.PartReply, error) {
	p, err := decodeRequest(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := s.Engine.Part(ctx, p)
	if !r.Outcome.OK() {
		return &scatterrpc.PartReply{QueryId: m.QueryId, Version: m.Version, Refused: string(r.Outcome.Reason)}, nil
	}
	return encodeReply(m, r), nil
}

// decodeRequest validates and converts a request.
func decodeRequest(m *scatterrpc.PartRequest) (scatter.PartRequest, error) {
	if m.QueryId == "" || len(m.Spans) == 0 || len(m.Spans) > maxSpans || m.TimeLeftMs <= 0 || m.TimeLeftMs > maxTimeLeftMS || m.Limit <= 0 {
		return scatter.PartRequest{}, errors.NotValidf("request for a part of query %q with %d spans", m.QueryId, len(m.Spans))
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
			return scatter.PartRequest{}, errors.NotValidf("key range %v", r)
		}
		p.Ranges = append(p.Ranges, r)
	}
	return p, nil
}

// encodeReply converts the reply to a request.
func encodeReply(m *scatterrpc.PartRequest, r scatter.PartReply) *scatterrpc.PartReply {
	out := &scatterrpc.PartReply{QueryId: m.QueryId, Version: m.Version, Cost: &scatterrpc.Cost{
		Primaries: int32(r.Cost.Primaries), Hedges: int32(r.Cost.Hedges), Retries: int32(r.Cost.Retries), Dropped: int32(r.Cost.Dropped),
	}}
	for _, c := range r.Covered {
		out.Covered = append(out.Covered, &scatterrpc.Covered{Span: encodeRange(c.Range), Total: int32(c.Total)})
	}
	for _, g := range r.Gaps {
		out.Gaps = append(out.Gaps, &scatterrpc.Gap{Span: encodeRange(g.Range), Reason: string(g.Reason)})
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
