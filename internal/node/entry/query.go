package entry

import (
	"context"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/directory"
	"egrethaven/internal/node/contracts"
	"egrethaven/internal/node/source"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/register"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/config"
)

// answerQueries begins to follow the backend servers and builds what asks
// them.
func (n *Node) answerQueries() {
	home := n.c.Settings.Node.FailureDomain
	onDrain := n.spreadDrains()
	n.directory = directory.New(directory.Config{
		VMs:         n.vms.List,
		LocalDomain: home,
		Events:      n.log,
		Backend:     backend.Config{Events: n.log},
		OnDrain:     onDrain,
		Seed:        n.c.Seed,
	})
	n.contracts = contracts.New(contracts.Config{
		Self:     n.self.ID,
		Nodes:    n.members.LiveAll,
		Backends: n.directory.Backends,
		Events:   n.log,
	})
	n.engine = scatter.New(scatter.Config{
		Source:      source.New(source.Config{Map: n.directory.ShardMap, Plan: n.contracts.Plan, Dialer: n.dialer}),
		Snapshot:    n.searches.Current,
		LocalDomain: home,
		Policy:      n.c.Policy,
		Guard:       n.newGuard(),
		Events:      n.log,
		OnAnswer:    n.observe,
		Seed:        n.c.Seed,
	})
	n.writes = register.New(register.Config{
		Claims:      n.claims,
		Writers:     n.writers,
		Snapshot:    n.searches.Current,
		LocalDomain: home,
		Events:      n.log,
	})
}

// writers returns the searchers of a service that take records.
func (n *Node) writers(service string) []register.Writer {
	bs := n.directory.Writers(service)
	ws := make([]register.Writer, len(bs))
	for i, b := range bs {
		ws[i] = b
	}
	return ws
}

// observe takes each answered query of a caller as evidence. The health
// collector sees the answers to its own canary queries by itself.
func (n *Node) observe(a ask.Query, ans ask.Answer) {
	if !a.Canary {
		n.health.RecordAnswer(a.Search, ans)
	}
}

// Ask answers one question.
func (n *Node) Ask(ctx context.Context, a ask.Query) ask.Answer {
	return n.engine.Ask(ctx, a)
}

// Write runs one non-idempotent request.
func (n *Node) Write(ctx context.Context, w write.Request) write.Result {
	return n.writes.Write(ctx, w)
}

// Health reports on one search as this node knows it.
func (n *Node) Health(search string) health.Report {
	return n.health.SearchReport(search)
}

// Apply changes the configuration.
func (n *Node) Apply(ctx context.Context, c config.Change) config.Result {
	return n.searches.Apply(ctx, c)
}

// Missing returns what the node lacks to answer every search of a revision
// of the configuration, or nothing.
func (n *Node) Missing(revision uint64) string {
	s := n.searches.Current()
	if s.Revision < revision {
		return "the configuration is not in force"
	}
	for _, d := range s.Searches {
		if len(n.directory.ShardMap(d.Service).Versions) == 0 {
			return "no complete index of service " + d.Service
		}
	}
	return n.missing()
}

// Groups is the number of groups that the searchers of this failure domain
// are cut into.
func (n *Node) Groups() int { return n.contracts.Plan().Groups }
