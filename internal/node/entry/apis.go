package entry

import (
	"context"

	"github.com/juju/errors"

	"egrethaven/internal/front/caller"
	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/front/operator"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/observe/health"
	"egrethaven/platform/dialect"
)

// bindAPIs binds the ports of the caller and the operator API.
func (n *Node) bindAPIs() error {
	s := n.c.Settings
	callers := n.callerBudget()
	c := caller.Config{
		Budget:       callers,
		Engine:       n,
		Snapshot:     n.configs.Current,
		Gate:         n.gate,
		MaxBodyBytes: int64(s.Limits.MaxBody),
		Events:       n.log,
		Metrics:      n.metrics,
	}
	// Operators are authorized by their own API and have no client account.
	operatorCalls := caller.New(c)
	if n.accounts != nil {
		c.Accounts, c.TakeKey, c.Quota = n.accounts.Current, dialect.Dialect{}.TakeKey, n.quota
	}
	api := caller.New(c)
	var err error
	n.callerServer, err = httpserver.New(httpserver.Config{Addr: s.Listen.Caller, Handler: api, Events: n.log, HeadBudget: callers,
		MaxConns: max(minCallerConns, connsPerRequest*s.Limits.MaxInFlight)})
	if err != nil {
		return errors.Annotate(err, "caller port")
	}
	n.operatorServer, err = httpserver.New(httpserver.Config{Addr: s.Listen.Operator, Events: n.log, HeadBudget: callers, Handler: operator.New(operator.Config{
		Node:      s.Node.ID,
		Version:   n.c.Version,
		Token:     s.Operator.Token,
		Configs:   n.configs,
		Fleet:     n.fleet,
		Health:    n.health.FleetReport,
		CallerAPI: operatorCalls,
		Events:    n.log,
	})})
	return errors.Annotate(err, "operator port")
}

const (
	// minCallerConns is the minimum number of connections that callers may keep open, and
	// connsPerRequest that for each request which may run at a time: as many without one.
	minCallerConns  = 1024
	connsPerRequest = 2
	// callerShare is the share of the memory for responses that heads and bodies of requests
	// may take beside it.
	callerShare = 0.25
)

// callerBudget returns the budget for heads and bodies of requests; nil without a limit.
func (n *Node) callerBudget() *readbudget.Budget {
	mb := n.c.Settings.Limits.ResponseMemoryMB
	if mb <= 0 {
		return nil
	}
	return readbudget.New(readbudget.Config{Limit: int64(callerShare * float64(mb<<20)), ByAge: true})
}

// fetchHealth fetches the health report of another node.
func (n *Node) fetchHealth(ctx context.Context, p health.Peer) (health.Report, error) {
	return n.fleet.FetchReport(ctx, p)
}
