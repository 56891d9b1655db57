package command

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/state/config"
)

var cmdStatus = command{
	use:    "status",
	help:   "Show which configuration each node has in force; exit code 1 if not all have the same",
	remote: true,
	setup:  func(*cobra.Command) action { return status },
}

// status prints one line per node. The result is degraded unless all nodes
// answered and have the newest revision.
func status(ctx context.Context, s *session, _ []string) error {
	var nodes []config.NodeStatus
	if err := s.client().Get(ctx, "/config/status", nil, &nodes); err != nil {
		return errors.Trace(err)
	}
	newest, current := uint64(0), 0
	for _, n := range nodes {
		newest = max(newest, n.Revision)
	}
	for _, n := range nodes {
		if n.Reached && n.Revision == newest {
			current++
		}
	}
	err := printStatusReport(s, nodes, newest, current)
	if err == nil && current < len(nodes) {
		return degradedError()
	}
	return err
}

// printStatusReport prints a summary line and a table, or JSON.
func printStatusReport(s *session, nodes []config.NodeStatus, newest uint64, current int) error {
	if s.json {
		return printJSON(s.out, nodes)
	}
	fmt.Fprintf(s.out, "%d of %d nodes have revision %d in force\n", current, len(nodes), newest)
	return printNodes(s, nodes)
}
