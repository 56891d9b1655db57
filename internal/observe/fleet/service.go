package fleet

import (
	"context"
	"time"

	"egrethaven/internal/peer/observerpc"
)

// service answers other nodes.
type service struct {
	c Config
}

// Events returns events of the ring.
func (s *service) Events(_ context.Context, r *observerpc.EventsRequest) (*observerpc.EventsReply, error) {
	s.c.Clock.Observe(stampOf(r.Now))
	es, lost := s.c.Log.Since(stampOf(r.After), min(int(r.Limit), maxEvents))
	out := &observerpc.EventsReply{Node: s.c.Node, Now: stampTo(s.c.Clock.Stamp()), Lost: lost}
	for _, e := range es {
		out.Events = append(out.Events, eventTo(e))
	}
	return out, nil
}

// Health returns the report by this node's own evidence.
func (s *service) Health(context.Context, *observerpc.HealthRequest) (*observerpc.HealthReply, error) {
	return replyOf(s.c.Health(), time.Now()), nil
}

// Status returns the configuration in force.
func (s *service) Status(context.Context, *observerpc.StatusRequest) (*observerpc.StatusReply, error) {
	return &observerpc.StatusReply{Node: s.c.Node, FailureDomain: string(s.c.Domain), Revision: s.c.Revision()}, nil
}
