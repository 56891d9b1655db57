package fleet

import (
	"context"
	"time"

	"egrethaven/internal/peer/observerpc"
)

// service implements the RPC service that other nodes call.
type service struct {
	c Config
}

// Events returns the events of this node that are stamped later than r.After.
func (s *service) Events(_ context.Context, r *observerpc.EventsRequest) (*observerpc.EventsReply, error) {
	s.c.Clock.Observe(decodeStamp(r.Now))
	es, overwritten := s.c.Log.Since(decodeStamp(r.After), min(int(r.Limit), maxEvents))
	out := &observerpc.EventsReply{Node: s.c.Node, Now: encodeStamp(s.c.Clock.Stamp()), Lost: overwritten}
	for _, e := range es {
		out.Events = append(out.Events, encodeEvent(e))
	}
	return out, nil
}

// Health returns the health report based on this node's evidence.
func (s *service) Health(context.Context, *observerpc.HealthRequest) (*observerpc.HealthReply, error) {
	return encodeReport(s.c.Health(), time.Now()), nil
}

// Status returns the revision of the configuration in force on this node.
func (s *service) Status(context.Context, *observerpc.StatusRequest) (*observerpc.StatusReply, error) {
	return &observerpc.StatusReply{Node: s.c.Node, FailureDomain: string(s.c.Domain), Revision: s.c.Revision()}, nil
}
