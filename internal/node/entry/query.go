package entry

import (
	"context"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/directory"
	"egrethaven/internal/back/link"
	"egrethaven/internal/node/contracts"
	"egrethaven/internal/node/indexsource"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/register"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/config"
)

// buildQueries creates the components that discover backend servers and run
// queries and writes on them.
func (n *Node) buildQueries() {
	localDomain := n.c.Settings.Node.FailureDomain
	onDrain := n.shareDrains()
	n.directory = directory.New(directory.Config{
		VMs:         n.vms.List,
		LocalDomain: localDomain,
		Events:      n.log,
		Backend:     backend.Config{Events: n.log, Link: link.Config{Budget: n.budget}},
		OnDrain:     onDrain,
		Seed:        n.c.Seed,
	})
	n.planner = contracts.New(contracts.Config{
		Self:     n.self.ID,
		Nodes:    n.membership.LiveAll,
		Backends: n.directory.Backends,
		Events:   n.log,
	})
	n.engine = scatter.New(scatter.Config{
		Source:      indexsource.New(indexsource.Config{ShardMap: n.directory.ShardMap, Plan: n.planner.Plan, Dialer: n.dialer}),
		Snapshot:    n.configs.Current,
		LocalDomain: localDomain,
		Policy:      n.c.Policy,
		Guard:       n.newQuarantine(),
		Events:      n.log,
		OnAnswer:    n.recordAnswer,
		Seed:        n.c.Seed,
	})
	n.registrar = register.New(register.Config{
		Claims:      n.claims,
		Writers:     n.writers,
		Snapshot:    n.configs.Current,
		LocalDomain: localDomain,
		Events:      n.log,
	})
}

// writers returns the searchers of a service that accept records.
func (n *Node) writers(service string) []register.Writer {
	backends := n.directory.Writers(service)
	writers := make([]register.Writer, len(backends))
	for i, b := range backends {
		writers[i] = b
	}
	return writers
}

// recordAnswer passes the answer of each query to the health collector, except for
// canary queries, whose answers the collector already has.
func (n *Node) recordAnswer(a ask.Query, ans ask.Answer) {
	if !a.Canary {
		n.health.RecordAnswer(a.Search, ans)
	}
}

// Ask runs one query.
func (n *Node) Ask(ctx context.Context, a ask.Query) ask.Answer {
	return n.engine.Ask(ctx, a)
}

// Write runs one non-idempotent request.
func (n *Node) Write(ctx context.Context, w write.Request) write.Result {
	return n.registrar.Write(ctx, w)
}

// Health returns this node's health report for one search.
func (n *Node) Health(search string) health.Report {
	return n.health.SearchReport(search)
}

// Apply applies a configuration change.
func (n *Node) Apply(ctx context.Context, c config.Change) config.Result {
	return n.configs.Apply(ctx, c)
}

// RevisionUnreadyReason returns why the node cannot yet answer all searches of a
// configuration revision or a newer one, or an empty string if it can.
func (n *Node) RevisionUnreadyReason(revision uint64) string {
	s := n.configs.Current()
	if s.Revision < revision {
		return "the configuration is not in force"
	}
	for _, d := range s.Searches {
		if len(n.directory.ShardMap(d.Service).Versions) == 0 {
			return "no complete index of service " + d.Service
		}
	}
	return n.unreadyReason()
}

// GroupCount returns the number of groups into which the shards of this failure
// domain are divided.
func (n *Node) GroupCount() int { return n.planner.Plan().Groups }
