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

// status shows one node a line.
func status(ctx context.Context, s *session, _ []string) error {
	var ss []config.NodeStatus
	if err := s.client().Get(ctx, "/config/status", nil, &ss); err != nil {
		return errors.Trace(err)
	}
	newest, same := uint64(0), 0
	for _, n := range ss {
		newest = max(newest, n.Revision)
	}
	for _, n := range ss {
		if n.Reached && n.Revision == newest {
			same++
		}
	}
	err := printStatusOf(s, ss, newest, same)
	if err == nil && same < len(ss) {
		return degraded()
	}
	return err
}

// printStatusOf shows the nodes with a summary first.
func printStatusOf(s *session, ss []config.NodeStatus, newest uint64, same int) error {
	if s.json {
		return printJSON(s.out, ss)
	}
	fmt.Fprintf(s.out, "%d of %d nodes have revision %d in force\n", same, len(ss), newest)
	return printStatus(s, ss)
}
