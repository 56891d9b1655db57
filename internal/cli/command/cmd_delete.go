package command

import (
	"context"

	"github.com/spf13/cobra"
)

var cmdDelete = command{
	use:     "delete NAME...",
	help:    "Delete searches",
	example: "  egrethaven delete reports --wait",
	args:    cobra.MinimumNArgs(1),
	remote:  true,
	setup: func(c *cobra.Command) action {
		var flags changeFlags
		flags.declare(c)
		return func(ctx context.Context, s *session, args []string) error {
			ch := flags.change()
			ch.Delete = args
			return send(ctx, s, ch, flags.wait)
		}
	},
}
