package entry

import (
	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/directory"
	"egrethaven/internal/node/source"
	"egrethaven/internal/query/scatter"
)

// answerQueries begins to follow the backend servers and builds the engine.
func (n *Node) answerQueries() {
	home := n.c.Settings.Node.FailureDomain
	n.directory = directory.New(directory.Config{
		VMs:     n.vms.List,
		Self:    home,
		Events:  n.log,
		Backend: backend.Config{Events: n.log},
		Seed:    n.c.Seed,
	})
	n.engine = scatter.New(scatter.Config{
		Source:   source.New(source.Config{Map: n.directory.Map}),
		Searches: n.searches.Current,
		Home:     home,
		Policy:   n.c.Policy,
		Events:   n.log,
		Seed:     n.c.Seed,
	})
}
