package entry

import (
	"context"

	"github.com/juju/errors"

	"egrethaven/internal/front/caller"
	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/front/operator"
	"egrethaven/internal/observe/health"
)

// bindAPIs binds the ports of the caller and the operator API.
func (n *Node) bindAPIs() error {
	s := n.c.Settings
	api := caller.New(caller.Config{
		Engine:       n,
		Snapshot:     n.configs.Current,
		Gate:         n.gate,
		MaxBodyBytes: int64(s.Limits.MaxBody),
		Events:       n.log,
		Metrics:      n.metrics,
	})
	var err error
	n.callerServer, err = httpserver.New(httpserver.Config{Addr: s.Listen.Caller, Handler: api, Events: n.log})
	if err != nil {
		return errors.Annotate(err, "caller port")
	}
	n.operatorServer, err = httpserver.New(httpserver.Config{Addr: s.Listen.Operator, Events: n.log, Handler: operator.New(operator.Config{
		Node:      s.Node.ID,
		Version:   n.c.Version,
		Token:     s.Operator.Token,
		Configs:   n.configs,
		Fleet:     n.fleet,
		Health:    n.health.FleetReport,
		CallerAPI: api,
		Events:    n.log,
	})})
	return errors.Annotate(err, "operator port")
}

// fetchHealth fetches the health report of another node.
func (n *Node) fetchHealth(ctx context.Context, p health.Peer) (health.Report, error) {
	return n.fleet.FetchReport(ctx, p)
}
