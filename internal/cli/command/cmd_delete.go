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
		flags.register(c)
		return func(ctx context.Context, s *session, args []string) error {
			change := flags.change()
			change.Delete = args
			return sendChange(ctx, s, change, flags.wait)
		}
	},
}
