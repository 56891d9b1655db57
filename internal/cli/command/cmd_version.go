package command

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/front/operator"
)

var cmdVersion = command{
	use:    "version",
	help:   "Show the version of this program, and with --node that of a node",
	remote: true,
	setup: func(c *cobra.Command) action {
		node := c.Flags().Bool("node", false, "ask the node at --addr")
		return func(ctx context.Context, s *session, _ []string) error { return showVersion(ctx, s, *node) }
	},
}

// Version returns the version of this build, with the commit hash if known.
func Version() string {
	const version = "0.1.0"
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return version
	}
	const commitDigits = 12
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= commitDigits {
			return version + "+" + s.Value[:commitDigits]
		}
	}
	return version
}

// showVersion prints the version of this program and, if asked for, of the node.
func showVersion(ctx context.Context, s *session, node bool) error {
	vs := []operator.Version{{Version: Version(), Go: runtime.Version()}}
	if node {
		var v operator.Version
		if err := s.client().Get(ctx, "/version", nil, &v); err != nil {
			return errors.Trace(err)
		}
		vs = append(vs, v)
	}
	if s.json {
		return printJSON(s.out, vs)
	}
	for _, v := range vs {
		fmt.Fprintf(s.out, "%s (%s) %s\n", v.Version, v.Go, printable(v.Node))
	}
	return nil
}
