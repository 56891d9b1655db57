package entry

import (
	"context"

	"github.com/juju/errors"

	"egrethaven/internal/front/caller"
	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/front/operator"
	"egrethaven/internal/observe/health"
)

// bindFronts binds the ports of callers and operators.
func (n *Node) bindFronts() error {
	s := n.c.Settings
	api := caller.New(caller.Config{
		Engine:   n,
		Searches: n.searches.Current,
		Gate:     n.gate,
		MaxBody:  int64(s.Limits.MaxBody),
		Events:   n.log,
		Metrics:  n.metrics,
	})
	var err error
	n.callers, err = httpserver.New(httpserver.Config{Addr: s.Listen.Caller, Handler: api, Events: n.log})
	if err != nil {
		return errors.Annotate(err, "caller port")
	}
	n.operators, err = httpserver.New(httpserver.Config{Addr: s.Listen.Operator, Events: n.log, Handler: operator.New(operator.Config{
		Node:    s.Node.ID,
		Version: n.c.Version,
		Token:   s.Operator.Token,
		Configs: n.searches,
		Fleet:   n.fleet,
		Health:  n.health.FleetReport,
		Caller:  api,
		Events:  n.log,
	})})
	return errors.Annotate(err, "operator port")
}

// fetchHealth asks another node for its report.
func (n *Node) fetchHealth(ctx context.Context, p health.Peer) (health.Report, error) {
	return n.fleet.FetchReport(ctx, p)
}
